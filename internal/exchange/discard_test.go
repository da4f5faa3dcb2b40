package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against waiting for the body of a rejection, which may never come: the request waited for it
// until its deadline.
func TestDiscardDoesNotWaitForTheBody(t *testing.T) {
	for name, body := range map[string][2]string{
		"nothing":    {"HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 5\r\n\r\n", ""},
		"trickling":  {"HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 99999\r\n\r\n", "x"},
		"chunked":    {"HTTP/1.1 503 Full\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"unframed":   {"HTTP/1.1 503 Full\r\nId: 1\r\n\r\n", "x"},
		"large ones": {"HTTP/1.1 503 Full\r\nId: 1\r\n\r\n", strings.Repeat("x", 100_000)},
	} {
		t.Run(name, func(t *testing.T) {
			server := newEndlessServer(body[0], body[1], 100*time.Millisecond)
			withEndlessServer(t, server, func(client *Client, _ *anomalyLog) {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				response, err := client.Do(ctx, requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				began := time.Now()
				Discard(response)
				Expect(time.Since(began)).To(BeZero())
				Expect((<-server.closed).Sub(began)).To(BeNumerically("<=", discardTimeout+100*time.Millisecond))
				Expect(server.taken.Load()).To(BeNumerically("<=", maxDiscardedBody+2*readBuffer))
				Expect(client.idle).To(BeEmpty())
			})
		})
	}
}

// The connection of a rejection whose body follows shortly is reused, also if the request has ended by then.
func TestDiscardKeepsTheConnection(t *testing.T) {
	for name, texts := range map[string][]string{
		"at once":      {"HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 4\r\n\r\nfull"},
		"none":         {"HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n"},
		"later":        {"HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 4\r\n\r\n", "full"},
		"later chunks": {"HTTP/1.1 503 Full\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nfull\r\n", "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			script := func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				for _, text := range texts {
					_, _ = io.WriteString(conn, text)
					time.Sleep(time.Millisecond)
				}
				respondWith(encodedResponse("2", "two"))(conn, reader)
			}
			withServer(t, []connectionScript{script}, func(client *Client, server *scriptedServer) {
				ctx, cancel := context.WithCancel(context.Background())
				response, err := client.Do(ctx, requestFor("1"))
				Expect(err).NotTo(HaveOccurred())
				Discard(response)
				cancel()
				time.Sleep(10 * time.Millisecond)
				response, err = client.Do(context.Background(), requestFor("2"))
				Expect(err).NotTo(HaveOccurred())
				Expect(read(response)).To(Equal("two"))
				Expect(server.dials).To(Equal(1))
			})
		})
	}
}
