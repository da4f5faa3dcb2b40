package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// echoStream accepts a stream with the request's number, and returns all bytes that it receives.
func echoStream(_ context.Context, _ string, request peer.Message, accept func(peer.Message) (net.Conn, error)) {
	conn, err := accept(testReply{Number: request.(testRequest).Number})
	if err != nil {
		return
	}
	_, _ = io.Copy(conn, conn)
}

var _ = Describe("Streams", func() {
	var server, client *Transport
	start := func(config Config, handler peer.StreamHandler) {
		created, err := New(config)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(created.Close)
		if handler != nil {
			created.HandleStream(testRequest{}, handler)
		}
		created.Start()
		server, client = created, startTransport(config, nil)
	}
	open := func(timeout time.Duration) (net.Conn, peer.Message, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		return client.OpenStream(ctx, server.Address(), testRequest{Number: 7})
	}

	DescribeTable("carry bytes both ways after the reply, and outlast the context of their opening",
		func(secure bool) {
			config := testConfig()
			if secure {
				config.TLS = selfSigned()
			}
			start(config, echoStream)
			conn, reply, err := open(longTimeout)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			Expect(reply).To(Equal(testReply{Number: 7}))
			sent := make([]byte, 300_000)
			go func() { _, _ = conn.Write(sent) }()
			received := make([]byte, len(sent))
			_, err = io.ReadFull(conn, received)
			Expect(err).NotTo(HaveOccurred())
		},
		Entry("without TLS", false),
		Entry("over TLS", true),
	)

	It("fail without a handler, as with an earlier build", func() {
		start(testConfig(), nil)
		_, _, err := open(longTimeout)
		Expect(err).To(HaveOccurred())
	})

	It("fail when the handler does not accept", func() {
		start(testConfig(), func(context.Context, string, peer.Message, func(peer.Message) (net.Conn, error)) {})
		_, _, err := open(longTimeout)
		Expect(errors.Is(err, peer.ErrUnreachable)).To(BeTrue())
	})

	It("end when the transport is closed", func() {
		start(testConfig(), echoStream)
		conn, _, err := open(longTimeout)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		server.Close()
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
	})
})
