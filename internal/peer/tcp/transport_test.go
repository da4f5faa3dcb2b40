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

// startTransport starts a transport that is closed after the test.
func startTransport(config Config, handler peer.Handler) *Transport {
	transport, err := New(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(transport.Close)
	if handler != nil {
		transport.Handle(question{}, handler)
	}
	transport.Start()
	return transport
}

// selfSigned returns a TLS configuration whose certificate it trusts itself.
func selfSigned() *tls.Config {
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	return &tls.Config{Certificates: server.TLS.Certificates, RootCAs: trusted, MinVersion: tls.VersionTLS13}
}

var _ = Describe("Transport", func() {
	DescribeTable("answers calls and tells who asks",
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
			Eventually(ask(client, server.Address(), question{Number: 7}, longTimeout), longTimeout).
				Should(Receive(Equal(ended{message: answer{Number: 7}})))
			Expect(from).To(Receive(Equal(client.Address())))
		},
		Entry("in clear", false),
		Entry("over TLS", true),
	)

	It("gives each call its own reply when replies come late and in reverse", func() {
		const calls = 500
		type waiting struct {
			number int
			reply  func(peer.Message, error)
		}
		asked := make(chan waiting, calls)
		server := startTransport(testConfig(), func(_ string, message peer.Message, reply func(peer.Message, error)) {
			asked <- waiting{message.(question).Number, reply}
		})
		client := startTransport(testConfig(), nil)
		var ends []<-chan ended
		for number := range calls {
			ends = append(ends, ask(client, server.Address(), question{Number: number}, longTimeout))
		}
		var all []waiting
		for range calls {
			all = append(all, <-asked)
		}
		for i := len(all) - 1; i >= 0; i-- {
			go func() {
				all[i].reply(answer{Number: all[i].number}, nil)
				all[i].reply(answer{Number: -1}, nil)
			}()
		}
		for number, end := range ends {
			Eventually(end, longTimeout).Should(Receive(Equal(ended{message: answer{Number: number}})))
			Expect(end).NotTo(Receive())
		}
	})

	DescribeTable("ends a call that has no answer",
		func(handler peer.Handler, message peer.Message, timeout time.Duration, expected any) {
			server := startTransport(testConfig(), handler)
			client := startTransport(testConfig(), nil)
			var end ended
			Eventually(ask(client, server.Address(), message, timeout), longTimeout).Should(Receive(&end))
			Expect(end.err).To(MatchError(expected))
		},
		Entry("no handler", nil, question{}, longTimeout, errNoHandler.Error()),
		Entry("handler fails", peer.Handler(func(_ string, _ peer.Message, reply func(peer.Message, error)) {
			reply(nil, errors.New("not today"))
		}), question{}, longTimeout, "not today"),
		Entry("handler never replies", peer.Handler(func(string, peer.Message, func(peer.Message, error)) {}),
			question{}, 20*time.Millisecond, peer.ErrUnreachable),
		Entry("message too large", peer.Handler(echo), question{Padding: make([]byte, DefaultMaxFrameBytes)},
			longTimeout, errMessageTooLarge),
		Entry("reply that can't be encoded", peer.Handler(func(_ string, _ peer.Message, reply func(peer.Message, error)) {
			reply(unregistered{}, nil)
		}), question{}, longTimeout, ContainSubstring("can't be encoded")),
		Entry("message that can't be encoded", peer.Handler(echo), unregistered{}, longTimeout, ContainSubstring("can't be encoded")),
	)

	It("goes on after a message that was too large", func() {
		server := startTransport(testConfig(), echo)
		client := startTransport(testConfig(), nil)
		var end ended
		tooLarge := question{Padding: make([]byte, DefaultMaxFrameBytes)}
		Eventually(ask(client, server.Address(), tooLarge, longTimeout), longTimeout).Should(Receive(&end))
		Eventually(ask(client, server.Address(), question{Number: 1}, longTimeout), longTimeout).
			Should(Receive(Equal(ended{message: answer{Number: 1}})))
	})

	It("delivers one-way messages in order", func() {
		received := make(chan int, 100)
		server := startTransport(testConfig(), func(_ string, message peer.Message, reply func(peer.Message, error)) {
			reply(nil, nil)
			received <- message.(question).Number
		})
		client := startTransport(testConfig(), nil)
		for number := range 100 {
			client.Send(server.Address(), question{Number: number})
		}
		for number := range 100 {
			Eventually(received, longTimeout).Should(Receive(Equal(number)))
		}
	})

	It("fails calls whose connection is lost, and connects again", func() {
		asked := make(chan struct{}, 1)
		first := startTransport(testConfig(), func(string, peer.Message, func(peer.Message, error)) { asked <- struct{}{} })
		client := startTransport(testConfig(), nil)
		end := ask(client, first.Address(), question{}, time.Hour)
		Eventually(asked, longTimeout).Should(Receive())
		first.Close()
		var lost ended
		Eventually(end, longTimeout).Should(Receive(&lost))
		Expect(lost.err).To(MatchError(peer.ErrUnreachable))

		config := testConfig()
		config.Address = first.Address()
		startTransport(config, echo)
		Eventually(func() error {
			var again ended
			Eventually(ask(client, first.Address(), question{Number: 1}, longTimeout), longTimeout).Should(Receive(&again))
			return again.err
		}, longTimeout).Should(Succeed())
	})

	It("fails at once when nobody listens", func() {
		client := startTransport(testConfig(), nil)
		gone := startTransport(testConfig(), nil)
		gone.Close()
		var end ended
		Eventually(ask(client, gone.Address(), question{}, time.Hour), longTimeout).Should(Receive(&end))
		Expect(end.err).To(MatchError(peer.ErrUnreachable))
	})

	It("bounds the queue and the calls to a peer that does not answer", func() {
		config := testConfig()
		config.QueueLength, config.MaxPendingCalls = 4, 8
		server := startTransport(testConfig(), func(string, peer.Message, func(peer.Message, error)) {})
		client := startTransport(config, nil)
		ends := make(chan error, 100)
		for range 100 {
			client.Call(server.Address(), question{}, time.Hour, func(_ peer.Message, err error) { ends <- err })
		}
		for range 100 - config.MaxPendingCalls {
			Eventually(ends, longTimeout).Should(Receive(MatchError(peer.ErrUnreachable)))
		}
		client.Close()
		for range config.MaxPendingCalls {
			Eventually(ends, longTimeout).Should(Receive(MatchError(peer.ErrUnreachable)))
		}
		Consistently(ends, 0).ShouldNot(Receive())
	})

	It("ends an idle link and makes a new one when needed", func() {
		config := testConfig()
		config.IdleTimeout = time.Millisecond
		server := startTransport(testConfig(), echo)
		client := startTransport(config, nil)
		for number := range 3 {
			Eventually(ask(client, server.Address(), question{Number: number}, longTimeout), longTimeout).
				Should(Receive(Equal(ended{message: answer{Number: number}})))
			Eventually(func() int { return linkCount(client) }, longTimeout).Should(BeZero())
		}
	})

	DescribeTable("refuses settings that can't work",
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
