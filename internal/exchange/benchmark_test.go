package exchange

import (
	"bufio"
	"context"
	"net"
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
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
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
