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
	// partial is the beginning of an event that is not complete yet, behind the events that next returned,
	// which are taken bytes long.
	partial []byte
	taken   int
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, relayBufferBytes)}
}

// next returns the events that the next reads complete. It returns io.EOF at the end of a complete
// stream, and io.ErrUnexpectedEOF if the body ends within an event; both may come with events. The events
// are valid until the next call.
func (r *eventReader) next() ([][]byte, error) {
	r.partial, r.taken = append(r.partial[:0], r.partial[r.taken:]...), 0
	for {
		count, err := r.body.Read(r.buffer)
		r.partial = append(r.partial, r.buffer[:count]...)
		if events := r.takeComplete(err != nil); len(events) > 0 {
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

// takeComplete returns the complete events at the beginning of partial; ended: nothing follows it.
func (r *eventReader) takeComplete(ended bool) [][]byte {
	var events [][]byte
	for {
		rest := r.partial[r.taken:]
		length := eventLength(rest, ended)
		if length == 0 {
			return events
		}
		events = append(events, rest[:length])
		r.taken += length
	}
}

// withinEvent reports whether a part of an event was read that is not complete.
func (r *eventReader) withinEvent() bool { return len(bytes.TrimSpace(r.partial[r.taken:])) > 0 }

// checkEnd turns an io.EOF within an event into io.ErrUnexpectedEOF.
func (r *eventReader) checkEnd(err error) error {
	if errors.Is(err, io.EOF) && r.withinEvent() {
		return io.ErrUnexpectedEOF
	}
	return err
}

// eventLength is the length in bytes of the first event of data, including the blank lines around it; 0
// if it is not complete. The LF of a blank line's CRLF is waited for, unless the data has ended.
func eventLength(data []byte, ended bool) int {
	started, crlf := false, false
	for begin := 0; ; {
		length := lineLength(data[begin:])
		if begin+length == len(data) {
			return 0
		}
		end := begin + length + 1
		endsWithCR := data[end-1] == '\r'
		if endsWithCR && end == len(data) && crlf && !ended {
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
