package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

// A request of net/http arrives as it was built, without the headers that the client of net/http
// adds, and is never retried, not even where net/http would do so because a reused connection
// broke.
func TestTransportSendsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		var seen []*http.Request
		var bodies []string
		answerThenBreak := func(conn net.Conn, reader *bufio.Reader) {
			for range 2 {
				request, body := readRequest(reader)
				if request == nil {
					return
				}
				seen, bodies = append(seen, request), append(bodies, body)
				if len(seen) == 1 {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
				}
			}
		}
		server := &scriptedServer{scripts: []connectionScript{answerThenBreak, answerThenBreak}}
		transport := &Transport{Client: NewClient(DialSettings{Timeout: 1e9, Dial: server.dial})}
		client := &http.Client{Transport: transport}
		defer client.CloseIdleConnections()
		send := func(method, path, body string) error {
			request, err := http.NewRequest(method, "http://server:1"+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Idempotency-Key", "k")
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			defer response.Body.Close()
			content, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(content)).To(Equal("fine"))
			return nil
		}
		Expect(send(http.MethodPost, "/a%2Fb?x=1", "body")).To(Succeed())
		Expect(seen[0].RequestURI).To(Equal("/a%2Fb?x=1"))
		Expect(seen[0].Host).To(Equal("server:1"))
		Expect(seen[0].Header).To(Equal(http.Header{"Idempotency-Key": {"k"}, "Content-Length": {"4"}}))
		Expect(bodies[0]).To(Equal("body"))
		err := send(http.MethodGet, "/again", "")
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, ErrNotSent)).To(BeFalse())
		Expect(server.dials).To(Equal(1), "on the reused connection only")
		Expect(seen).To(HaveLen(2))
		server.scripts = nil
		Expect(errors.Is(send(http.MethodGet, "/refused", ""), ErrNotSent)).To(BeTrue())
	})
}
