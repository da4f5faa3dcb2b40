package exchange

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// idleWatch reads from an idle connection that is no socket of the system, whose received data can't be
// peeked at.
type idleWatch struct {
	// ended is closed when the read has ended, by err.
	ended chan struct{}
	err   error
}

// socketOf returns a connection's socket; nil if it has none of the system, such as one over TLS.
func socketOf(conn net.Conn) syscall.RawConn {
	socket, isSyscall := conn.(syscall.Conn)
	if !isSyscall {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// beginWatch begins to watch an idle connection if it is no socket.
func (c *connection) beginWatch() {
	if c.socket != nil {
		return
	}
	watch := &idleWatch{ended: make(chan struct{})}
	c.watch = watch
	go func() {
		defer close(watch.ended)
		_, watch.err = c.reader.Peek(1)
	}()
}

// endWatch ends the watch, and returns the connection's state.
func (c *connection) endWatch() idleState {
	watch := c.watch
	c.watch = nil
	if c.SetReadDeadline(time.Unix(0, 1)) != nil {
		return idleClosed
	}
	<-watch.ended
	switch {
	case c.reader.Buffered() > 0:
		return idleData
	case !errors.Is(watch.err, os.ErrDeadlineExceeded), c.SetReadDeadline(time.Time{}) != nil:
		return idleClosed
	}
	return idleQuiet
}
