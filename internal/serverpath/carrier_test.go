package serverpath

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/exchange"
)

// connectionPair returns both ends of a connection over loopback TCP.
func connectionPair(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// overTLS returns both ends of a TLS connection over a connection.
func overTLS(near, far net.Conn) (client, server *tls.Conn) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	trusted := certified.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	return tls.Client(near, &tls.Config{RootCAs: trusted, ServerName: "example.com", MinVersion: tls.VersionTLS13}),
		tls.Server(far, &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS13})
}

// Guards against a response without length or chunks that is given to its caller as complete after
// the server has reset the carried connection in the middle of it.
func TestResetOfACarriedConnectionReachesTheNode(t *testing.T) {
	closeInOrder := func(server *net.TCPConn) { _ = server.Close() }
	sendReset := func(server *net.TCPConn) {
		_ = server.SetLinger(0)
		_ = server.Close()
	}
	cases := map[string]struct {
		secure bool
		end    func(server *net.TCPConn)
		seen   error
	}{
		"closed in order":           {false, closeInOrder, nil},
		"closed in order, over TLS": {true, closeInOrder, nil},
		"reset":                     {false, sendReset, syscall.ECONNRESET},
		"reset, over TLS":           {true, sendReset, syscall.ECONNRESET},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			var node, towardsNode net.Conn
			node, towardsNode = connectionPair(t)
			if test.secure {
				node, towardsNode = overTLS(node, towardsNode)
			}
			server, towardsServer := connectionPair(t)
			carried := &carriedConnection{node: towardsNode, server: towardsServer, opened: time.Now()}
			done := make(chan struct{})
			go func() { defer close(done); carried.carry() }()
			_, err := server.Write([]byte("five events"))
			Expect(err).NotTo(HaveOccurred())
			buffer := make([]byte, len("five events"))
			_, err = io.ReadFull(node, buffer)
			Expect(err).NotTo(HaveOccurred())
			test.end(server)
			_, err = io.ReadAll(node)
			Expect(errors.Is(err, test.seen)).To(BeTrue(), "%v", err)
			_ = node.Close()
			Eventually(done).Should(BeClosed())
		})
	}
}

// Guards against the same where the node still sends a long request: writing it takes the reset, after which reads from
// the server end as if in order.
func TestResetOfACarriedUploadReachesTheNode(t *testing.T) {
	endings := map[string]struct {
		end   func(server *net.TCPConn)
		whole bool
	}{
		"reset": {func(server *net.TCPConn) { _, _ = server.SetLinger(0), server.Close() }, false},
		"reset later": {func(server *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_, _ = server.SetLinger(0), server.Close()
		}, false},
		"reads on": {func(server *net.TCPConn) {
			_ = server.CloseWrite()
			_, _ = io.Copy(io.Discard, server)
		}, true},
	}
	for name, test := range endings {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			for range 10 {
				node, towardsNode := connectionPair(t)
				server, towardsServer := connectionPair(t)
				carried := &carriedConnection{node: towardsNode, server: towardsServer, opened: time.Now()}
				done := make(chan struct{})
				go func() { defer close(done); carried.carry() }()
				go func() { _, _ = node.Write(make([]byte, 32<<20)) }()
				_, err := io.ReadFull(server, make([]byte, 512))
				Expect(err).NotTo(HaveOccurred())
				_, err = server.Write([]byte("five events"))
				Expect(err).NotTo(HaveOccurred())
				go test.end(server)
				_, err = io.ReadAll(node)
				inOrder, known := exchange.ClosedInOrder(node)
				Expect(known).To(BeTrue())
				Expect(err == nil && inOrder).To(Equal(test.whole), "%v", err)
				_ = node.Close()
				Eventually(done, "30s").Should(BeClosed())
			}
		})
	}
}

// Guards against the same after the crash of the node that carries the connection: its system closes
// the connection in order.
func TestConnectionThroughACrashedNodeDoesNotEndInOrder(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		inVirtualTime(t, 2, 4, func(t *testing.T, n *network) {
			RegisterTestingT(t)
			n.set("n0", hangs)
			got := n.nodes["n0"].dial(t, "s0")
			Expect(got.err).NotTo(HaveOccurred())
			n.mutex.Lock()
			n.nodes["n1"].crashed = crashed
			n.mutex.Unlock()
			_ = n.accepted["s0"][0].Close()
			_, err := got.conn.Read(make([]byte, 1))
			if crashed {
				Expect(err).To(Equal(io.ErrUnexpectedEOF))
			} else {
				Expect(err).To(Equal(io.EOF))
			}
		})
	}
}
