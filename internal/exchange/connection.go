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
	// head is what reader reads from.
	head   headReader
	reader *bufio.Reader
	// socket is nil if the connection is none of the system.
	socket syscall.RawConn
	route  route
	// number of the connection within its client, from 1.
	number uint64
	// exchanges is the number of requests sent, and earlier the identities of the last ones before the
	// latest, which is identity.
	exchanges int
	identity  string
	earlier   []string
	// sent are the identities of all requests sent.
	sent sentIdentities
	// watch observes an idle connection that is no socket; nil: it is one, or is not idle.
	watch *idleWatch
	// expiresAt is when an idle connection is no longer reused, since the server may close it.
	expiresAt time.Time
}

// begin records that a request with the identity is sent.
func (c *connection) begin(identity string) {
	if c.exchanges > 0 {
		c.earlier = append(c.earlier[max(0, len(c.earlier)-maxEarlier+1):len(c.earlier):len(c.earlier)], c.identity)
	}
	c.exchanges++
	c.identity = identity
	c.sent.add(identity)
}

// isUsedUp reports whether the connection has carried as many requests as it may.
func (c *connection) isUsedUp() bool { return c.exchanges >= maxExchanges }

// route is a server's address, and whether connections to it pass through another node.
type route struct {
	address  string
	indirect bool
}

// DialFunc opens a connection to a server.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Paths chooses by which path connections to servers are opened.
type Paths interface {
	// Indirect reports whether connections to a server pass through another node now.
	Indirect(address string) bool
	// Dial opens a connection by any path, and reports whether it passes through another node.
	// Direct opens one by this node's own path, within its own time limit.
	Dial(ctx context.Context, address string, direct DialFunc) (conn net.Conn, indirect bool, err error)
	// DialDirect opens a connection by this node's own path.
	DialDirect(ctx context.Context, address string, direct DialFunc) (net.Conn, error)
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
	Dial DialFunc
	// Paths chooses the path of each connection; nil: this node's own.
	Paths Paths
}

// open opens a connection to a server, by this node's own path if directOnly is set.
func (d DialSettings) open(ctx context.Context, address string, directOnly bool) (*connection, error) {
	var raw net.Conn
	indirect := false
	var err error
	switch {
	case d.Paths == nil:
		raw, err = d.DialDirect(ctx, address)
	case directOnly:
		raw, err = d.Paths.DialDirect(ctx, address, d.DialDirect)
	default:
		raw, indirect, err = d.Paths.Dial(ctx, address, d.DialDirect)
	}
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: raw, socket: socketOf(raw), head: headReader{source: raw}, route: route{address, indirect}}
	conn.reader = bufio.NewReaderSize(&conn.head, readBuffer)
	return conn, nil
}

// DialDirect opens a connection by this node's own path, within the time limit.
func (d DialSettings) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	if d.Dial != nil {
		return d.Dial(ctx, address)
	}
	return NewDialer(d.AckTimeout).DialContext(ctx, "tcp", address)
}

// KeepAlive are the probes of connections to servers, by which a dead peer is noticed.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// NewDialer returns a dialer of TCP connections with keep-alive probes, on which sent data may remain
// unacknowledged for a time.
func NewDialer(ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: KeepAlive,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// On failure the system's default applies, which only detects a dead peer later.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			})
		},
	}
}

// idleState is the state of a connection between two exchanges.
type idleState uint8

const (
	// idleQuiet: the connection is open and no data has arrived since the last response.
	idleQuiet idleState = iota
	// idleData: data has arrived that belongs to no request.
	idleData
	// idleClosed: the connection is closed or has failed.
	idleClosed
)

// state returns the state of an idle connection.
func (c *connection) state() idleState {
	if c.watch != nil {
		return c.endWatch()
	}
	if c.reader.Buffered() > 0 {
		return idleData
	}
	state := idleClosed
	err := c.socket.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		count, _, failure := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case failure == syscall.EAGAIN:
			state = idleQuiet
		case failure == nil && count > 0:
			state = idleData
		}
		return true
	})
	if err != nil {
		return idleClosed
	}
	return state
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
