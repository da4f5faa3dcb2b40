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

// acceptPause is the wait after a failure to accept.
const acceptPause = 100 * time.Millisecond

var (
	errNoHandler      = errors.New("no handler for message")
	errUnnamedFailure = errors.New("failed without a reason")
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
		t.config.Logger.Warn().Err(err).Msg("accepting a peer failed")
		passed, stop := wait(t.config.Clock, acceptPause)
		select {
		case <-passed:
		case <-t.context.Done():
			stop()
			return
		}
	}
}

// admit serves a connection unless there are too many.
func (t *Transport) admit(conn net.Conn) {
	select {
	case t.handshakes <- struct{}{}:
	default:
		t.statistics.refusedConnections.Add(1)
		_ = conn.Close()
		return
	}
	if !t.register(conn) || !t.goUnlessClosed(func() { t.serveAccepted(conn) }) {
		<-t.handshakes
		t.unregister(conn)
		_ = conn.Close()
	}
}

func (t *Transport) register(conn net.Conn) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.closed || len(t.accepted) >= t.config.MaxConnections {
		t.statistics.refusedConnections.Add(1)
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

// serveAccepted runs the handshake and then answers calls.
func (t *Transport) serveAccepted(conn net.Conn) {
	defer t.unregister(conn)
	defer conn.Close()
	secured, from, err := t.welcome(conn)
	<-t.handshakes
	if err != nil {
		if !errors.Is(err, io.EOF) && t.context.Err() == nil {
			t.complain(conn, err)
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

// welcome runs the acceptor's handshakes within their time limit.
func (t *Transport) welcome(conn net.Conn) (secured net.Conn, from string, err error) {
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
}

// serve reads calls on this goroutine and writes replies on another.
func (i *inbound) serve() {
	ended := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		i.writeReplies(ended)
	}()
	i.session.readLoop(i.receive)
	close(ended)
	<-written
}

func (i *inbound) writeReplies(ended <-chan struct{}) {
	defer i.session.close()
	for {
		select {
		case <-ended:
			return
		case item := <-i.replies:
			if !i.writeBatch(item) {
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

func (i *inbound) receive(message envelope) error {
	if message.Kind == envelopeReply {
		return errBadFrame
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
	handler(i.from, message.Message, reply)
	return nil
}

// replyOnce returns the reply function of a call. It may be called from any
// goroutine, also after the connection has ended.
func (i *inbound) replyOnce(id uint64) func(peer.Message, error) {
	var replied atomic.Bool
	return func(message peer.Message, err error) {
		if !replied.CompareAndSwap(false, true) {
			return
		}
		i.queueReply(i.makeReply(id, message, err))
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
		err = errUnnamedFailure
	}
	return envelope{Kind: envelopeReply, ID: id, Failure: err.Error()}
}

// queueReply drops the reply when the peer does not take its replies.
func (i *inbound) queueReply(reply envelope) {
	select {
	case i.replies <- outgoing{envelope: reply}:
	default:
		i.transport.statistics.dropped.Add(1)
	}
}
