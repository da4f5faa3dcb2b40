package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// earlyServer responds to each request after it has read 512 bytes of it, and then ends the connection.
func earlyServer(t *testing.T, response string, pause time.Duration, end func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(conn, make([]byte, 512))
				_, _ = io.WriteString(conn, response)
				time.Sleep(pause)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

// upload sends a request with a body of the size, and returns what is read of the response.
func upload(address string, size int) (body string, err error) {
	client := NewClient(DialSettings{Timeout: 5 * time.Second, AckTimeout: 5 * time.Second})
	response, err := client.Do(context.Background(), Request{
		Address: address, Method: http.MethodPost, Body: make([]byte, size),
		Head: fmt.Appendf(nil, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size),
	})
	if err != nil {
		return "", err
	}
	return read(response)
}

// The ways in which a head says that the body ends with the connection.
var unframedHeads = map[string]string{
	"neither length nor chunks": "HTTP/1.1 200 OK\r\n\r\n",
	"version 1.0":               "HTTP/1.0 200 OK\r\n\r\n",
	"connection: close":         "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// Guards against a part of a response that is read as whole, since the write of a long request took the reset of the
// connection, after which reads end as if in order.
func TestUnframedResponseOfAResetUploadIsNotWhole(t *testing.T) {
	for name, head := range unframedHeads {
		for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 8 << 20, 32 << 20} {
			for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d KiB, %v", name, size>>10, pause), func(t *testing.T) {
					RegisterTestingT(t)
					address := earlyServer(t, head+"a part of", pause, reset)
					for range 4 {
						body, err := upload(address, size)
						Expect(err).To(HaveOccurred(), body)
					}
				})
			}
		}
	}
}

// Guards against whole responses that are taken for parts: the server did not read the request to its end, or did so
// later, but ended its side in order, or the response says itself where it ends.
func TestResponseBeforeTheEndOfAnUploadIsWhole(t *testing.T) {
	readOn := func(conn *net.TCPConn) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}
	const length, chunks = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	type ending struct {
		response string
		end      func(conn *net.TCPConn)
	}
	cases := map[string]ending{"length, reset": {length + "whole", reset}, "chunks, reset": {chunks + "5\r\nwhole\r\n0\r\n\r\n", reset}}
	for name, head := range unframedHeads {
		cases[name+", reads on"] = ending{head + "whole", readOn}
	}
	for name, test := range cases {
		for _, size := range []int{1 << 10, 8 << 20} {
			t.Run(fmt.Sprintf("%s, %d KiB", name, size>>10), func(t *testing.T) {
				RegisterTestingT(t)
				address := earlyServer(t, test.response, 20*time.Millisecond, test.end)
				body, err := upload(address, size)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("whole"))
			})
		}
	}
}

// Guards against the same on a connection whose state the system doesn't tell: the end is whole only if the request
// was written to its end.
func TestUnframedResponseIsWholeOnceTheRequestIsWritten(t *testing.T) {
	for name, readsAll := range map[string]bool{"request read": true, "request not read": false} {
		t.Run(name, func(t *testing.T) {
			RegisterTestingT(t)
			near, far := net.Pipe()
			client := NewClient(DialSettings{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }})
			go func() {
				_, _ = io.ReadFull(far, make([]byte, 512))
				if readsAll {
					_, _ = io.ReadFull(far, make([]byte, 8<<10))
				}
				_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\nbody")
				_ = far.Close()
			}()
			head := "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 8192\r\n"
			head += fmt.Sprintf("Padding: %0*d\r\n\r\n", 512-len(head)-len("Padding: \r\n\r\n"), 0)
			response, err := client.Do(context.Background(), Request{Address: "s", Method: http.MethodPost, Head: []byte(head), Body: make([]byte, 8<<10)})
			Expect(err).NotTo(HaveOccurred())
			body, err := read(response)
			Expect(body).To(Equal("body"))
			if readsAll {
				Expect(err).NotTo(HaveOccurred())
			} else {
				Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			}
		})
	}
}
