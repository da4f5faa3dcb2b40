package tcp

import (
	"errors"
	"net"
	"time"
)

// minStableDuration is how long a connection must last for the next one to be
// attempted without backoff.
const minStableDuration = time.Second

var errConnectionLost = errors.New("connection lost")

// serve uses a connection until it is lost or idle or the transport is closed. It
// returns the new number of consecutive failures.
func (l *link) serve(conn net.Conn, first outgoing, failures int) int {
	clock := l.transport.config.Clock
	connected := clock.Now()
	session := newSession(l.transport, conn)
	read := make(chan struct{})
	go func() {
		defer close(read)
		session.readLoop(l.receive)
	}()
	l.writeLoop(session, first, read)
	session.close()
	<-read
	l.failSent(errConnectionLost)
	if clock.Now().Sub(connected) >= minStableDuration {
		return 0
	}
	return failures + 1
}

// writeLoop sends queued messages until the connection is to be closed: after a
// write error, a lost connection, IdleTimeout or Close.
func (l *link) writeLoop(session *session, first outgoing, broken <-chan struct{}) {
	if !l.writeBatch(session, first) {
		return
	}
	idle, stop := after(l.transport.config.Clock, l.transport.config.IdleTimeout)
	defer func() { stop() }()
	used := false
	for {
		select {
		case item := <-l.queue:
			used = true
			if !l.writeBatch(session, item) {
				return
			}
		case <-broken:
			return
		case <-l.transport.context.Done():
			return
		case <-idle:
			if !used && l.pending.empty() {
				return
			}
			used = false
			idle, stop = after(l.transport.config.Clock, l.transport.config.IdleTimeout)
		}
	}
}

// writeBatch sends an item and those queued behind it with one flush, and reports
// whether all were written.
func (l *link) writeBatch(session *session, item outgoing) bool {
	for {
		if !l.write(session, item) {
			return false
		}
		select {
		case item = <-l.queue:
		default:
			return session.flush()
		}
	}
}

// write sends an item unless its call has already ended, and reports whether the
// connection can still be used. After an item that can't be encoded it can't,
// because the state of the gob stream is undefined.
func (l *link) write(session *session, item outgoing) bool {
	if item.call != nil && !l.pending.markSent(item.envelope.ID) {
		return true
	}
	err := session.write(&item.envelope)
	if err == nil {
		return true
	}
	if errors.Is(err, errMessageTooLarge) {
		l.drop(item, err)
	}
	return false
}

// receive passes a reply to its call. A reply to a call that has ended is
// ignored.
func (l *link) receive(message envelope) error {
	if message.Kind != envelopeReply {
		return errBadFrame
	}
	call, waiting := l.pending.takeSentCall(message.ID)
	if !waiting {
		return nil
	}
	call.timer.Stop()
	call.finish(message.Message, replyError(message))
	return nil
}

func replyError(message envelope) error {
	if message.Failure == "" {
		return nil
	}
	return errors.New(message.Failure)
}
