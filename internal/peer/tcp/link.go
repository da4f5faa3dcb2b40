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

// link sends to one peer, over one connection at a time. It ends when it was
// idle for long.
type link struct {
	transport *Transport
	address   string
	queue     chan outgoing
	pending   *pendingTable

	mutex sync.Mutex
	ended bool
}

func newLink(transport *Transport, address string) *link {
	return &link{
		transport: transport,
		address:   address,
		queue:     make(chan outgoing, transport.config.QueueLength),
		pending:   newPendingTable(),
	}
}

// enqueue adds a message to the queue, and a call to the table.
func (l *link) enqueue(item outgoing, timeout time.Duration) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return errLinkEnded
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
	// Only enqueue adds to the queue, under the mutex, so there is room.
	l.queue <- item
	return nil
}

func (l *link) expire(id uint64) {
	if call, waiting := l.pending.take(id); waiting {
		call.finish(nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, errTimeout))
	}
}

// run connects whenever there is something to send.
func (l *link) run() {
	defer l.end()
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
		if failures > 0 && !l.pause(l.transport.config.backoff(failures)) {
			return
		}
	}
}

// next waits for a message, until the link is idle or the transport closed.
func (l *link) next() (outgoing, bool) {
	for {
		idle, stop := wait(l.transport.config.Clock, l.transport.config.IdleTimeout)
		select {
		case item := <-l.queue:
			stop()
			return item, true
		case <-l.transport.context.Done():
			stop()
			return outgoing{}, false
		case <-idle:
			if l.endIfIdle() {
				return outgoing{}, false
			}
		}
	}
}

// endIfIdle ends the link unless there is something to send or to wait for.
func (l *link) endIfIdle() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.queue) > 0 || !l.pending.empty() {
		return false
	}
	l.ended = true
	return true
}

// end refuses further messages and fails those that wait.
func (l *link) end() {
	l.mutex.Lock()
	l.ended = true
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

// drop ends a message that was not sent.
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

// failSent ends the calls whose connection broke.
func (l *link) failSent(reason error) {
	for _, call := range l.pending.takeSent() {
		call.timer.Stop()
		call.finish(nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, reason))
	}
}

func (l *link) pause(delay time.Duration) bool {
	passed, stop := wait(l.transport.config.Clock, delay)
	defer stop()
	select {
	case <-passed:
		return true
	case <-l.transport.context.Done():
		return false
	}
}

// dial connects and runs the handshake.
func (l *link) dial() (net.Conn, error) {
	config := l.transport.config
	ctx, cancel := context.WithTimeout(l.transport.context, config.HandshakeTimeout)
	defer cancel()
	dialer := &net.Dialer{}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	if config.TLS != nil {
		conn = tls.Client(conn, l.clientTLS())
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := dialHandshake(conn, config.Secret, l.transport.advertised); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("handshake with %s: %w", l.address, err)
	}
	return conn, nil
}

func (l *link) clientTLS() *tls.Config {
	config := l.transport.config.TLS.Clone()
	if config.ServerName == "" {
		host, _, _ := net.SplitHostPort(l.address)
		config.ServerName = host
	}
	return config
}

func (l *link) logFailure(err error, failures int) {
	if failures == 1 {
		l.transport.config.Logger.Warn().Err(err).Str("peer", l.address).Msg("peer unreachable")
	}
}
