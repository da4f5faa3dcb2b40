// Package exchange is an HTTP/1.1 client for servers that must never get a
// request twice by accident. Each exchange is sent once, on one connection; it
// tells whether anything was sent; answers are matched to their request; and a
// connection on which anything unexpected came is not used again.
//
// net/http's own client is not used, because it repeats requests by itself on
// kept connections and adds headers.
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
	// readBuffer and writeBuffer of a connection, in bytes.
	readBuffer = 4 << 10
	// keepDefault is how long a connection is kept for which the server did not
	// tell a time.
	keepDefault = 4 * time.Second
	// keepMargin is the part of the time told that is not used.
	keepMargin = time.Second
	// tcpUserTimeout is the socket option that ends a connection whose peer
	// does not acknowledge bytes (RFC 5482); package syscall does not name it.
	tcpUserTimeout = 0x12
)

// connection is one connection to a server, used by one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// keepUntil is when the server may close it.
	keepUntil time.Time
}

// DialSettings of connections to servers.
type DialSettings struct {
	// Timeout for a connection to come up.
	Timeout time.Duration
	// AckTimeout is how long sent bytes may go without acknowledgement, and
	// how long a silent peer may leave probes unanswered.
	AckTimeout time.Duration
	// MaxIdlePerServer is the maximum number of idle connections to a server; zero: 64.
	// IdleTimeout is how long one is kept if the server sends no Keep-Alive timeout; zero: 4 s.
	MaxIdlePerServer int
	IdleTimeout      time.Duration
	// Dial connects; nil: by TCP with these settings.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (d DialSettings) dial(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	dial := d.Dial
	if dial == nil {
		dial = d.dialTCP
	}
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (d DialSettings) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// A failure leaves the system's default, which is only slower.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.AckTimeout.Milliseconds()))
			})
		},
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// quiet reports whether the connection is open and nothing came on it since
// the last answer.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	holder, isSyscall := c.Conn.(syscall.Conn)
	if !isSyscall {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failure == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keepFor reads how long a server keeps a connection, from its Keep-Alive
// header, or else is as given.
func keepFor(header string, otherwise time.Duration) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepMargin, 0)
		}
	}
	return otherwise
}
