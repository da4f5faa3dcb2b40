package gateway

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// delivery is one call of a responder; exactly one field group is set.
type delivery struct {
	chunk   outside.Chunk
	answer  *Answer
	refusal *result.Refusal
}

// turn collects, while a shard is locked, what is to be done after it was
// unlocked.
type turn struct {
	now        time.Time
	deliveries []*entry
	events     []Event
	rejects    []rejection
	// closed counts the work items that ended.
	closed int64
}

// rejection is an endpoint that must get no more work.
type rejection struct {
	pool    bool
	leaving bool
	model   string
	server  outside.ServerID
	slot    outside.SlotID
}

var turns = sync.Pool{New: func() any { return new(turn) }}

// begin locks the shard.
func (s *shard) begin() *turn {
	s.mutex.Lock()
	turn := turns.Get().(*turn)
	turn.now = s.gateway.config.Clock.Now()
	return turn
}

// end unlocks the shard and does what was collected.
func (s *shard) end(turn *turn) {
	s.mutex.Unlock()
	for _, entry := range turn.deliveries {
		entry.deliver()
	}
	for index := range turn.events {
		s.gateway.report(&turn.events[index])
	}
	for _, rejected := range turn.rejects {
		s.gateway.reject(rejected)
	}
	closed := turn.closed
	turn.reset()
	turns.Put(turn)
	s.gateway.close(closed)
}

func (t *turn) reset() {
	clear(t.deliveries)
	clear(t.events)
	t.deliveries = t.deliveries[:0]
	t.events = t.events[:0]
	t.rejects = t.rejects[:0]
	t.closed = 0
}

// post queues a call of the entry's responder.
func (e *entry) post(turn *turn, call delivery) {
	e.outbox = append(e.outbox, call)
	turn.deliveries = append(turn.deliveries, e)
}

// deliver makes the queued calls in order. If another goroutine is at it
// already, that one makes them.
func (e *entry) deliver() {
	e.shard.mutex.Lock()
	defer e.shard.mutex.Unlock()
	if e.delivering {
		return
	}
	e.delivering = true
	for len(e.outbox) > 0 {
		batch := e.outbox
		e.outbox = e.spare
		e.shard.mutex.Unlock()
		e.call(batch)
		e.shard.mutex.Lock()
		clear(batch)
		e.spare = batch[:0]
	}
	e.delivering = false
}

func (e *entry) call(batch []delivery) {
	for index := range batch {
		switch call := &batch[index]; {
		case call.answer != nil:
			e.responder.Finish(*call.answer)
		case call.refusal != nil:
			e.responder.Refuse(*call.refusal)
		default:
			e.responder.Chunk(call.chunk)
		}
	}
}
