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
	errLinkEnded    = errors.New("link ended")
	errQueueFull    = errors.New("queue to peer is full")
	errTooManyCalls = errors.New("too many calls wait for the peer")
	errTimeout      = errors.New("no reply in time")
)

// outgoing is a message that waits to be sent.
type outgoing struct {
	envelope envelope
	// call waits for the reply; nil for other messages.
	call *pendingCall
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	done     func(peer.Message, error)
	timer    clock.Timer
	finished atomic.Bool
	// sent on the link's current connection; guarded by the table.
	sent bool
}

// finish ends the call once; later ends change nothing.
func (c *pendingCall) finish(message peer.Message, err error) {
	if c.finished.CompareAndSwap(false, true) {
		c.done(message, err)
	}
}

// pendingTable holds one link's calls by their ids, which are never reused.
type pendingTable struct {
	mutex sync.Mutex
	last  uint64
	calls map[uint64]*pendingCall
}

func newPendingTable() *pendingTable {
	return &pendingTable{calls: map[uint64]*pendingCall{}}
}

// add returns the call's new id, unless there are too many calls.
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

func (p *pendingTable) take(id uint64) (*pendingCall, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call, known := p.calls[id]
	delete(p.calls, id)
	return call, known
}

// takeSentCall takes a call that was sent; others can have no reply.
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

// markSent reports whether the call still waits.
func (p *pendingTable) markSent(id uint64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call, known := p.calls[id]
	if known {
		call.sent = true
	}
	return known
}

// takeSent takes the calls that were sent.
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
