package serverpath

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/exchange"
)

// Guards against a surplus response on an idle connection through another node that is taken for the
// response to the next request on it.
func TestSurplusResponseOnAnIdleCarriedConnectionIsNoticed(t *testing.T) {
	inVirtualTime(t, 2, 4, func(t *testing.T, n *network) {
		RegisterTestingT(t)
		n.set("n0", hangs)
		node := n.nodes["n0"]
		client := exchange.NewClient(exchange.DialSettings{Timeout: time.Second, Dial: node.direct, Paths: node.dialer})
		defer client.Prune(time.Now().Add(time.Hour))
		accepted := func(number int) net.Conn {
			for range 100 {
				n.mutex.Lock()
				conns := n.accepted["s0"]
				n.mutex.Unlock()
				if len(conns) > number {
					return conns[number]
				}
				time.Sleep(10 * time.Millisecond)
			}
			return nil
		}
		exchangeOn := func(number int, text string) (*http.Response, error) {
			served := make(chan struct{})
			go func() {
				defer close(served)
				conn := accepted(number)
				if conn == nil {
					return
				}
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, text)
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			response, err := client.Do(ctx, exchange.Request{Address: "s0", Method: http.MethodGet, Head: []byte("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")})
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
			}
			return response, err
		}
		_, err := exchangeOn(0, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		_, err = io.WriteString(accepted(0), "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(time.Second)
		response, err := exchangeOn(1, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})
}
