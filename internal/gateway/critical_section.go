package gateway

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// delivery is one call of a responder: Finish if answer is set, Refuse if refusal
// is set, otherwise Chunk.
type delivery struct {
	chunk   outside.Chunk
	answer  *Answer
	refusal *result.Refusal
}

// criticalSection collects, while a shard is locked, the calls to be made after it
// is unlocked, so that no callback runs under the lock.
type criticalSection struct {
	now        time.Time
	deliveries []*entry
	events     []Event
	rejects    []rejection
	// finishedWork is the number of open work items that ended.
	finishedWork int64
}

// rejection identifies an endpoint that must not get new requests.
type rejection struct {
	pool    bool
	leaving bool
	model   string
	server  outside.ServerID
	slot    outside.SlotID
}

var criticalSectionPool = sync.Pool{New: func() any { return new(criticalSection) }}

// lock locks the shard and returns the critical section to pass to unlock.
func (s *shard) lock() *criticalSection {
	s.mutex.Lock()
	section := criticalSectionPool.Get().(*criticalSection)
	section.now = s.gateway.config.Clock.Now()
	return section
}

// unlock unlocks the shard and makes the collected calls.
func (s *shard) unlock(section *criticalSection) {
	s.mutex.Unlock()
	for _, entry := range section.deliveries {
		entry.deliver()
	}
	for index := range section.events {
		s.gateway.report(&section.events[index])
	}
	for _, rejected := range section.rejects {
		s.gateway.reject(rejected)
	}
	finished := section.finishedWork
	section.reset()
	criticalSectionPool.Put(section)
	s.gateway.workFinished(finished)
}

func (c *criticalSection) reset() {
	clear(c.deliveries)
	clear(c.events)
	c.deliveries = c.deliveries[:0]
	c.events = c.events[:0]
	c.rejects = c.rejects[:0]
	c.finishedWork = 0
}

// post adds a call to the entry's outbox, to be made when the shard is unlocked.
func (e *entry) post(section *criticalSection, call delivery) {
	e.outbox = append(e.outbox, call)
	section.deliveries = append(section.deliveries, e)
}

// deliver makes the responder's pending calls in order. If another goroutine is
// delivering, that one makes them, so that calls never overlap.
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
