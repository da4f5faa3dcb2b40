package tcp

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// acceptRetryDelay is the delay after a failure to accept a connection.
const acceptRetryDelay = 100 * time.Millisecond

var (
	errNoHandler      = errors.New("no handler for message")
	errEmptyErrorText = errors.New("failed without a reason")
)

func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err == nil {
			t.admit(conn)
			continue
		}
		if t.context.Err() != nil || errors.Is(err, net.ErrClosed) {
			return
		}
		t.config.Logger.Warn().Err(err).Msg("peer connection could not be accepted")
		passed, stop := after(t.config.Clock, acceptRetryDelay)
		select {
		case <-passed:
		case <-t.context.Done():
			stop()
			return
		}
	}
}

// admit serves a connection unless a limit on connections or handshakes is
// reached.
func (t *Transport) admit(conn net.Conn) {
	select {
	case t.handshakes <- struct{}{}:
	default:
		t.statistics.rejectedConnections.Add(1)
		_ = conn.Close()
		return
	}
	if !t.register(conn) || !t.goIfOpen(func() { t.serveAccepted(conn) }) {
		<-t.handshakes
		t.unregister(conn)
		_ = conn.Close()
	}
}

// register adds an accepted connection. It returns false if the transport is
// closed or MaxConnections is reached.
func (t *Transport) register(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed || len(t.accepted) >= t.config.MaxConnections {
		t.statistics.rejectedConnections.Add(1)
		return false
	}
	t.accepted[conn] = struct{}{}
	return true
}

func (t *Transport) unregister(conn net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.accepted, conn)
}

// serveAccepted runs the handshake and then serves the connection.
func (t *Transport) serveAccepted(conn net.Conn) {
	defer t.unregister(conn)
	defer conn.Close()
	secured, from, err := t.handshakeAccepted(conn)
	<-t.handshakes
	if err != nil {
		if !errors.Is(err, io.EOF) && t.context.Err() == nil {
			t.reportViolation(conn, err)
		}
		return
	}
	inbound := &inbound{
		transport: t,
		session:   newSession(t, secured),
		from:      from,
		replies:   make(chan outgoing, t.config.QueueLength),
	}
	inbound.serve()
}

// handshakeAccepted runs the TLS handshake, if TLS is used, and the acceptor's
// handshake, both within HandshakeTimeout. It returns the connection to use and
// the dialer's address.
func (t *Transport) handshakeAccepted(conn net.Conn) (secured net.Conn, from string, err error) {
	if err := conn.SetDeadline(time.Now().Add(t.config.HandshakeTimeout)); err != nil {
		return nil, "", err
	}
	secured = conn
	if t.config.TLS != nil {
		secured = tls.Server(conn, t.config.TLS)
	}
	from, err = acceptHandshake(secured, t.config.Secret)
	if err != nil {
		return nil, "", err
	}
	return secured, from, conn.SetDeadline(time.Time{})
}

// inbound is an accepted connection.
type inbound struct {
	transport *Transport
	session   *session
	from      string
	replies   chan outgoing
	// received counts the messages.
	received int
	// watch is set once the peer has sent a probe.
	watch *silenceWatch
	// stream is set once the connection becomes a stream.
	stream *streamRequest
}

// serve reads messages on this goroutine and writes replies on another, until the
// connection is closed or becomes a stream, which it then serves.
func (i *inbound) serve() {
	readEnded := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		i.writeReplies(readEnded)
	}()
	i.session.readLoop(i.receive)
	close(readEnded)
	<-written
	if i.watch != nil {
		i.watch.stop()
	}
	if i.stream != nil {
		i.serveStream()
	}
}

func (i *inbound) writeReplies(readEnded <-chan struct{}) {
	for {
		select {
		case <-readEnded:
			return
		case item := <-i.replies:
			if !i.writeBatch(item) {
				i.session.close()
				return
			}
		}
	}
}

func (i *inbound) writeBatch(item outgoing) bool {
	for {
		if i.session.write(&item.envelope) != nil {
			return false
		}
		select {
		case item = <-i.replies:
		default:
			return i.session.flush()
		}
	}
}

// receive passes a message to its handler. A reply is a violation of the protocol,
// since no calls are sent on accepted connections.
func (i *inbound) receive(message envelope) error {
	if message.Kind == envelopeReply {
		return errBadFrame
	}
	i.received++
	if message.Kind == envelopeProbe {
		i.answerProbe()
		return nil
	}
	if handler, known := i.transport.streamHandlerOf(message.Message); known {
		return i.beginStream(message, handler)
	}
	reply := func(peer.Message, error) {}
	if message.Kind == envelopeCall {
		reply = i.replyOnce(message.ID)
	}
	handler, known := i.transport.handlerOf(message.Message)
	if !known {
		reply(nil, errNoHandler)
		return nil
	}
	if i.received == 1 {
		// Not after a message without a handler: it may request a stream, whose dialer expects one reply.
		i.enqueueReply(envelope{Kind: envelopeReply})
	}
	handler(i.from, message.Message, reply)
	return nil
}

// answerProbe answers a probe. The peer sends further ones while the connection is quiet.
func (i *inbound) answerProbe() {
	if i.watch == nil {
		i.watch = watchSilence(i.session, maxUnprobedIntervals, nil)
	}
	i.enqueueReply(envelope{Kind: envelopeReply})
}

// replyOnce returns the reply function of a call, of which only the first call
// has an effect. It may be called from any goroutine, also after the connection
// has been closed.
func (i *inbound) replyOnce(id uint64) func(peer.Message, error) {
	var replied atomic.Bool
	return func(message peer.Message, err error) {
		if !replied.CompareAndSwap(false, true) {
			return
		}
		i.enqueueReply(i.makeReply(id, message, err))
	}
}

func (i *inbound) makeReply(id uint64, message peer.Message, err error) envelope {
	if err == nil && message != nil {
		err = i.transport.checkMessage(message)
	}
	if err == nil {
		return envelope{Kind: envelopeReply, ID: id, Message: message}
	}
	if err.Error() == "" {
		err = errEmptyErrorText
	}
	return envelope{Kind: envelopeReply, ID: id, Failure: err.Error()}
}

// enqueueReply queues a reply, and drops it if the queue is full because the peer
// does not read its replies.
func (i *inbound) enqueueReply(reply envelope) {
	select {
	case i.replies <- outgoing{envelope: reply}:
	default:
		i.transport.statistics.dropped.Add(1)
	}
}
