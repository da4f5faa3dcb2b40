package tcp

import (
	"io"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// network carries connections to a transport. It reads and acknowledges what both sides send, also on connections that
// it has made silent.
type network struct {
	listener net.Listener
	target   string
	// bytesPerSecond is the speed of each direction; zero: not limited.
	bytesPerSecond int

	mutex  sync.Mutex
	silent chan struct{}
}

func startNetwork(target string, bytesPerSecond int) *network {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	n := &network{listener: listener, target: target, bytesPerSecond: bytesPerSecond, silent: make(chan struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.carry(conn)
		}
	}()
	return n
}

func (n *network) address() string { return n.listener.Addr().String() }

// silence makes all open connections silent for good. New ones work.
func (n *network) silence() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	close(n.silent)
	n.silent = make(chan struct{})
}

func (n *network) carry(near net.Conn) {
	far, err := net.Dial("tcp", n.target)
	if err != nil {
		_ = near.Close()
		return
	}
	n.mutex.Lock()
	silent := n.silent
	n.mutex.Unlock()
	var group sync.WaitGroup
	for _, pair := range [][2]net.Conn{{near, far}, {far, near}} {
		group.Go(func() { n.copy(pair[0], pair[1], silent) })
	}
	group.Wait()
}

// copy copies bytes until the source ends, and drops them once the connection is silent.
func (n *network) copy(target, source net.Conn, silent <-chan struct{}) {
	defer source.Close()
	buffer := make([]byte, 4<<10)
	for {
		count, err := source.Read(buffer)
		select {
		case <-silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n.bytesPerSecond > 0 {
			time.Sleep(time.Duration(count) * time.Second / time.Duration(n.bytesPerSecond))
		}
		if _, failure := target.Write(buffer[:count]); failure != nil || err != nil {
			_ = target.Close()
			return
		}
	}
}

// probingConfig is that of transports that notice silence soon.
func probingConfig() Config {
	config := testConfig()
	config.ProbeInterval = 20 * time.Millisecond
	return config
}

var _ = Describe("A connection that goes silent", func() {
	// Guards against calls that fail for a quarter of an hour: their connection stays open although nothing comes back.
	It("is replaced by a new one", func() {
		server := startTransport(probingConfig(), echo)
		between := startNetwork(server.Address(), 0)
		client := startTransport(probingConfig(), nil)
		for number := range 3 {
			Eventually(startCall(client, between.address(), testRequest{Number: number}, longTimeout), longTimeout).
				Should(Receive(Equal(callResult{message: testReply{Number: number}})))
			between.silence()
			Eventually(func() error {
				var result callResult
				Eventually(startCall(client, between.address(), testRequest{}, 50*time.Millisecond), longTimeout).Should(Receive(&result))
				return result.err
			}, longTimeout).Should(Succeed())
		}
		Expect(client.Statistics().SilentConnections).To(BeEquivalentTo(3))
	})

	// Guards against messages that are lost for good, where a node only sends to another one and expects no reply.
	It("is replaced by a new one where all messages are one-way", func() {
		received := make(chan peer.Message, 1<<10)
		server := startTransport(probingConfig(), func(_ string, message peer.Message, _ func(peer.Message, error)) { received <- message })
		between := startNetwork(server.Address(), 0)
		client := startTransport(probingConfig(), nil)
		client.Send(between.address(), testRequest{Number: 1})
		Eventually(received, longTimeout).Should(Receive(Equal(testRequest{Number: 1})))
		between.silence()
		Eventually(func() peer.Message {
			client.Send(between.address(), testRequest{Number: 2})
			select {
			case message := <-received:
				return message
			case <-time.After(10 * time.Millisecond):
				return nil
			}
		}, longTimeout).Should(Equal(testRequest{Number: 2}))
	})

	It("is closed by the side that accepted it, too", func() {
		server := startTransport(probingConfig(), echo)
		between := startNetwork(server.Address(), 0)
		client := startTransport(probingConfig(), nil)
		Eventually(startCall(client, between.address(), testRequest{}, longTimeout), longTimeout).Should(Receive())
		// A quiet connection is probed, so both sides watch it.
		Eventually(func() uint64 { return server.Statistics().MessagesReceived }, longTimeout).Should(BeNumerically(">=", 2))
		between.silence()
		Eventually(func() uint64 { return server.Statistics().SilentConnections }, longTimeout).Should(BeEquivalentTo(1))
	})
})

var _ = Describe("A connection without traffic, or with little", func() {
	// Guards against connections that are closed although the peer is well.
	It("stays open while probes are answered", func() {
		server, client := startTransport(probingConfig(), echo), startTransport(probingConfig(), nil)
		Eventually(startCall(client, server.Address(), testRequest{}, longTimeout), longTimeout).Should(Receive())
		Eventually(func() uint64 { return server.Statistics().MessagesReceived }, longTimeout).Should(BeNumerically(">", 10))
		Expect(client.Statistics().SilentConnections + server.Statistics().SilentConnections).To(BeZero())
	})

	It("stays open while a slow link carries a large message", func() {
		server := startTransport(probingConfig(), echo)
		between := startNetwork(server.Address(), 2*minLinkBytesPerSecond)
		client := startTransport(probingConfig(), nil)
		Eventually(startCall(client, between.address(), testRequest{}, longTimeout), longTimeout).Should(Receive())
		large := testRequest{Number: 1, Padding: make([]byte, minLinkBytesPerSecond)}
		Eventually(startCall(client, between.address(), large, longTimeout), longTimeout).
			Should(Receive(Equal(callResult{message: testReply{Number: 1}})))
		Expect(client.Statistics().SilentConnections).To(BeZero())
	})

	// Guards against probes of an earlier build, which takes them for a violation of the protocol.
	It("is not probed where the peer announced nothing", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer listener.Close()
		ended := make(chan []byte, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = acceptHandshake(conn, []byte(testSecret))
			received, _ := io.ReadAll(conn)
			ended <- received
		}()
		config := probingConfig()
		config.IdleTimeout = 20 * config.ProbeInterval
		client := startTransport(config, nil)
		client.Send(listener.Addr().String(), testRequest{Number: 7})
		var received []byte
		Eventually(ended, longTimeout).Should(Receive(&received))
		Expect(received).To(Equal(encodedFrame(envelope{Kind: envelopeOneWay, Message: testRequest{Number: 7}})))
	})
})
