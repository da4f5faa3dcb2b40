package exchange

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscardedBody is the maximum size in bytes of a body that Discard reads.
	maxDiscardedBody = 4 << 10
	// discardTimeout is how long the rest of such a body may take.
	discardTimeout = 250 * time.Millisecond
)

// Discard ends an exchange whose body is of no interest. It does not wait for bytes that have not arrived.
// The connection is kept for reuse if the rest of a short body arrives soon, even after the context of
// the exchange has ended. The body must not be used afterwards.
func Discard(response *http.Response) {
	body, isOwn := response.Body.(*responseBody)
	if !isOwn {
		_ = response.Body.Close()
		return
	}
	length := response.ContentLength
	switch {
	case body.ReadCloser == http.NoBody || length >= 0 && length <= int64(body.conn.reader.Buffered()):
		body.drain()
	case IsUnframed(response) || !body.reusable || length > maxDiscardedBody || !body.stop():
		_ = body.Close()
	default:
		body.stop = time.AfterFunc(discardTimeout, func() { _ = body.conn.Close() }).Stop
		go body.drain()
	}
}

// drain reads a short body to its end, which keeps the connection for reuse, and closes a longer one.
func (b *responseBody) drain() {
	// A failed read leaves the connection to Close.
	_, _ = io.Copy(io.Discard, io.LimitReader(b, maxDiscardedBody+1))
	_ = b.Close()
}
