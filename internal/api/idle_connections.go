package api

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// quietPeriod is the time without a request on a keep-alive connection after which
	// callers are taken to use other nodes.
	quietPeriod = time.Second
	// maxQuietWait limits the wait for such a period.
	maxQuietWait = 5 * time.Second
	// quietPollInterval is the time between two checks for it.
	quietPollInterval = 20 * time.Millisecond
)

// idleConnections tracks the keep-alive connections of a server, idle and active. An active
// one counts too: its caller may already have read the response and send the next request
// before the server marks the connection as idle.
//
// At shutdown net/http closes idle connections even if the next request has arrived but has
// not been read, and the caller sees a reset. While a node drains, each response closes its
// connection, so callers that keep sending requests soon leave no connection open.
type idleConnections struct {
	mutex sync.Mutex
	// states holds open connections that are idle or active.
	states map[net.Conn]http.ConnState
	// lastUse is the last time when an idle connection became active or a connection
	// became idle.
	lastUse time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{states: map[net.Conn]http.ConnState{}}
}

// observe is the server's ConnState hook.
func (c *idleConnections) observe(connection net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wasIdle := c.states[connection] == http.StateIdle
	if state != http.StateIdle && state != http.StateActive {
		delete(c.states, connection)
		return
	}
	c.states[connection] = state
	if wasIdle || state == http.StateIdle {
		c.lastUse = time.Now()
	}
}

// isQuiet reports whether no connection is left, or none was used during the quietPeriod
// before now. The period begins at since at the earliest.
func (c *idleConnections) isQuiet(since, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.states) == 0 {
		return true
	}
	if c.lastUse.After(since) {
		since = c.lastUse
	}
	return now.Sub(since) >= quietPeriod
}

// awaitQuiet waits until the connections are quiet, so that closing them is unlikely to cut
// off a request in transit; at most maxQuietWait, or until the context ends.
func (c *idleConnections) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	ticker := time.NewTicker(quietPollInterval)
	defer ticker.Stop()
	started := time.Now()
	for !c.isQuiet(started, time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
