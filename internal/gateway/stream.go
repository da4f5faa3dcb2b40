package gateway

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// reorderWindow is the maximum number of chunks buffered behind a missing one.
const reorderWindow = 64

// stream is the state of a request's answer over all its attempts.
type stream struct {
	// next is the index of the chunk expected next.
	next int
	// version of the weights that produced the chunks so far; only that version
	// may continue the stream.
	version string
	// outOfOrder holds chunks received ahead of a missing one, by index.
	outOfOrder map[int]outside.Chunk
	// recorded text of a non-repeatable request's answer.
	recorded recording
	routing  router.Request
}

// receiveChunk relays a chunk of the current attempt. Chunks are relayed in order
// of index and each only once.
func (s *shard) receiveChunk(a *attempt, chunk outside.Chunk, section *criticalSection) {
	e := a.entry
	if !a.answered {
		a.answered = true
		e.group.router.ResponseStarted(a.reservation)
		s.dispatch(e.group, section)
	}
	switch {
	case chunk.Index < e.stream.next:
		return
	case chunk.Index > e.stream.next:
		s.bufferChunk(a, chunk, section)
		return
	}
	e.stream.version = a.reservation.Endpoint.Version
	e.relayChunk(chunk, section)
	for len(e.stream.outOfOrder) > 0 {
		following, present := e.stream.outOfOrder[e.stream.next]
		if !present {
			return
		}
		delete(e.stream.outOfOrder, following.Index)
		e.relayChunk(following, section)
	}
}

// relayChunk sends the next chunk to the caller, and records it if the request
// needs a claim.
func (e *entry) relayChunk(chunk outside.Chunk, section *criticalSection) {
	e.stream.next++
	if e.claim.needed {
		e.stream.recorded.add(chunk, e.shard.gateway.config.Limits.RecordedBytes)
	}
	e.post(section, delivery{chunk: chunk})
}

// bufferChunk stores a chunk until the missing ones are received. If the reorder
// window is full, the attempt fails as truncated.
func (s *shard) bufferChunk(a *attempt, chunk outside.Chunk, section *criticalSection) {
	e := a.entry
	if len(e.stream.outOfOrder) >= reorderWindow {
		s.cancelAttempt(a, section)
		s.attemptFailed(a, result.RanYes, reasonTruncated, section)
		return
	}
	if e.stream.outOfOrder == nil {
		e.stream.outOfOrder = map[int]outside.Chunk{}
	}
	e.stream.outOfOrder[chunk.Index] = chunk
}

// streamEnded handles the end of an attempt's stream.
func (s *shard) streamEnded(a *attempt, end outside.GenerateEnd, section *criticalSection) {
	e := a.entry
	current := a.current()
	complete := current && end.Chunks == e.stream.next
	outcome := router.Succeeded
	if current && !complete {
		outcome = router.Failed
	}
	s.finishAttempt(a, outcome, &end.Load, section)
	if !complete {
		s.attemptFailed(a, result.RanYes, reasonTruncated, section)
		return
	}
	if e.claim.held {
		s.recordStream(e, end)
	}
	answer := Answer{End: end, Server: a.reservation.Endpoint.Server, Cold: e.cold}
	s.finish(e, answer, section)
	s.dispatch(e.group, section)
}
