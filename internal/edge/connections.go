package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConnections tracks the clients' idle connections and closes those that exceed
// the idle timeout of the operators' configuration, which may change while the server
// runs.
type idleConnections struct {
	mutex sync.Mutex
	// idleSince holds when each idle connection became so.
	idleSince map[net.Conn]time.Time
}

func newIdleConnections() *idleConnections {
	return &idleConnections{idleSince: map[net.Conn]time.Time{}}
}

// connStateChanged is the ConnState hook of the http.Server.
func (c *idleConnections) connStateChanged(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if client, isClient := conn.(*clientConnection); isClient {
		client.stateChanged(state)
	}
	if state == http.StateIdle || state == http.StateNew {
		c.idleSince[conn] = time.Now()
		return
	}
	delete(c.idleSince, conn)
}

// closeExpired closes the connections that have been idle for longer than limit. net/http counts a
// connection as idle until it has read the whole header of the next request, which must not be cut off.
func (c *idleConnections) closeExpired(limit time.Duration) {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) <= limit {
			continue
		}
		if client, isClient := conn.(*clientConnection); isClient {
			client.closeUnused(now.Sub(since))
			continue
		}
		_ = conn.Close()
		delete(c.idleSince, conn)
	}
}

// closeUnused ends the connections on which no request has begun, new ones after newConnectionWait. It
// returns how many connections are left that have no request, or whose request is being read.
func (c *idleConnections) closeUnused(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn, since := range c.idleSince {
		if client, isClient := conn.(*clientConnection); isClient {
			client.closeUnused(now.Sub(since))
		}
	}
	return len(c.idleSince)
}
