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

// idleConnections knows the connections that wait for their next request.
//
// net/http closes them at the end, also when the next request has arrived but
// has not been read yet. As each answer of a draining node closes its connection,
// callers that go on soon use up those that are left.
type idleConnections struct {
	mutex sync.Mutex
	idle  map[net.Conn]struct{}
	// answering connections will wait next: their callers may have read the answer
	// already, and send the next request before the server notes its end.
	answering map[net.Conn]struct{}
	// usedAt is when one of them was last used again, or began to wait.
	usedAt time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idle: map[net.Conn]struct{}{}, answering: map[net.Conn]struct{}{}}
}

// observe is the server's ConnState hook.
func (c *idleConnections) observe(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, waited := c.idle[connection]
	delete(c.idle, connection)
	delete(c.answering, connection)
	switch state {
	case http.StateIdle:
		c.idle[connection] = struct{}{}
		c.usedAt = time.Now()
	case http.StateActive:
		c.answering[connection] = struct{}{}
		if waited {
			c.usedAt = time.Now()
		}
	}
}

// isQuiet reports whether none is left, or none was used in the spell before now.
func (c *idleConnections) isQuiet(since, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.idle)+len(c.answering) == 0 {
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
