package httpapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errSealed is returned by writes to a connection after it was sealed.
var errSealed = errors.New("connection sealed")

// countedConnection counts the bytes given to a connection, so that an attempt
// which failed can prove that nothing of it was sent.
type countedConnection struct {
	net.Conn

	mutex   sync.Mutex
	written int64
	sealed  bool
}

// Write counts before it writes: a byte that is not counted was never sent.
func (c *countedConnection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(data))
	c.mutex.Unlock()
	return c.Conn.Write(data)
}

func (c *countedConnection) count() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.written
}

// seal forbids further writes and returns the count.
func (c *countedConnection) seal() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
	return c.written
}

// writeProof watches one request for whether any of it was written.
type writeProof struct {
	connection *countedConnection
	before     int64
	// unproved: the request was given a connection that does not count.
	unproved bool
}

// trace returns the context with which the request must be sent.
func (p *writeProof) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connection, counted := info.Conn.(*countedConnection)
			if !counted {
				p.unproved = true
				return
			}
			p.connection = connection
			p.before = connection.count()
		},
	})
}

// nothingWritten reports whether the failed request certainly was not sent. The
// connection can't be used for writing afterwards.
func (p *writeProof) nothingWritten() bool {
	if p.unproved {
		return false
	}
	return p.connection == nil || p.connection.seal() == p.before
}

// newTransport returns a transport that never goes through a proxy, speaks
// HTTP/1.1 only (one request at a time on a connection, on which writeProof
// relies) and pools connections for many streams.
func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{Timeout: options.DialTimeout}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConnection{Conn: connection}, nil
		},
		Protocols:           protocols,
		DisableCompression:  true,
		MaxIdleConnsPerHost: options.IdleConnectionsPerServer,
		IdleConnTimeout:     options.IdleConnectionTimeout,
	}
}
