package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections closes callers' connections that are at rest for longer than
// the operators' limit, which may change while the server runs.
type idleConnections struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: map[net.Conn]time.Time{}}
}

// changed is the server's ConnState hook.
func (c *idleConnections) changed(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

// closeOlder closes the connections at rest for longer than the limit.
func (c *idleConnections) closeOlder(limit time.Duration) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > limit {
			_ = conn.Close()
			delete(c.since, conn)
		}
	}
}
