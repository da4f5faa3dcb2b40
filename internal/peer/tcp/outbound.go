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
	active := &activeConnection{link: l, session: newSession(l.transport, conn), probes: make(chan struct{}, 1)}
	read := make(chan struct{})
	go func() {
		defer close(read)
		active.session.readLoop(active.receive)
	}()
	active.writeLoop(first, read)
	active.session.close()
	<-read
	if active.watch != nil {
		active.watch.stop()
	}
	l.failSent(errConnectionLost)
	if clock.Now().Sub(connected) >= minStableDuration {
		return 0
	}
	return failures + 1
}

// activeConnection is the connection that a link uses.
type activeConnection struct {
	*link
	session *session
	// probes gets a value when a probe is to be sent.
	probes chan struct{}
	// watch is set by the reading goroutine once the peer has announced that it answers probes.
	watch *silenceWatch
}

// writeLoop sends queued messages until the connection is to be closed: after a
// write error, a lost connection, IdleTimeout or Close.
func (c *activeConnection) writeLoop(first outgoing, broken <-chan struct{}) {
	if !c.writeBatch(first) {
		return
	}
	idle, stop := after(c.transport.config.Clock, c.transport.config.IdleTimeout)
	defer func() { stop() }()
	used := false
	for {
		select {
		case item := <-c.queue:
			used = true
			if !c.writeBatch(item) {
				return
			}
		case <-c.probes:
			if c.session.write(&envelope{Kind: envelopeProbe}) != nil || !c.session.flush() {
				return
			}
		case <-broken:
			return
		case <-c.transport.context.Done():
			return
		case <-idle:
			if !used && c.pending.empty() {
				return
			}
			used = false
			idle, stop = after(c.transport.config.Clock, c.transport.config.IdleTimeout)
		}
	}
}

// writeBatch sends an item and those queued behind it with one flush, and reports
// whether all were written.
func (c *activeConnection) writeBatch(item outgoing) bool {
	for {
		if !c.write(item) {
			return false
		}
		select {
		case item = <-c.queue:
		default:
			return c.session.flush()
		}
	}
}

// write sends an item unless its call has already ended, and reports whether the
// connection can still be used. After an item that can't be encoded it can't,
// because the state of the gob stream is undefined.
func (c *activeConnection) write(item outgoing) bool {
	if item.call != nil && !c.pending.markSent(item.envelope.ID) {
		return true
	}
	err := c.session.write(&item.envelope)
	if err == nil {
		return true
	}
	if errors.Is(err, errMessageTooLarge) {
		c.drop(item, err)
	}
	return false
}

// receive passes a reply to its call. A reply to a call that has ended is
// ignored.
func (c *activeConnection) receive(message envelope) error {
	if message.Kind != envelopeReply {
		return errBadFrame
	}
	if message.ID == 0 {
		c.startProbing()
		return nil
	}
	call, waiting := c.pending.takeSentCall(message.ID)
	if !waiting {
		return nil
	}
	call.timer.Stop()
	call.finish(message.Message, replyError(message))
	return nil
}

// startProbing probes the connection from now on whenever it is quiet.
func (c *activeConnection) startProbing() {
	if c.watch == nil {
		c.watch = watchSilence(c.session, maxQuietIntervals, c.probes)
	}
}

func replyError(message envelope) error {
	if message.Failure == "" {
		return nil
	}
	return errors.New(message.Failure)
}
