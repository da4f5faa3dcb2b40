package exchange

import (
	"errors"
	"io"
	"net/http"
)

// Errors of a response whose head exceeds a limit. Test for them with errors.Is.
var (
	// ErrHeadTooLong reports that the head of a response exceeds maxHeadBytes.
	ErrHeadTooLong = errors.New("the response's head exceeds the length limit")
	// ErrTooManyInterim reports more than maxInterimResponses interim responses.
	ErrTooManyInterim = errors.New("too many interim responses")
)

const (
	// maxHeadBytes is the maximum size in bytes of the head of a response, together with the interim
	// (1xx) responses before it.
	maxHeadBytes = 64 << 10
	// maxInterimResponses is the maximum number of interim responses before a final one.
	maxInterimResponses = 32
)

// headReader reads from a connection. While a head is read it returns ErrHeadTooLong after a number of
// bytes, since net/http reads lines and headers without a limit.
type headReader struct {
	source  io.Reader
	limited bool
	// remaining is the number of bytes that may still be read while limited, and exceeded is set once
	// more would have been.
	remaining int
	exceeded  bool
}

// Read implements io.Reader.
func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.limited {
		return r.source.Read(buffer)
	}
	if r.remaining <= 0 {
		r.exceeded = true
		return 0, ErrHeadTooLong
	}
	count, err := r.source.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= count
	return count, err
}

// readHead reads the head of the next final response. It skips interim responses.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.head.limited, c.head.remaining = true, maxHeadBytes-c.reader.Buffered()
	defer func() { c.head.limited = false }()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if c.head.exceeded {
			// net/http may report the line that was cut instead.
			return nil, ErrHeadTooLong
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, ErrTooManyInterim
}

// headAnomaly returns the kind of anomaly that a failure to read a head shows; empty if it shows none.
func (c *connection) headAnomaly(failure error) AnomalyKind {
	switch {
	case errors.Is(failure, ErrHeadTooLong):
		return AnomalyHeadTooLong
	case errors.Is(failure, ErrTooManyInterim):
		return AnomalyTooManyInterim
	case c.reader.Buffered() > 0:
		return AnomalyMalformedResponse
	}
	return ""
}
