package tcp

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
)

// frameOf returns a frame with the given content.
func frameOf(content []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

// encodedFrame returns the frame of an envelope on a new gob stream.
func encodedFrame(message envelope) []byte {
	frame, err := newEncoder(DefaultMaxFrameBytes).encode(&message)
	Expect(err).NotTo(HaveOccurred())
	return bytes.Clone(frame)
}

var _ = Describe("A peer that violates the protocol", func() {
	DescribeTable("has its connection closed and logged, while other peers are still served",
		func(secret string, send func() []byte) {
			config := testConfig()
			log := gbytes.NewBuffer()
			config.Logger = zerolog.New(log)
			server := startTransport(config, echo)
			conn, err := net.Dial("tcp", server.Address())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			Expect(conn.SetDeadline(time.Now().Add(longTimeout))).To(Succeed())
			if secret != "" {
				// With a wrong secret, the other side rejects the proof.
				_ = dialHandshake(conn, []byte(secret), "peer")
			}
			if send != nil {
				_, _ = conn.Write(send())
			}
			_, _ = io.Copy(io.Discard, conn)
			Eventually(log, longTimeout).Should(gbytes.Say(`"code":5004,"reason":"bad_peer_message"`))
			Expect(server.Statistics().ProtocolViolations).To(BeEquivalentTo(1))

			client := startTransport(testConfig(), nil)
			Eventually(startCall(client, server.Address(), testRequest{Number: 3}, longTimeout), longTimeout).
				Should(Receive(Equal(callResult{message: testReply{Number: 3}})))
		},
		Entry("that speaks HTTP", "", func() []byte { return []byte("GET / HTTP/1.1\r\nHost: peer\r\n\r\n") }),
		Entry("with a wrong proof", "", func() []byte { return append([]byte(protocolMagic), make([]byte, 100)...) }),
		Entry("with another secret", "other", nil),
		Entry("with a frame over the limit", testSecret, func() []byte { return []byte{0xff, 0xff, 0xff, 0xff} }),
		Entry("with an empty frame", testSecret, func() []byte { return make([]byte, lengthPrefixBytes) }),
		Entry("with garbage in a frame", testSecret, func() []byte { return frameOf([]byte(strings.Repeat("garbage ", 100))) }),
		Entry("with a gob length beyond the frame", testSecret, func() []byte { return frameOf([]byte{0xfc, 0x3f, 0xff, 0xff, 0xff, 1}) }),
		Entry("with bytes after the message", testSecret, func() []byte {
			frame := encodedFrame(envelope{Kind: envelopeCall, ID: 1, Message: testRequest{}})
			return frameOf(append(frame[lengthPrefixBytes:], 0))
		}),
		Entry("with a reply without a call", testSecret, func() []byte {
			return encodedFrame(envelope{Kind: envelopeReply, ID: 1, Message: testReply{}})
		}),
		Entry("with a call without message", testSecret, func() []byte { return encodedFrame(envelope{Kind: envelopeCall, ID: 1}) }),
		Entry("with an unknown kind", testSecret, func() []byte { return encodedFrame(envelope{Kind: 9, Message: testRequest{}}) }),
	)

	It("is not sent anything when it does not know the secret", func() {
		config := testConfig()
		config.Secret = []byte("other")
		impostor := startTransport(config, echo)
		client := startTransport(testConfig(), nil)
		var result callResult
		Eventually(startCall(client, impostor.Address(), testRequest{}, longTimeout), longTimeout).Should(Receive(&result))
		Expect(result.err).To(HaveOccurred())
		Expect(impostor.Statistics().MessagesReceived).To(BeZero())
	})

	It("can't have more handshakes in progress than the limit", func() {
		config := testConfig()
		config.MaxHandshakes = 2
		server := startTransport(config, echo)
		for range 5 {
			conn, err := net.Dial("tcp", server.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		Eventually(func() uint64 { return server.Statistics().RejectedConnections }, longTimeout).Should(BeEquivalentTo(3))
	})

	It("can't make a buffer grow beyond the bytes that it sends", func() {
		var buffer bytes.Buffer
		claim := binary.BigEndian.AppendUint32(nil, DefaultMaxFrameBytes)
		err := readFrame(bytes.NewReader(append(claim, "short"...)), &buffer, DefaultMaxFrameBytes, func(int) bool { return true })
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(buffer.Cap()).To(BeNumerically("<=", 4096))
	})

	It("is cut off with its long frame where there is no memory for it, while the others are served", func() {
		config := testConfig()
		short := make(chan bytebudget.Kind, 100)
		const limit = 8 << 20
		config.Memory = bytebudget.New(bytebudget.Config{Limit: limit, OnShort: func(kind bytebudget.Kind) { short <- kind }})
		server := startTransport(config, echo)
		client := startTransport(testConfig(), nil)
		Eventually(startCall(client, server.Address(), testRequest{Number: 1}, longTimeout), longTimeout).Should(Receive(Equal(callResult{message: testReply{Number: 1}})))
		// The frames lack their last byte.
		frame := frameOf(make([]byte, 3<<20))
		for range 8 {
			conn, err := net.Dial("tcp", server.Address())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(dialHandshake(conn, []byte(testSecret), "peer")).To(Succeed())
			_, _ = conn.Write(frame[:len(frame)-1])
		}
		Eventually(short, longTimeout).Should(Receive(Equal(bytebudget.Frames)))
		Consistently(func() int64 { return config.Memory.Used()[bytebudget.Frames] }, "200ms", "1ms").Should(And(BeNumerically(">", 0), BeNumerically("<=", limit)))
		Eventually(startCall(client, server.Address(), testRequest{Number: 2}, longTimeout), longTimeout).Should(Receive(Equal(callResult{message: testReply{Number: 2}})))
		server.Close()
		Eventually(func() int64 { return config.Memory.Used()[bytebudget.Frames] }, longTimeout).Should(BeZero())
	})
})
