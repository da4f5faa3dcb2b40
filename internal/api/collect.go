package api

import (
	"sync"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// collectResponder is a gateway.Responder that buffers an answer which is sent as one
// response.
type collectResponder struct {
	// ended receives the ending once.
	ended chan ending
	// limit of the answer's text in bytes.
	limit int

	mutex  sync.Mutex
	text   []byte
	chunks int
	done   bool
}

func newCollectResponder(limit int) *collectResponder {
	return &collectResponder{ended: make(chan ending, 1), limit: limit}
}

// Chunk implements gateway.Responder.
func (c *collectResponder) Chunk(chunk outside.Chunk) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.done {
		return
	}
	if chunk.Index != c.chunks {
		c.end(ending{refusal: outOfOrder(chunk.Index, c.chunks)})
		return
	}
	c.chunks++
	c.text = append(c.text, chunk.Text...)
	if len(c.text) > c.limit {
		refusal := result.Refuse(result.BackEndFailed, "the answer exceeds %d bytes; ask for a stream", c.limit)
		refusal.Ran = result.RanUnknown
		c.end(ending{refusal: &refusal})
	}
}

// Finish implements gateway.Responder.
func (c *collectResponder) Finish(answer gateway.Answer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.end(ending{answer: answer})
}

// Refuse implements gateway.Responder.
func (c *collectResponder) Refuse(refusal result.Refusal) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.end(ending{refusal: &refusal})
}

// end records the first ending and ignores later ones. The caller holds the mutex.
func (c *collectResponder) end(last ending) {
	if c.done {
		return
	}
	c.done = true
	c.ended <- last
}

// collected returns the text received so far and the number of its chunks.
func (c *collectResponder) collected() (string, int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return string(c.text), c.chunks
}
