package api

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// ending is the final call a responder received.
type ending struct {
	answer  gateway.Answer
	refusal *result.Refusal
}

// streamResponder holds the encoded events of a stream until the handler has
// written them. The gateway's calls never wait for the caller: when the caller
// reads too slowly and the buffer is full, the stream is given up.
type streamResponder struct {
	// signal holds one element when there is something to take.
	signal chan struct{}
	// encoder is used by Chunk only until the ending, then by the handler.
	encoder eventEncoder
	limit   int
	// interrupt ends a write in progress; called with the mutex held.
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

// taken is what the handler has to write next.
type taken struct {
	events   []byte
	chunks   int
	ending   *ending
	overflow bool
}

// take hands over the pending events and takes an empty buffer in exchange.
// Unless the stream has overflowed, arm sets the deadline of the next write;
// it is called with the mutex held, so that an interrupt is never undone.
func (s *streamResponder) take(empty []byte, arm func()) taken {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := taken{events: s.pending, chunks: s.chunks, ending: s.ending, overflow: s.overflow}
	s.pending = empty[:0]
	if !s.overflow {
		arm()
	}
	return next
}

// unlessOverflow calls a function with the mutex held, unless the stream has
// overflowed.
func (s *streamResponder) unlessOverflow(function func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.overflow {
		function()
	}
}

// close makes every later call a no-op: the handler has returned.
func (s *streamResponder) close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.pending = nil
}

func outOfOrder(got, expected int) *result.Refusal {
	refusal := result.Refuse(result.StreamBroken, "piece %d of the answer came where %d was due", got, expected)
	refusal.Ran = result.RanUnknown
	return &refusal
}

// checkComplete turns an answer that lacks pieces into a refusal.
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
