package api

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	pacedStreams = 480
	// pacedPeriod gives 50 chunks per second and stream, 24,000 per second in total.
	pacedPeriod     = 20 * time.Millisecond
	waitingRequests = 2000
	collections     = 5
	benchmarkBody   = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`
)

// heldGateway records the responders of all requests and answers none.
type heldGateway struct {
	mutex      sync.Mutex
	responders []gateway.Responder
	arrived    chan struct{}
}

func (g *heldGateway) Submit(_ gateway.Request, responder gateway.Responder) func() {
	g.mutex.Lock()
	g.responders = append(g.responders, responder)
	g.mutex.Unlock()
	g.arrived <- struct{}{}
	return func() {}
}

// openRequests starts a server and sends it requests that stay unanswered.
func openRequests(b *testing.B, count int) (*heldGateway, []net.Conn) {
	b.Helper()
	held := &heldGateway{arrived: make(chan struct{}, count)}
	connections := openConnections(b, held.handler(b), count)
	for range count {
		<-held.arrived
	}
	return held, connections
}

func (g *heldGateway) handler(b *testing.B) http.Handler {
	b.Helper()
	keyring, err := auth.NewKeyring([]auth.Credential{{SHA256: auth.HashToken("secret"), Tenant: "t", Role: auth.RoleCaller}})
	if err != nil {
		b.Fatal(err)
	}
	rows := []table.Row{{Name: "m", Tenant: "t", Repeatable: true, TimeLimit: time.Hour}}
	return New(Config{Gateway: g, Table: table.NewSnapshot(1, rows), Keyring: keyring})
}

// openConnections starts a server and sends it one request per connection.
func openConnections(b *testing.B, handler http.Handler, count int) []net.Conn {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer(handler, Limits{})
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	message := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s",
		kindChat.path(), len(benchmarkBody), benchmarkBody)
	connections := make([]net.Conn, count)
	for index := range connections {
		if connections[index], err = net.Dial("tcp", listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = connections[index].Close() })
		if _, err := io.WriteString(connections[index], message); err != nil {
			b.Fatal(err)
		}
	}
	return connections
}

// BenchmarkPacedRelay measures the CPU time of 480 streams of 50 chunks per second each over
// loopback TCP, including the callers' reads.
func BenchmarkPacedRelay(b *testing.B) {
	held, connections := openRequests(b, pacedStreams)
	for _, connection := range connections {
		go func() { _, _ = io.Copy(io.Discard, connection) }()
	}
	ticker := time.NewTicker(pacedPeriod)
	defer ticker.Stop()
	processorBefore, started, index := processorTime(), time.Now(), 0
	for b.Loop() {
		<-ticker.C
		for _, responder := range held.responders {
			responder.Chunk(outside.Chunk{Index: index, Text: "token ", Tokens: 1})
		}
		index++
	}
	used := (processorTime() - processorBefore).Seconds()
	chunks := float64(index * pacedStreams)
	b.ReportMetric(chunks/time.Since(started).Seconds(), "chunks/s")
	b.ReportMetric(chunks/used, "chunks/cpu-s")
}

// BenchmarkWaitingRequest measures the memory that an unanswered request holds in the
// interface: its connection, goroutine and buffers.
func BenchmarkWaitingRequest(b *testing.B) {
	for b.Loop() {
		heapBefore, stackBefore := memoryInUse()
		held, connections := openRequests(b, waitingRequests)
		heap, stack := memoryInUse()
		b.ReportMetric(float64(heap-heapBefore)/waitingRequests, "heap-B/request")
		b.ReportMetric(float64(stack-stackBefore)/waitingRequests, "stack-B/request")
		for _, connection := range connections {
			_ = connection.Close()
		}
		runtime.KeepAlive(held)
	}
}

// BenchmarkWaitingBare is the baseline of BenchmarkWaitingRequest: a handler that only reads
// the body and waits. It measures what net/http itself holds, and the callers' ends of the
// connections, which are in the same process.
func BenchmarkWaitingBare(b *testing.B) {
	for b.Loop() {
		arrived := make(chan struct{}, waitingRequests)
		heapBefore, stackBefore := memoryInUse()
		connections := openConnections(b, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			arrived <- struct{}{}
			<-request.Context().Done()
		}), waitingRequests)
		for range waitingRequests {
			<-arrived
		}
		heap, stack := memoryInUse()
		b.ReportMetric(float64(heap-heapBefore)/waitingRequests, "heap-B/request")
		b.ReportMetric(float64(stack-stackBefore)/waitingRequests, "stack-B/request")
		for _, connection := range connections {
			_ = connection.Close()
		}
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func memoryInUse() (heap, stack uint64) {
	// Each collection shrinks a stack by half at most, so several are needed.
	for range collections {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc, stats.StackInuse
}
