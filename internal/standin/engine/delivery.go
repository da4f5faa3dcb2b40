package engine

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Dropper is a sink that wants to know when its engine died: no End and no
// Failed will come, and the transport shall break the connection.
type Dropper interface {
	Dropped()
}

// delivery is one call of a sink: a chunk unless end or err is set.
type delivery struct {
	chunk outside.Chunk
	end   *outside.GenerateEnd
	err   *outside.AttemptError
}

// outbox hands deliveries to one sink, in order and never overlapping, without
// the engine's lock.
type outbox struct {
	sink outside.GenerateSink

	mutex      sync.Mutex
	pending    []delivery
	spare      []delivery
	delivering bool
}

// push adds a delivery; flush makes it.
func (o *outbox) push(next delivery) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pending = append(o.pending, next)
}

// flush makes all pending deliveries, unless another call is at it, which then
// makes these too.
func (o *outbox) flush() {
	o.mutex.Lock()
	if o.delivering {
		o.mutex.Unlock()
		return
	}
	o.delivering = true
	for len(o.pending) > 0 {
		batch := o.pending
		o.pending = o.spare[:0]
		o.mutex.Unlock()
		for index := range batch {
			o.deliver(&batch[index])
		}
		o.mutex.Lock()
		clear(batch)
		o.spare = batch
	}
	o.delivering = false
	o.mutex.Unlock()
}

func (o *outbox) deliver(next *delivery) {
	switch {
	case next.end != nil:
		o.sink.End(*next.end)
	case next.err != nil:
		o.sink.Failed(next.err)
	default:
		o.sink.Chunk(next.chunk)
	}
}

// push queues a delivery to a generation's sink; exclusive flushes it.
func (e *Engine) push(generation *generation, next delivery) {
	generation.outbox.push(next)
	e.touched = append(e.touched, generation)
}

// exclusive runs function under the engine's lock and then, without it, makes
// the deliveries that came of it.
func (e *Engine) exclusive(function func()) {
	e.mutex.Lock()
	function()
	touched := e.touched
	e.touched = nil
	e.mutex.Unlock()
	for _, generation := range touched {
		generation.outbox.flush()
	}
}

// incarnationFunc wraps function for a timer or callback: it runs exclusively,
// and only in the present incarnation.
func (e *Engine) incarnationFunc(function func()) func() {
	starts := e.starts
	return func() {
		e.exclusive(func() {
			if e.alive && e.starts == starts {
				function()
			}
		})
	}
}
