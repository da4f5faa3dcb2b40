package forward

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxEventBytes is the longest event of a stream; a longer one breaks the stream.
	maxEventBytes    = 1 << 20
	relayBufferBytes = 4 << 10
)

// errEventTooLong breaks a stream with an event longer than maxEventBytes.
var errEventTooLong = errors.New("stream event exceeds the length limit")

// eventReader splits a body into complete events. Lines end with LF, CRLF or CR.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// partial is the beginning of an event that is not complete yet.
	partial []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, relayBufferBytes)}
}

// next returns the events that the next reads complete. It returns io.EOF at the end of a complete
// stream, and io.ErrUnexpectedEOF if the body ends within an event; both may come with events.
func (r *eventReader) next() ([][]byte, error) {
	for {
		count, err := r.body.Read(r.buffer)
		r.partial = append(r.partial, r.buffer[:count]...)
		if events := r.takeComplete(); len(events) > 0 {
			return events, r.checkEnd(err)
		}
		if err != nil {
			return nil, r.checkEnd(err)
		}
		if len(r.partial) > maxEventBytes {
			return nil, errEventTooLong
		}
	}
}

// takeComplete removes the complete events from partial.
func (r *eventReader) takeComplete() [][]byte {
	var events [][]byte
	taken := 0
	for {
		length := eventLength(r.partial[taken:])
		if length == 0 {
			break
		}
		events = append(events, bytes.Clone(r.partial[taken:taken+length]))
		taken += length
	}
	r.partial = append(r.partial[:0], r.partial[taken:]...)
	return events
}

// withinEvent reports whether a part of an event was read that is not complete.
func (r *eventReader) withinEvent() bool { return len(bytes.TrimSpace(r.partial)) > 0 }

// checkEnd turns an io.EOF within an event into io.ErrUnexpectedEOF.
func (r *eventReader) checkEnd(err error) error {
	if errors.Is(err, io.EOF) && r.withinEvent() {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eventLength is the length in bytes of the first event of data, including the blank lines around it; 0
// if it is not complete.
func eventLength(data []byte) int {
	started, crlf := false, false
	for begin := 0; ; {
		length := bytes.IndexAny(data[begin:], "\r\n")
		if length < 0 {
			return 0
		}
		end := begin + length + 1
		endsWithCR := data[end-1] == '\r'
		if endsWithCR && end == len(data) && crlf {
			// The LF of the blank line is still to come.
			return 0
		}
		crlf = endsWithCR && end < len(data) && data[end] == '\n'
		if crlf {
			end++
		}
		if length == 0 && started {
			return end
		}
		started = started || length > 0
		begin = end
	}
}
