package gateway

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// reorderWindow is how many chunks may wait for a missing one.
const reorderWindow = 64

// stream is the state of a request's answer over all its attempts.
type stream struct {
	// next is the index of the chunk expected next.
	next int
	// version that produced the chunks so far; only it may go on.
	version string
	// early holds chunks that came before a missing one.
	early map[int]outside.Chunk
	// recorded text of a non-repeatable request's answer.
	recorded recording
	routing  router.Request
}

// receive takes a chunk of the current attempt: in order of index, each once.
func (s *shard) receive(a *attempt, chunk outside.Chunk, turn *turn) {
	e := a.entry
	if !a.answered {
		a.answered = true
		e.group.router.ResponseStarted(a.place)
		s.dispatch(e.group, turn)
	}
	switch {
	case chunk.Index < e.stream.next:
		return
	case chunk.Index > e.stream.next:
		s.receiveEarly(a, chunk, turn)
		return
	}
	e.stream.version = a.place.Endpoint.Version
	e.accept(chunk, turn)
	for len(e.stream.early) > 0 {
		following, present := e.stream.early[e.stream.next]
		if !present {
			return
		}
		delete(e.stream.early, following.Index)
		e.accept(following, turn)
	}
}

// accept passes the next chunk on to the caller.
func (e *entry) accept(chunk outside.Chunk, turn *turn) {
	e.stream.next++
	if e.claim.needed {
		e.stream.recorded.add(chunk, e.shard.gateway.config.Limits.RecordedBytes)
	}
	e.post(turn, delivery{chunk: chunk})
}

func (s *shard) receiveEarly(a *attempt, chunk outside.Chunk, turn *turn) {
	e := a.entry
	if len(e.stream.early) >= reorderWindow {
		s.stop(a, turn)
		s.failed(a, result.RanYes, reasonTruncated, turn)
		return
	}
	if e.stream.early == nil {
		e.stream.early = map[int]outside.Chunk{}
	}
	e.stream.early[chunk.Index] = chunk
}

// streamEnded handles the end of an attempt's stream.
func (s *shard) streamEnded(a *attempt, end outside.GenerateEnd, turn *turn) {
	e := a.entry
	current := a.current()
	complete := current && end.Chunks == e.stream.next
	outcome := router.Succeeded
	if current && !complete {
		outcome = router.Failed
	}
	s.settle(a, outcome, &end.Load, turn)
	if !complete {
		s.failed(a, result.RanYes, reasonTruncated, turn)
		return
	}
	if e.claim.held {
		s.recordStream(e, end)
	}
	answer := Answer{End: end, Server: a.place.Endpoint.Server, Cold: e.cold}
	s.finish(e, answer, turn)
	s.dispatch(e.group, turn)
}
