package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkDo exchanges requests on one connection over loopback TCP, with responses of a few sizes.
func BenchmarkDo(b *testing.B) {
	for _, size := range []int{100, 10_000, 1_000_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer listener.Close()
			text := []byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size))
			// A client opens another connection after maxExchanges.
			go func() {
				for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
					go func() {
						defer conn.Close()
						reader := bufio.NewReader(conn)
						for {
							if request, _ := readRequest(reader); request == nil {
								return
							}
							if _, err := conn.Write(text); err != nil {
								return
							}
						}
					}()
				}
			}()
			client := NewClient(DialSettings{Timeout: 10 * time.Second, AckTimeout: time.Minute})
			request := requestFor("1")
			request.Address = listener.Addr().String()
			buffer := make([]byte, 32<<10)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				response, err := client.Do(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				for {
					if _, err := response.Body.Read(buffer); err != nil {
						break
					}
				}
			}
		})
	}
}

// BenchmarkDoWithIdentities sends requests with IDs of their own over one loopback connection after the other.
func BenchmarkDoWithIdentities(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respondToAll(conn)
		}
	}()
	client := NewClient(DialSettings{Timeout: 10 * time.Second, AckTimeout: time.Second})
	defer client.closeIdle()
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = "request-" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	number := 0
	for b.Loop() {
		id := ids[number%len(ids)]
		number++
		response, err := client.Do(context.Background(), Request{
			Address: listener.Addr().String(), Method: http.MethodGet, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"),
			Identity: id, NotAfter: []string{id}, Matches: func(*http.Response) bool { return true },
		})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := read(response); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(client.Opened()), "connections")
}

// respondToAll responds to each request without a body.
func respondToAll(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(conn, encodedResponse("1", "one")); err != nil {
			return
		}
	}
}
