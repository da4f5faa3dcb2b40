package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// BenchmarkDo sends requests with IDs of their own over one loopback connection after the other.
func BenchmarkDo(b *testing.B) {
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
