package tcp

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// startTransport starts a transport that is closed at the end of the test.
func startTransport(config Config, handler peer.Handler) *Transport {
	transport, err := New(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(transport.Close)
	if handler != nil {
		transport.Handle(testRequest{}, handler)
	}
	transport.Start()
	return transport
}

// selfSigned returns a TLS configuration that trusts its own certificate.
func selfSigned() *tls.Config {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	return &tls.Config{Certificates: server.TLS.Certificates, RootCAs: trusted, MinVersion: tls.VersionTLS13}
}

var _ = Describe("Transport", func() {
	DescribeTable("answers calls and passes the caller's address to the handler",
		func(secure bool) {
			config := testConfig()
			if secure {
				config.TLS = selfSigned()
			}
			from := make(chan string, 1)
			server := startTransport(config, func(sender string, message peer.Message, reply func(peer.Message, error)) {
				from <- sender
				echo(sender, message, reply)
			})
			client := startTransport(config, nil)
			Eventually(startCall(client, server.Address(), testRequest{Number: 7}, longTimeout), longTimeout).
				Should(Receive(Equal(callResult{message: testReply{Number: 7}})))
			Expect(from).To(Receive(Equal(client.Address())))
		},
		Entry("without TLS", false),
		Entry("over TLS", true),
	)

	It("matches each reply to its call when replies are late and in reverse order", func() {
		const calls = 500
		type pendingReply struct {
			number int
			reply  func(peer.Message, error)
		}
		requests := make(chan pendingReply, calls)
		server := startTransport(testConfig(), func(_ string, message peer.Message, reply func(peer.Message, error)) {
			requests <- pendingReply{message.(testRequest).Number, reply}
		})
		client := startTransport(testConfig(), nil)
		var results []<-chan callResult
		for number := range calls {
			results = append(results, startCall(client, server.Address(), testRequest{Number: number}, longTimeout))
		}
		var pending []pendingReply
		for range calls {
			pending = append(pending, <-requests)
		}
		for i := len(pending) - 1; i >= 0; i-- {
			go func() {
				pending[i].reply(testReply{Number: pending[i].number}, nil)
				pending[i].reply(testReply{Number: -1}, nil)
			}()
		}
		for number, result := range results {
			Eventually(result, longTimeout).Should(Receive(Equal(callResult{message: testReply{Number: number}})))
			Expect(result).NotTo(Receive())
		}
	})

	DescribeTable("fails a call that gets no reply",
		func(handler peer.Handler, message peer.Message, timeout time.Duration, expected any) {
			server := startTransport(testConfig(), handler)
			client := startTransport(testConfig(), nil)
			var result callResult
			Eventually(startCall(client, server.Address(), message, timeout), longTimeout).Should(Receive(&result))
			Expect(result.err).To(MatchError(expected))
		},
		Entry("no handler", nil, testRequest{}, longTimeout, errNoHandler.Error()),
		Entry("handler fails", peer.Handler(func(_ string, _ peer.Message, reply func(peer.Message, error)) {
			reply(nil, errors.New("not today"))
		}), testRequest{}, longTimeout, "not today"),
		Entry("handler never replies", peer.Handler(func(string, peer.Message, func(peer.Message, error)) {}),
			testRequest{}, 20*time.Millisecond, peer.ErrUnreachable),
		Entry("message too large", peer.Handler(echo), testRequest{Padding: make([]byte, DefaultMaxFrameBytes)},
			longTimeout, errMessageTooLarge),
		Entry("reply that can't be encoded", peer.Handler(func(_ string, _ peer.Message, reply func(peer.Message, error)) {
			reply(unregistered{}, nil)
		}), testRequest{}, longTimeout, ContainSubstring("can't be encoded")),
		Entry("message that can't be encoded", peer.Handler(echo), unregistered{}, longTimeout, ContainSubstring("can't be encoded")),
	)

	It("can still be used after a message that was too large", func() {
		server := startTransport(testConfig(), echo)
		client := startTransport(testConfig(), nil)
		var result callResult
		tooLarge := testRequest{Padding: make([]byte, DefaultMaxFrameBytes)}
		Eventually(startCall(client, server.Address(), tooLarge, longTimeout), longTimeout).Should(Receive(&result))
		Eventually(startCall(client, server.Address(), testRequest{Number: 1}, longTimeout), longTimeout).
			Should(Receive(Equal(callResult{message: testReply{Number: 1}})))
	})

	It("delivers one-way messages in order", func() {
		received := make(chan int, 100)
		server := startTransport(testConfig(), func(_ string, message peer.Message, reply func(peer.Message, error)) {
			reply(nil, nil)
			received <- message.(testRequest).Number
		})
		client := startTransport(testConfig(), nil)
		for number := range 100 {
			client.Send(server.Address(), testRequest{Number: number})
		}
		for number := range 100 {
			Eventually(received, longTimeout).Should(Receive(Equal(number)))
		}
	})

	It("fails calls whose connection is lost, and reconnects", func() {
		requests := make(chan struct{}, 1)
		first := startTransport(testConfig(), func(string, peer.Message, func(peer.Message, error)) { requests <- struct{}{} })
		client := startTransport(testConfig(), nil)
		result := startCall(client, first.Address(), testRequest{}, time.Hour)
		Eventually(requests, longTimeout).Should(Receive())
		first.Close()
		var lost callResult
		Eventually(result, longTimeout).Should(Receive(&lost))
		Expect(lost.err).To(MatchError(peer.ErrUnreachable))

		config := testConfig()
		config.Address = first.Address()
		startTransport(config, echo)
		Eventually(func() error {
			var again callResult
			Eventually(startCall(client, first.Address(), testRequest{Number: 1}, longTimeout), longTimeout).Should(Receive(&again))
			return again.err
		}, longTimeout).Should(Succeed())
	})

	It("fails at once when the connection is refused", func() {
		client := startTransport(testConfig(), nil)
		closed := startTransport(testConfig(), nil)
		closed.Close()
		var result callResult
		Eventually(startCall(client, closed.Address(), testRequest{}, time.Hour), longTimeout).Should(Receive(&result))
		Expect(result.err).To(MatchError(peer.ErrUnreachable))
	})

	It("limits the queue and the pending calls to a peer that does not reply", func() {
		config := testConfig()
		config.QueueLength, config.MaxPendingCalls = 4, 8
		server := startTransport(testConfig(), func(string, peer.Message, func(peer.Message, error)) {})
		client := startTransport(config, nil)
		results := make(chan error, 100)
		for range 100 {
			client.Call(server.Address(), testRequest{}, time.Hour, func(_ peer.Message, err error) { results <- err })
		}
		for range 100 - config.MaxPendingCalls {
			Eventually(results, longTimeout).Should(Receive(MatchError(peer.ErrUnreachable)))
		}
		client.Close()
		for range config.MaxPendingCalls {
			Eventually(results, longTimeout).Should(Receive(MatchError(peer.ErrUnreachable)))
		}
		Consistently(results, 0).ShouldNot(Receive())
	})

	It("closes an idle link and opens a new one when needed", func() {
		config := testConfig()
		config.IdleTimeout = time.Millisecond
		server := startTransport(testConfig(), echo)
		client := startTransport(config, nil)
		for number := range 3 {
			Eventually(startCall(client, server.Address(), testRequest{Number: number}, longTimeout), longTimeout).
				Should(Receive(Equal(callResult{message: testReply{Number: number}})))
			Eventually(func() int { return linkCount(client) }, longTimeout).Should(BeZero())
		}
	})

	DescribeTable("rejects an invalid configuration",
		func(change func(*Config), part string) {
			config := testConfig()
			change(&config)
			_, err := New(config)
			Expect(err).To(MatchError(ContainSubstring(part)))
		},
		Entry("no secret", func(c *Config) { c.Secret = nil }, "secret"),
		Entry("bad address", func(c *Config) { c.Address = "nowhere" }, "listening"),
		Entry("long advertised address", func(c *Config) { c.AdvertisedAddress = fmt.Sprintf("%0300d", 1) }, "advertised"),
	)
})

func linkCount(t *Transport) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.links)
}
