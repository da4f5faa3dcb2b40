package api

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietSpell without a request on a kept connection means that callers have
	// gone elsewhere.
	quietSpell = time.Second
	// quietLimit bounds the wait for it.
	quietLimit = 5 * time.Second
	// quietCheck is the time between two looks.
	quietCheck = 20 * time.Millisecond
)

// idleConnections knows the connections that wait for their next request, or will when
// their answer has ended: its caller may have read it already, and send the next request
// before the server notes that the connection waits.
//
// net/http closes them at the end, also when the next request has arrived but
// has not been read yet. As each answer of a draining node closes its connection,
// callers that go on soon use up those that are left.
type idleConnections struct {
	mutex sync.Mutex
	// states are idle or active.
	states map[net.Conn]http.ConnState
	// usedAt is when one of them was last used again, or began to wait.
	usedAt time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{states: map[net.Conn]http.ConnState{}}
}

// observe is the server's ConnState hook.
func (c *idleConnections) observe(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	waited := c.states[connection] == http.StateIdle
	if state != http.StateIdle && state != http.StateActive {
		delete(c.states, connection)
		return
	}
	c.states[connection] = state
	if waited || state == http.StateIdle {
		c.usedAt = time.Now()
	}
}

// isQuiet reports whether none is left, or none was used in the spell before now.
func (c *idleConnections) isQuiet(since, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.states) == 0 {
		return true
	}
	if c.usedAt.After(since) {
		since = c.usedAt
	}
	return now.Sub(since) >= quietSpell
}

// awaitQuiet waits until closing them will hardly meet a request.
func (c *idleConnections) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	ticker := time.NewTicker(quietCheck)
	defer ticker.Stop()
	begun := time.Now()
	for !c.isQuiet(begun, time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
