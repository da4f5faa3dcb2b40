package serverpath

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/peer/tcp"
)

// streamPath is the path of a connection to an echo server over loopback TCP, through another node.
type streamPath struct {
	client  *tcp.Transport
	carrier *Carrier
	node    string
	server  string
}

func newStreamPath(b *testing.B) *streamPath {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); _ = conn.Close() }()
		}
	}()
	address := listener.Addr().String()
	view := fleet.NewView()
	view.ReplaceServers(map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Address: address}})
	carrier := &Carrier{Monitor: NewMonitor(Config{View: view}), Dial: dialTCP, MaxConnections: 10_000}
	var transports []*tcp.Transport
	for range 2 {
		transport, err := tcp.New(tcp.Config{Address: "127.0.0.1:0", Secret: []byte("s")})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(transport.Close)
		transport.HandleStream(OpenRequest{}, carrier.Serve)
		transport.Start()
		transports = append(transports, transport)
	}
	return &streamPath{client: transports[0], carrier: carrier, node: transports[1].Address(), server: address}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func (p *streamPath) open(b *testing.B) net.Conn {
	conn, reply, err := peer.StreamTransport(p.client).OpenStream(context.Background(), p.node, OpenRequest{Server: p.server})
	if err != nil || reply.(OpenReply).Outcome != Opened {
		b.Fatal(reply, err)
	}
	return conn
}

// exchangeBytes sends 2 KB and waits until they come back.
func exchangeBytes(b *testing.B, conn net.Conn) {
	buffer := make([]byte, 2<<10)
	for b.Loop() {
		if _, err := conn.Write(buffer); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, buffer); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkExchangeDirect(b *testing.B) {
	conn, err := dialTCP(context.Background(), newStreamPath(b).server)
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	exchangeBytes(b, conn)
}

func BenchmarkExchangeThroughAnotherNode(b *testing.B) {
	conn := newStreamPath(b).open(b)
	defer conn.Close()
	exchangeBytes(b, conn)
}

func BenchmarkOpenThroughAnotherNode(b *testing.B) {
	path := newStreamPath(b)
	for b.Loop() {
		_ = path.open(b).Close()
	}
}

// BenchmarkCarriedConnectionMemory reports the memory of open connections, of both nodes and the server.
func BenchmarkCarriedConnectionMemory(b *testing.B) {
	path := newStreamPath(b)
	const count = 300
	for b.Loop() {
		before := memoryInUse()
		var conns []net.Conn
		for range count {
			conns = append(conns, path.open(b))
		}
		b.ReportMetric(float64(memoryInUse()-before)/count, "B/connection")
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapInuse + statistics.StackInuse
}
