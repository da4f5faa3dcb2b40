package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against connections of health checks and for metrics that are read for ever: a body that trickles
// in was, and a head was read up to 1 MiB.
func TestAuxiliaryListenersBoundWhatTheyRead(t *testing.T) {
	// net/http reads as much of a body that the handler left, before the response and after it.
	const maxDiscarded = 2 * 256 << 10
	const post = "POST /ready HTTP/1.1\r\nHost: h\r\n"
	for name, sent := range map[string]struct {
		first, repeated string
		pause           time.Duration
		limit           int64
	}{
		"header line":   {post + "X-A: ", strings.Repeat("x", 1<<10), 0, maxHeaderBytes + 8<<10},
		"headers":       {post, strings.Repeat("X-A: b\r\n", 128), 0, maxHeaderBytes + 8<<10},
		"no HTTP":       {"", strings.Repeat("x", 1<<10), 0, maxHeaderBytes + 8<<10},
		"slow header":   {post + "X-A: ", "x", 100 * time.Millisecond, 1 << 10},
		"body":          {post + "Content-Length: 99999999\r\n\r\n", strings.Repeat("x", 1<<10), 0, maxDiscarded},
		"chunks":        {post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0, 6*maxDiscarded + 8<<10},
		"slow body":     {post + "Content-Length: 99999999\r\n\r\n", "x", 100 * time.Millisecond, 1 << 10},
		"slow chunks":   {post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 100 * time.Millisecond, 1 << 10},
		"slow trailers": {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", 100 * time.Millisecond, 2 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				listener := newPipeListener()
				server := newAuxiliaryServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }), nil)
				go func() { _ = server.Serve(listener) }()
				near, far := net.Pipe()
				listener.connections <- far
				go func() { _, _ = io.Copy(io.Discard, near) }()
				giveUp := time.AfterFunc(time.Minute, func() { _ = near.Close() })
				began, taken := time.Now(), int64(0)
				for text := sent.first; ; text = sent.repeated {
					count, err := io.WriteString(near, text)
					taken += int64(count)
					if err != nil {
						break
					}
					time.Sleep(sent.pause)
				}
				took := time.Since(began)
				giveUp.Stop()
				_ = near.Close()
				_ = server.Close()
				synctest.Wait()
				Expect(took).To(BeNumerically("<=", headerTimeout+time.Second))
				Expect(taken).To(BeNumerically("<=", sent.limit))
			})
		})
	}
}
