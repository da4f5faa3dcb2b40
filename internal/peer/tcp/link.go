package tcp

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// link sends messages to one peer, over one connection at a time. It closes when
// it has been idle for IdleTimeout.
type link struct {
	transport *Transport
	address   string
	queue     chan outgoing
	pending   *pendingTable

	mutex  sync.Mutex
	closed bool
}

func newLink(transport *Transport, address string) *link {
	return &link{
		transport: transport,
		address:   address,
		queue:     make(chan outgoing, transport.config.QueueLength),
		pending:   newPendingTable(),
	}
}

// enqueue queues a message, and adds a call to the table of pending calls. It
// returns errLinkClosed, errQueueFull or errTooManyCalls if that is not possible.
func (l *link) enqueue(item outgoing, timeout time.Duration) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return errLinkClosed
	}
	if len(l.queue) == cap(l.queue) {
		return errQueueFull
	}
	if item.call != nil {
		id, added := l.pending.add(item.call, l.transport.config.MaxPendingCalls)
		if !added {
			return errTooManyCalls
		}
		item.envelope.ID = id
		item.call.timer = l.transport.config.Clock.AfterFunc(timeout, func() { l.expire(id) })
	}
	// Does not block: only enqueue adds to the queue, while it holds the mutex,
	// and the queue was not full.
	l.queue <- item
	return nil
}

// expire fails a pending call after its timeout.
func (l *link) expire(id uint64) {
	if call, waiting := l.pending.take(id); waiting {
		call.finish(nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, errTimeout))
	}
}

// run connects to the peer whenever there are messages to send, until the link
// is idle or the transport is closed.
func (l *link) run() {
	defer l.close()
	failures := 0
	for {
		first, more := l.next()
		if !more {
			return
		}
		conn, err := l.dial()
		if err != nil {
			failures++
			l.logFailure(err, failures)
			l.drop(first, err)
			l.dropQueued(err)
		} else {
			failures = l.serve(conn, first, failures)
		}
		if failures > 0 && !l.waitBackoff(l.transport.config.backoff(failures)) {
			return
		}
	}
}

// next waits for a message to send. It returns false if the link was idle or the
// transport was closed.
func (l *link) next() (outgoing, bool) {
	for {
		idle, stop := after(l.transport.config.Clock, l.transport.config.IdleTimeout)
		select {
		case item := <-l.queue:
			stop()
			return item, true
		case <-l.transport.context.Done():
			stop()
			return outgoing{}, false
		case <-idle:
			if l.closeIfIdle() {
				return outgoing{}, false
			}
		}
	}
}

// closeIfIdle closes the link unless messages are queued or calls are pending.
func (l *link) closeIfIdle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.queue) > 0 || !l.pending.empty() {
		return false
	}
	l.closed = true
	return true
}

// close rejects further messages and fails those queued and the calls pending.
func (l *link) close() {
	l.mutex.Lock()
	l.closed = true
	l.mutex.Unlock()
	l.transport.removeLink(l)
	l.dropQueued(errClosed)
	l.failSent(errClosed)
}

func (l *link) dropQueued(reason error) {
	for {
		select {
		case item := <-l.queue:
			l.drop(item, reason)
		default:
			return
		}
	}
}

// drop discards a message that was not sent, and fails its call if it is one.
func (l *link) drop(item outgoing, reason error) {
	l.transport.statistics.dropped.Add(1)
	if item.call == nil {
		return
	}
	if call, waiting := l.pending.take(item.envelope.ID); waiting {
		call.timer.Stop()
		call.finish(nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, reason))
	}
}

// failSent fails the calls that were sent on a connection that was lost.
func (l *link) failSent(reason error) {
	for _, call := range l.pending.takeSent() {
		call.timer.Stop()
		call.finish(nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, reason))
	}
}

// waitBackoff waits for the delay. It returns false if the transport was closed.
func (l *link) waitBackoff(delay time.Duration) bool {
	passed, stop := after(l.transport.config.Clock, delay)
	defer stop()
	select {
	case <-passed:
		return true
	case <-l.transport.context.Done():
		return false
	}
}

// dial connects to the peer and runs the handshake, within HandshakeTimeout.
func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.transport.context, l.transport.config.HandshakeTimeout)
	defer cancel()
	return l.transport.dialPeer(ctx, &net.Dialer{}, l.address)
}

// dialPeer connects to the peer at an address and runs the handshake.
func (t *Transport) dialPeer(ctx context.Context, dialer *net.Dialer, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if t.config.TLS != nil {
		conn = tls.Client(conn, t.clientTLS(address))
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := dialHandshake(conn, t.config.Secret, t.advertised); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handshake with %s: %w", address, err)
	}
	return conn, nil
}

// clientTLS returns the TLS configuration for dialing an address, with its host as the
// default server name.
func (t *Transport) clientTLS(address string) *tls.Config {
	config := t.config.TLS.Clone()
	if config.ServerName == "" {
		host, _, _ := net.SplitHostPort(address)
		config.ServerName = host
	}
	return config
}

// logFailure logs only the first of consecutive failures.
func (l *link) logFailure(err error, failures int) {
	if failures == 1 {
		l.transport.config.Logger.Warn().Err(err).Str("peer", l.address).Msg("peer unreachable")
	}
}
