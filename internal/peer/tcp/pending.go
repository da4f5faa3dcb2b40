package tcp

import (
	"errors"
	"sync"
	"sync/atomic"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/peer"
)

var (
	errClosed       = errors.New("transport closed")
	errLinkClosed   = errors.New("link closed")
	errQueueFull    = errors.New("queue for the peer is full")
	errTooManyCalls = errors.New("too many pending calls to the peer")
	errTimeout      = errors.New("no reply within the timeout")
)

// outgoing is a message queued to be sent.
type outgoing struct {
	envelope envelope
	// call that waits for the reply; nil for one-way messages and replies.
	call *pendingCall
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	done     func(peer.Message, error)
	timer    clock.Timer
	finished atomic.Bool
	// sent is set when the call is sent on the link's current connection. It is
	// guarded by the mutex of the pendingTable.
	sent bool
}

// finish calls done with the result; only the first call has an effect.
func (c *pendingCall) finish(message peer.Message, err error) {
	if c.finished.CompareAndSwap(false, true) {
		c.done(message, err)
	}
}

// pendingTable holds the pending calls of one link by their IDs. IDs are never
// reused.
type pendingTable struct {
	mutex sync.Mutex
	last  uint64
	calls map[uint64]*pendingCall
}

func newPendingTable() *pendingTable {
	return &pendingTable{calls: map[uint64]*pendingCall{}}
}

// add adds a call and returns its new ID, or false if the limit is reached.
func (p *pendingTable) add(call *pendingCall, limit int) (uint64, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.calls) >= limit {
		return 0, false
	}
	p.last++
	p.calls[p.last] = call
	return p.last, true
}

// take removes and returns a call, or returns false if it is no longer pending.
func (p *pendingTable) take(id uint64) (*pendingCall, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call, known := p.calls[id]
	delete(p.calls, id)
	return call, known
}

// takeSentCall removes and returns a call that was sent; calls that were not sent
// can't have a reply.
func (p *pendingTable) takeSentCall(id uint64) (*pendingCall, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call, known := p.calls[id]
	if !known || !call.sent {
		return nil, false
	}
	delete(p.calls, id)
	return call, true
}

// markSent marks a call as sent and reports whether it is still pending.
func (p *pendingTable) markSent(id uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call, known := p.calls[id]
	if known {
		call.sent = true
	}
	return known
}

// takeSent removes and returns the calls that were sent.
func (p *pendingTable) takeSent() []*pendingCall {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var taken []*pendingCall
	for id, call := range p.calls {
		if call.sent {
			taken = append(taken, call)
			delete(p.calls, id)
		}
	}
	return taken
}

func (p *pendingTable) empty() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.calls) == 0
}
