package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
)

// Errors of a response whose head exceeds a limit. Test for them with errors.Is.
var (
	// ErrHeadTooLong reports that the head of a response exceeds maxHeadBytes or maxHeadLines.
	ErrHeadTooLong = errors.New("the response's head exceeds the length limit")
	// ErrTooManyInterim reports more than maxInterimResponses interim responses.
	ErrTooManyInterim = errors.New("too many interim responses")
)

const (
	// maxHeadBytes is the maximum size in bytes of the head of a response, together with the interim
	// (1xx) responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the maximum number of lines of these heads. A header that is parsed takes some 100 bytes
	// beside its text.
	maxHeadLines = 512
	// maxKeptRecording is the capacity in bytes up to which the buffer for heads stays with a connection.
	maxKeptRecording = 1 << 10
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
	// lines is the number of line ends that were read while limited.
	lines int
	// recording is what was read since a head began.
	recording []byte
}

// forget forgets the recording, and keeps its buffer unless that is large.
func (r *headReader) forget() {
	r.recording = r.recording[:0]
	if cap(r.recording) > maxKeptRecording {
		r.recording = nil
	}
}

// Read implements io.Reader.
func (r *headReader) Read(buffer []byte) (int, error) {
	if !r.limited {
		return r.source.Read(buffer)
	}
	if r.remaining <= 0 || r.lines > maxHeadLines {
		r.exceeded = true
		return 0, ErrHeadTooLong
	}
	count, err := r.source.Read(buffer[:min(len(buffer), r.remaining)])
	r.remaining -= count
	r.lines += bytes.Count(buffer[:count], []byte{'\n'})
	r.recording = append(r.recording, buffer[:count]...)
	return count, err
}

// readHead reads the head of the next final response. It skips interim responses.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.head.limited, c.head.remaining, c.head.lines = true, maxHeadBytes-c.reader.Buffered(), 0
	defer func() { c.head.limited = false }()
	for range maxInterimResponses + 1 {
		response, err := c.readOneHead(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, ErrTooManyInterim
}

// readOneHead reads the head of the next response, which may be an interim one.
func (c *connection) readOneHead(method string) (*http.Response, error) {
	if err := c.record(); errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	} else if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	encoded, malformed := c.checkLines()
	switch {
	case c.head.exceeded:
		// net/http may report the line that was cut instead.
		return nil, ErrHeadTooLong
	case err != nil:
		return nil, err
	case malformed != nil:
		return nil, malformed
	}
	if err := checkHead(response, encoded); err != nil {
		return nil, err
	}
	return response, nil
}

// headAnomaly returns the kind of anomaly that a failure to read a head shows; empty if it shows none.
func (c *connection) headAnomaly(failure error) AnomalyKind {
	switch {
	case errors.Is(failure, ErrHeadTooLong):
		return AnomalyHeadTooLong
	case errors.Is(failure, ErrTooManyInterim):
		return AnomalyTooManyInterim
	case errors.Is(failure, ErrMalformedHead), c.reader.Buffered() > 0:
		return AnomalyMalformedResponse
	}
	return ""
}
