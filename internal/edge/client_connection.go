package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// lastReadTimeout is the time limit for the last read of a connection that is to be closed. It only
// takes what has already arrived.
const lastReadTimeout = 5 * time.Millisecond

// callersListener accepts clients' connections.
type callersListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callersListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConnection{Conn: connection}, nil
}

// clientConnection is a client's connection that can be closed between two requests without dropping
// one that net/http has begun to read: its read is ended by a deadline, so that it either gets bytes,
// and the request is served, or net/http closes the connection.
type clientConnection struct {
	net.Conn

	mutex sync.Mutex
	state http.ConnState
	// received is set once bytes have been read since the connection became new or idle.
	received bool
	// closing is set while the read deadline is the one of closeUnused.
	closing bool
}

// Read implements net.Conn.
func (c *clientConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		count, err = c.Conn.Read(buffer)
	}
	if count > 0 {
		c.bytesReceived()
	}
	return count, err
}

// CloseWrite closes the sending half. net/http uses it if it has not read the whole request.
func (c *clientConnection) CloseWrite() error {
	if half, canCloseHalf := c.Conn.(interface{ CloseWrite() error }); canCloseHalf {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// SetLinger sets what Close does with bytes that were not sent; with 0 seconds it discards them and resets the
// connection.
func (c *clientConnection) SetLinger(seconds int) error {
	if socket, isTCP := c.Conn.(interface{ SetLinger(seconds int) error }); isTCP {
		return socket.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// extendDeadline allows a last read if the connection is to be closed.
func (c *clientConnection) extendDeadline() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	}
	return c.closing
}

// bytesReceived records that a request has begun. The rest of its header may take headerTimeout.
func (c *clientConnection) bytesReceived() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.received = true
	c.keepOpen(time.Now().Add(headerTimeout))
}

// keepOpen replaces the deadline of closeUnused. The mutex is held.
func (c *clientConnection) keepOpen(deadline time.Time) {
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(deadline)
	}
}

// stateChanged follows the connection's state.
func (c *clientConnection) stateChanged(state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	c.received = false
	c.keepOpen(time.Time{})
}

// closeUnused makes net/http close the connection if no request has begun since it became new or idle,
// the given time ago. It has to be called again until the connection is closed, since net/http sets
// read deadlines as well.
func (c *clientConnection) closeUnused(unusedFor time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.received || c.state == http.StateNew && unusedFor < newConnectionWait {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
