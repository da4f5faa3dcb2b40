package forward

import (
	"bytes"
	"errors"
	"io"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
)

const (
	// maxEventBytes is the longest event of a stream; a longer one breaks the stream.
	maxEventBytes    = 1 << 20
	relayBufferBytes = 4 << 10
	// maxKeptBytes is the largest buffer that is kept for the next event.
	maxKeptBytes = 2 * relayBufferBytes
)

// eventReader splits a body into complete events. Lines end with LF, CRLF or CR.
type eventReader struct {
	body   io.Reader
	buffer []byte
	// account has the bytes of partial and of the events that are held after next has returned them; nil:
	// they are not limited.
	account *bytebudget.Account
	held    int
	// partial is the beginning of an event that is not complete yet, behind the events that next returned,
	// which are taken bytes long.
	partial []byte
	taken   int
	scanner eventScanner
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: body, buffer: make([]byte, relayBufferBytes)}
}

// next returns the events that the next reads complete. It returns io.EOF at the end of a complete
// stream, and errPartialEvent if the body ends within an event; both may come with events. The events
// are valid until the next call. It returns errMemoryShort if there is no room for the event.
func (r *eventReader) next() ([][]byte, error) {
	r.removeTaken()
	for {
		if err := r.reserve(0); err != nil {
			return nil, err
		}
		count, err := r.body.Read(r.buffer)
		r.grow(count)
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

// removeTaken removes the events that were returned. A long one leaves no large buffer behind.
func (r *eventReader) removeTaken() {
	rest := r.partial[r.taken:]
	if cap(r.partial) > maxKeptBytes && len(rest) <= maxKeptBytes/2 {
		r.partial = nil
	}
	r.partial, r.taken = append(r.partial[:0], rest...), 0
}

// grow makes room for so many more bytes. The buffer doubles, so that a long event is not copied often, up to
// what one event may have.
func (r *eventReader) grow(count int) {
	length := len(r.partial) + count
	if length <= cap(r.partial) || length <= relayBufferBytes {
		return
	}
	size := max(length, min(2*cap(r.partial), maxEventBytes+relayBufferBytes))
	r.partial = append(make([]byte, 0, size), r.partial...)
}

// reserve adapts the account to what is held, and so many bytes more.
func (r *eventReader) reserve(further int) error {
	if !r.account.Resize(int64(cap(r.partial) + r.held + further)) {
		return errMemoryShort
	}
	return nil
}

// takeComplete returns the complete events at the beginning of partial; ended: nothing follows it.
func (r *eventReader) takeComplete(ended bool) [][]byte {
	var events [][]byte
	for {
		rest := r.partial[r.taken:]
		length := r.scanner.scan(rest, ended)
		if length == 0 {
			return events
		}
		r.scanner = eventScanner{}
		events = append(events, rest[:length])
		r.taken += length
	}
}

// rest returns what was read after the last complete event.
func (r *eventReader) rest() []byte { return r.partial[r.taken:] }

// withinEvent reports whether a part of an event was read that is not complete: more than line ends and spaces.
func (r *eventReader) withinEvent() bool { return len(bytes.Trim(r.rest(), "\r\n ")) > 0 }

// checkEnd turns an io.EOF within an event into errPartialEvent.
func (r *eventReader) checkEnd(err error) error {
	if errors.Is(err, io.EOF) && r.withinEvent() {
		return errPartialEvent
	}
	return err
}

// eventScanner finds the end of the first event of data that comes in pieces. It searches each byte once.
type eventScanner struct {
	// begin is where the current line begins, searched the length of a part of it without line end.
	begin, searched int
	// started: a line that is not blank has ended. crlf: the last line ended with CRLF.
	started, crlf bool
}

// scan returns the length in bytes of the first event of data, including the blank lines around it; 0 if
// it is not complete. Until it is, data must begin with that of the call before. The LF of a CRLF is
// waited for, unless the data has ended.
func (s *eventScanner) scan(data []byte, ended bool) int {
	for {
		length := s.searched + lineLength(data[s.begin+s.searched:])
		end := s.begin + length + 1
		if end > len(data) {
			s.searched = length
			return 0
		}
		blank := length == 0 && s.started
		endsWithCR := data[end-1] == '\r'
		if endsWithCR && end == len(data) && !ended && (s.crlf || !blank) {
			s.searched = length
			return 0
		}
		s.crlf = endsWithCR && end < len(data) && data[end] == '\n'
		if s.crlf {
			end++
		}
		if blank {
			return end
		}
		s.started = s.started || length > 0
		s.begin, s.searched = end, 0
	}
}
