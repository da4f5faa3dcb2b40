// Package exchange is an HTTP/1.1 client for servers that must never receive a request twice by
// accident. Each request is sent once, on one connection, and errors report whether any of it was
// sent. Responses are matched to their request, and a connection on which unexpected data arrived is
// not reused.
//
// The client of net/http is not used because it retries requests by itself on reused connections and
// adds headers.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if neither the server nor the
	// settings give a timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the timeout that the server gives, so that the
	// connection is not used just as the server closes it.
	idleTimeoutMargin = time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT (RFC 5482), which closes a connection
	// whose peer does not acknowledge data; package syscall does not define it.
	tcpUserTimeout = 0x12
)

// connection is a connection to a server, used by one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// expiresAt is when an idle connection is no longer reused, since the server may close it.
	expiresAt time.Time
}

// DialSettings configures the connections to servers.
type DialSettings struct {
	// Timeout is the time limit for opening a connection.
	Timeout time.Duration
	// AckTimeout is how long sent data, or keep-alive probes, may remain unacknowledged before
	// the connection is closed.
	AckTimeout time.Duration
	// MaxIdlePerServer is the maximum number of idle connections to a server; zero: 64.
	// IdleTimeout is how long one is kept if the server sends no Keep-Alive timeout; zero: 4 s.
	MaxIdlePerServer int
	IdleTimeout      time.Duration
	// Dial opens a connection; nil: TCP with these settings.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial is called with the result of each attempt to open a connection that was not cancelled;
	// nil: not called.
	OnDial func(address string, err error)
}

// dial opens a connection within the time limit.
func (d DialSettings) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	dial := d.Dial
	if dial == nil {
		dial = d.dialTCP
	}
	raw, err := dial(ctx, address)
	if d.OnDial != nil && (err == nil || !errors.Is(ctx.Err(), context.Canceled)) {
		d.OnDial(address, err)
	}
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// dialTCP opens a TCP connection with keep-alive probes and AckTimeout.
func (d DialSettings) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// On failure the system's default applies, which only detects a dead peer later.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.AckTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// isReusable reports whether the connection is open and no data has arrived on it since the last
// response.
func (c *connection) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, isSyscall := c.Conn.(syscall.Conn)
	if !isSyscall {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = failure == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// idleTimeoutFrom returns how long to keep an idle connection: the timeout of the server's Keep-Alive
// header minus the margin, or fallback if the header gives none.
func idleTimeoutFrom(header string, fallback time.Duration) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return fallback
}
