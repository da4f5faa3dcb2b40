package serverpath

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/peer"
)

const (
	// carrierDialTimeout limits connecting to a server for another node.
	carrierDialTimeout = 200 * time.Millisecond
	// writeTimeout is how long a receiver may take no bytes before its connection ends.
	writeTimeout = 10 * time.Second
	// drainTimeout is how long bytes of a node are discarded after the server has sent its last ones,
	// so that closing does not reset the connection before they arrive.
	drainTimeout = time.Second
	// idleAfter is the time after the server's last bytes from which no request counts as in flight:
	// longer than the pauses within a stream. waitPeriod is the time between checks.
	idleAfter, waitPeriod = time.Second, 50 * time.Millisecond
	// carriedBufferBytes is the size of the buffer for each direction of a connection.
	carriedBufferBytes = 8 << 10
)

// Carrier serves connections to servers for other nodes. It connects by this node's own path only, so
// that a connection passes one node at most. It is safe for concurrent use.
type Carrier struct {
	Monitor *Monitor
	// Dial connects to a server by this node's own path.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnections is the number of connections that are carried at a time.
	MaxConnections int
	// OnRequest is called with the outcome of each request; nil: not called.
	OnRequest func(outcome Outcome)

	carried  atomic.Int64
	stopping atomic.Bool

	mutex sync.Mutex
	open  map[*carriedConnection]struct{}
}

// Carried returns the number of connections that are carried now.
func (c *Carrier) Carried() int { return int(c.carried.Load()) }

// Stop makes the carrier refuse new connections.
func (c *Carrier) Stop() { c.stopping.Store(true) }

// Wait waits until no request is in flight on the connections, or ctx ends. It closes those without one.
func (c *Carrier) Wait(ctx context.Context) {
	for ctx.Err() == nil && c.Carried() > 0 {
		c.closeIdle(time.Now())
		clock.Sleep(ctx, waitPeriod)
	}
}

// closeIdle closes the connections on which the server sent the last bytes, a while ago.
func (c *Carrier) closeIdle(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for connection := range c.open {
		if connection.isIdle(now) {
			_ = connection.server.Close()
		}
	}
}

// add records a connection, and returns the function that removes it.
func (c *Carrier) add(connection *carriedConnection) (remove func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open == nil {
		c.open = map[*carriedConnection]struct{}{}
	}
	c.open[connection] = struct{}{}
	return func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		delete(c.open, connection)
	}
}

// Serve implements peer.StreamHandler for OpenRequest.
func (c *Carrier) Serve(ctx context.Context, _ string, request peer.Message, accept func(reply peer.Message) (net.Conn, error)) {
	server, outcome := c.connect(ctx, request.(OpenRequest).Server)
	if server != nil {
		defer c.carried.Add(-1)
		defer server.Close()
	}
	if c.OnRequest != nil {
		c.OnRequest(outcome)
	}
	node, err := accept(OpenReply{Outcome: outcome})
	if err != nil || server == nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if socket, isTCP := node.(*net.TCPConn); isTCP {
		// An error leaves the system's settings, with which a dead node is noticed later.
		_ = socket.SetKeepAliveConfig(exchange.KeepAlive)
	}
	connection := &carriedConnection{node: node, server: server, opened: time.Now()}
	defer c.add(connection)()
	connection.carry()
}

// connect connects to the server at an address, and counts the connection.
func (c *Carrier) connect(ctx context.Context, address string) (net.Conn, Outcome) {
	switch {
	case !c.Monitor.Knows(address):
		return nil, UnknownServer
	case c.Monitor.Lost(address):
		return nil, Unreached
	case c.stopping.Load():
		return nil, Busy
	}
	if c.carried.Add(1) > int64(c.MaxConnections) {
		c.carried.Add(-1)
		return nil, Busy
	}
	ctx, cancel := context.WithTimeout(ctx, carrierDialTimeout)
	defer cancel()
	server, err := c.Dial(ctx, address)
	if err != nil {
		c.carried.Add(-1)
		c.Monitor.Failed(address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, Refused
		}
		return nil, Unreached
	}
	c.Monitor.Reached(address)
	return server, Opened
}

// carriedConnection is a connection that is carried between a node and a server.
type carriedConnection struct {
	node, server net.Conn
	opened       time.Time
	// answeredAfter is the time in nanoseconds from opened until the server sent its last bytes; 0 if the
	// node has sent bytes since.
	answeredAfter atomic.Int64
}

// isIdle reports whether no request is in flight, as far as the times of the last bytes show.
func (c *carriedConnection) isIdle(now time.Time) bool {
	answered := time.Duration(c.answeredAfter.Load())
	return answered != 0 && now.Sub(c.opened)-answered >= idleAfter
}

// carry copies bytes until either side ends the connection. When the node does, the connection to the
// server is closed at once; when the server does, its last bytes are sent first. A connection that the
// server does not close in order is reset towards the node: an answer may end with its connection, and
// would look complete otherwise.
func (c *carriedConnection) carry() {
	nodeEnded := make(chan struct{})
	go func() {
		defer close(nodeEnded)
		defer c.server.Close()
		// How the node ended makes no difference: the connection to the server is closed in any case.
		if sourceEnded, _ := copyBytes(c.server, c.node, func() { c.answeredAfter.Store(0) }); !sourceEnded {
			// The server may have answered before it closed the connection. What the node still sends
			// is of no use then, and its end is no failure.
			_, _ = io.Copy(io.Discard, c.node)
		}
	}()
	_, err := copyBytes(c.node, c.server, func() { c.answeredAfter.Store(int64(max(time.Since(c.opened), 1))) })
	if inOrder, known := exchange.ClosedInOrder(c.server); !errors.Is(err, io.EOF) || known && !inOrder {
		reset(c.node)
		<-nodeEnded
		return
	}
	if half, canHalfClose := c.node.(interface{ CloseWrite() error }); canHalfClose && half.CloseWrite() == nil {
		_ = c.node.SetReadDeadline(time.Now().Add(drainTimeout))
		<-nodeEnded
	}
	_ = c.node.Close()
	<-nodeEnded
}

// reset closes a connection such that the other side sees that it did not end in order.
func reset(conn net.Conn) {
	if secured, isTLS := conn.(*tls.Conn); isTLS {
		// Closing the TLS connection itself would send the alert of an end in order.
		conn = secured.NetConn()
	}
	if socket, isTCP := conn.(interface{ SetLinger(seconds int) error }); isTCP {
		// Without it, the connection is closed in order, which is all that it allows.
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// carriedBuffers are buffers for reuse.
var carriedBuffers = sync.Pool{New: func() any { return new([carriedBufferBytes]byte) }}

// copyBytes copies until the source ends or the target fails. It reports whether it was the source, and
// how that ended: io.EOF if it was closed in order. It calls onBytes before each write.
func copyBytes(target, source net.Conn, onBytes func()) (sourceEnded bool, err error) {
	buffer := carriedBuffers.Get().(*[carriedBufferBytes]byte)
	defer carriedBuffers.Put(buffer)
	for {
		count, err := source.Read(buffer[:])
		if count > 0 {
			onBytes()
			// An error is returned by the write that follows.
			_ = target.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, writeErr := target.Write(buffer[:count]); writeErr != nil {
				return false, writeErr
			}
		}
		if err != nil {
			return true, err
		}
	}
}
