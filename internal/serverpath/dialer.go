package serverpath

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/exchange"
)

const (
	// fallbackDelay is the time without a connection after which another node is asked for one as
	// well (as RFC 8305 does with addresses).
	fallbackDelay = 100 * time.Millisecond
	// confirmPause is the time between two requests to confirm that a server is unreachable.
	confirmPause = time.Second
)

// Dialer opens connections to servers by this node's own path or, if that is lost or fails, through
// other nodes. It implements exchange.Paths and is safe for concurrent use.
type Dialer struct {
	Monitor        *Monitor
	Intermediaries *Intermediaries

	mutex sync.Mutex
	// confirmedAt is when other nodes were last asked about servers to which only this node may
	// connect.
	confirmedAt map[string]time.Time
}

var _ exchange.Paths = (*Dialer)(nil)

// Indirect implements exchange.Paths.
func (d *Dialer) Indirect(address string) bool { return d.Monitor.Lost(address) }

// Dial implements exchange.Paths.
func (d *Dialer) Dial(ctx context.Context, address string, direct exchange.DialFunc) (conn net.Conn, indirect bool, err error) {
	if d.Monitor.Lost(address) {
		conn, _, _, err := d.Intermediaries.open(ctx, address)
		return conn, true, err
	}
	directCtx, cancelDirect := context.WithCancel(ctx)
	defer cancelDirect()
	fallback := &fallback{dialer: d, ctx: ctx, address: address, done: make(chan struct{}), opened: cancelDirect}
	timer := time.AfterFunc(fallbackDelay, fallback.run)
	defer timer.Stop()
	conn, err = direct(directCtx, address)
	if err == nil {
		fallback.abandon()
		d.Monitor.Reached(address)
		return conn, false, nil
	}
	if ctx.Err() != nil {
		fallback.abandon()
		return nil, false, err
	}
	fallback.run()
	<-fallback.done
	if fallback.conn != nil {
		return fallback.conn, true, nil
	}
	d.Monitor.Failed(address)
	return nil, false, fallback.explain(err)
}

// DialDirect implements exchange.Paths.
func (d *Dialer) DialDirect(ctx context.Context, address string, direct exchange.DialFunc) (net.Conn, error) {
	conn, err := direct(ctx, address)
	switch {
	case err == nil:
		d.Monitor.Reached(address)
	case ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.Monitor.Failed(address)
		if d.mayConfirm(address, time.Now()) {
			go d.confirm(address)
		}
	}
	return conn, err
}

// mayConfirm reports whether other nodes are to be asked whether they reach a server.
func (d *Dialer) mayConfirm(address string, now time.Time) bool {
	if d.Monitor.Lost(address) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now.Sub(d.confirmedAt[address]) < confirmPause {
		return false
	}
	if d.confirmedAt == nil {
		d.confirmedAt = map[string]time.Time{}
	}
	for other, at := range d.confirmedAt {
		if now.Sub(at) >= confirmPause {
			delete(d.confirmedAt, other)
		}
	}
	d.confirmedAt[address] = now
	return true
}

// confirm finds out whether another node reaches a server that this one does not.
func (d *Dialer) confirm(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	conn, node, _, err := d.Intermediaries.open(ctx, address)
	if err != nil {
		return
	}
	_ = conn.Close()
	d.Monitor.FoundThrough(node, address)
}

// fallback is the attempt to connect to a server through another node, beside one by this node's own
// path.
type fallback struct {
	dialer  *Dialer
	ctx     context.Context
	address string
	started atomic.Bool
	// opened is called once a connection is open.
	opened func()
	// done is closed when run has ended.
	done chan struct{}
	conn net.Conn
	said verdict
	err  error
}

// run connects through another node, once.
func (f *fallback) run() {
	if !f.started.CompareAndSwap(false, true) {
		return
	}
	defer close(f.done)
	var node string
	f.conn, node, f.said, f.err = f.dialer.Intermediaries.open(f.ctx, f.address)
	if f.err != nil {
		return
	}
	f.dialer.Monitor.Failed(f.address)
	f.dialer.Monitor.FoundThrough(node, f.address)
	f.opened()
}

// abandon closes the connection through another node if one is opened.
func (f *fallback) abandon() {
	if f.started.CompareAndSwap(false, true) {
		return
	}
	go func() {
		<-f.done
		if f.conn != nil {
			_ = f.conn.Close()
		}
	}()
}

// explain returns the error for a server that was reached by no path. A refused connection proves that
// nothing listens there, unless another node found the server unreachable in another way: then it may be
// a partition that refuses connections.
func (f *fallback) explain(direct error) error {
	if errors.Is(direct, syscall.ECONNREFUSED) && f.said.unreached > 0 {
		return unconfirmedError{direct}
	}
	return direct
}
