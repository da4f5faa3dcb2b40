package engine

import (
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// clientStream is the client's end of one attempt: it restores the order of
// the frames, drops repeated ones and repeated chunks, and ends exactly once.
type clientStream struct {
	service    *Simulated
	request    outside.GenerateRequest
	sink       outside.GenerateSink
	connection *connection

	// nextSequence of frame and nextIndex of chunk are awaited.
	nextSequence, nextIndex int
	// early frames wait for those before them.
	early    map[int]frame
	stalled  clock.Timer
	deadline clock.Timer
	finished bool
}

// armDeadline ends the attempt when the request's deadline comes.
func (s *clientStream) armDeadline() {
	if s.request.Deadline.IsZero() {
		return
	}
	left := s.request.Deadline.Sub(s.service.client.Now())
	s.deadline = s.service.client.AfterFunc(left, func() {
		s.fail(result.RanUnknown, ReasonTimeout)
		s.sendCancel()
	})
}

// receive takes one frame off the network.
func (s *clientStream) receive(received frame) {
	if s.finished || received.sequence < s.nextSequence {
		return
	}
	if received.sequence > s.nextSequence {
		s.keepEarly(received)
		return
	}
	s.take(received)
	for len(s.early) > 0 && !s.finished {
		next, arrived := s.early[s.nextSequence]
		if !arrived {
			return
		}
		delete(s.early, s.nextSequence)
		s.take(next)
	}
	s.stopStall()
}

// keepEarly keeps a frame that overtook another, and breaks the stream if the
// missing one does not come.
func (s *clientStream) keepEarly(received frame) {
	if s.early == nil {
		s.early = map[int]frame{}
	}
	s.early[received.sequence] = received
	if s.stalled == nil {
		s.armStall()
	}
}

func (s *clientStream) armStall() {
	awaited := s.nextSequence
	s.stalled = s.service.client.AfterFunc(s.service.StallTimeout, func() {
		s.stalled = nil
		switch {
		case s.finished || len(s.early) == 0:
		case s.nextSequence > awaited:
			s.armStall()
		default:
			s.fail(result.RanUnknown, ReasonTruncated)
			s.sendCancel()
		}
	})
}

func (s *clientStream) stopStall() {
	if s.stalled != nil {
		s.stalled.Stop()
		s.stalled = nil
	}
}

// take handles the next frame in order.
func (s *clientStream) take(next frame) {
	s.nextSequence++
	switch {
	case next.err != nil:
		s.finish()
		s.sink.Failed(next.err)
	case next.end != nil:
		s.takeEnd(*next.end)
	default:
		s.takeChunk(next.chunk)
	}
}

// takeEnd accepts an end only if all chunks came before it.
func (s *clientStream) takeEnd(end outside.GenerateEnd) {
	if end.Chunks != s.nextIndex {
		s.fail(result.RanUnknown, ReasonTruncated)
		return
	}
	s.finish()
	s.sink.End(end)
}

func (s *clientStream) takeChunk(chunk outside.Chunk) {
	switch {
	case chunk.Index < s.nextIndex:
	case chunk.Index > s.nextIndex:
		s.fail(result.RanUnknown, ReasonTruncated)
		s.sendCancel()
	default:
		s.nextIndex++
		s.sink.Chunk(chunk)
	}
}

// cancel gives the attempt up; the sink still gets the engine's word on it, or
// a failure after a while.
func (s *clientStream) cancel() {
	if s.finished {
		return
	}
	s.sendCancel()
	s.service.client.AfterFunc(s.service.CancelTimeout, func() { s.fail(result.RanUnknown, ReasonCancelled) })
}

func (s *clientStream) sendCancel() {
	connection := s.connection
	s.service.fleet.network.Deliver(s.service.client, connection.host.stack, connection.cancelByClient)
}

func (s *clientStream) fail(ran result.Ran, reason string) {
	if s.finished {
		return
	}
	s.finish()
	s.sink.Failed(&outside.AttemptError{Attempt: s.request.Attempt, Ran: ran, Reason: reason})
}

func (s *clientStream) finish() {
	s.finished = true
	s.early = nil
	s.stopStall()
	if s.deadline != nil {
		s.deadline.Stop()
	}
}
