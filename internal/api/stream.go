package api

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// ending is the final call that a responder received: an answer or a refusal.
type ending struct {
	answer  gateway.Answer
	refusal *result.Refusal
}

// streamResponder is a gateway.Responder that buffers the encoded events of a stream until
// the handler writes them. The gateway's calls never block on the caller: if the caller
// reads too slowly and the buffer overflows, the stream is aborted.
type streamResponder struct {
	// signal holds one element when there is output to take.
	signal chan struct{}
	// encoder is used by Chunk only until the ending, then by the handler.
	encoder eventEncoder
	// limit of the buffered events in bytes.
	limit int
	// interrupt aborts a write in progress; it is called with the mutex held.
	interrupt func()

	mutex    sync.Mutex
	pending  []byte
	chunks   int
	ending   *ending
	overflow bool
	closed   bool
}

func newStreamResponder(encoder eventEncoder, limit int, interrupt func()) *streamResponder {
	return &streamResponder{
		signal:    make(chan struct{}, 1),
		encoder:   encoder,
		limit:     limit,
		interrupt: interrupt,
	}
}

// Chunk implements gateway.Responder.
func (s *streamResponder) Chunk(chunk outside.Chunk) {
	s.mutex.Lock()
	s.add(chunk)
	s.mutex.Unlock()
	s.wake()
}

func (s *streamResponder) add(chunk outside.Chunk) {
	if s.closed || s.overflow || s.ending != nil {
		return
	}
	if chunk.Index != s.chunks {
		s.ending = &ending{refusal: outOfOrder(chunk.Index, s.chunks)}
		return
	}
	s.pending = s.encoder.appendText(s.pending, chunk.Text, s.chunks == 0)
	s.chunks++
	if len(s.pending) > s.limit {
		s.overflow = true
		s.pending = nil
		s.interrupt()
	}
}

// Finish implements gateway.Responder.
func (s *streamResponder) Finish(answer gateway.Answer) { s.end(ending{answer: answer}) }

// Refuse implements gateway.Responder.
func (s *streamResponder) Refuse(refusal result.Refusal) { s.end(ending{refusal: &refusal}) }

func (s *streamResponder) end(last ending) {
	s.mutex.Lock()
	if s.ending == nil {
		s.ending = &last
	}
	s.mutex.Unlock()
	s.wake()
}

func (s *streamResponder) wake() {
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// pendingOutput is what the handler writes next: the events since the last call of
// takePending, and the state of the stream.
type pendingOutput struct {
	events   []byte
	chunks   int
	ending   *ending
	overflow bool
}

// takePending returns the pending events and reuses the empty buffer for the next ones.
// Unless the stream has overflowed, it calls setDeadline for the next write with the mutex
// held, so that the deadline set by an interrupt is never overwritten.
func (s *streamResponder) takePending(empty []byte, setDeadline func()) pendingOutput {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := pendingOutput{events: s.pending, chunks: s.chunks, ending: s.ending, overflow: s.overflow}
	s.pending = empty[:0]
	if !s.overflow {
		setDeadline()
	}
	return next
}

// unlessOverflow calls a function with the mutex held, unless the stream has overflowed.
func (s *streamResponder) unlessOverflow(function func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.overflow {
		function()
	}
}

// close makes later calls of the gateway no-ops. The handler calls it when it returns.
func (s *streamResponder) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.pending = nil
}

// outOfOrder is the refusal for a chunk with an unexpected index.
func outOfOrder(got, expected int) *result.Refusal {
	refusal := result.Refuse(result.StreamBroken, "piece %d of the answer came where %d was due", got, expected)
	refusal.Ran = result.RanUnknown
	return &refusal
}

// checkComplete returns the refusal of the ending, or one for an answer with missing chunks,
// or nil if the answer is complete.
func (e ending) checkComplete(chunks int) *result.Refusal {
	if e.refusal != nil {
		return e.refusal
	}
	if e.answer.End.Chunks == chunks {
		return nil
	}
	refusal := result.Refuse(result.StreamBroken, "the answer has %d pieces of %d", chunks, e.answer.End.Chunks)
	refusal.Ran = result.RanUnknown
	return &refusal
}
