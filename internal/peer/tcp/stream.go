package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

var _ peer.StreamTransport = (*Transport)(nil)

// errStreamBegins ends the reading of messages from a connection that becomes a stream.
var errStreamBegins = errors.New("stream begins")

// OpenStream implements peer.StreamTransport.
func (t *Transport) OpenStream(ctx context.Context, address string, request peer.Message) (net.Conn, peer.Message, error) {
	if err := t.checkMessage(request); err != nil {
		return nil, nil, err
	}
	conn, err := t.dialPeer(ctx, t.config.StreamDialer, address)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reply, err := t.requestStream(conn, request)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, nil, fmt.Errorf("%w: %w", peer.ErrUnreachable, err)
	}
	if err := replyError(reply); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, reply.Message, nil
}

// requestStream sends the request and reads the reply, without any byte that follows it.
func (t *Transport) requestStream(conn net.Conn, request peer.Message) (envelope, error) {
	frame, err := newEncoder(t.config.MaxFrameBytes).encode(&envelope{Kind: envelopeCall, ID: 1, Message: request})
	if err != nil {
		return envelope{}, err
	}
	if _, err := conn.Write(frame); err != nil {
		return envelope{}, err
	}
	reply, _, err := newDecoder(conn, t.config.MaxFrameBytes).decode()
	if err == nil && reply.Kind != envelopeReply {
		err = errBadFrame
	}
	return reply, err
}

// HandleStream implements peer.StreamTransport.
func (t *Transport) HandleStream(prototype peer.Message, handler peer.StreamHandler) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.streamHandlers[reflect.TypeOf(prototype)] = handler
}

func (t *Transport) streamHandlerOf(message peer.Message) (peer.StreamHandler, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	handler, known := t.streamHandlers[reflect.TypeOf(message)]
	return handler, known
}

// streamRequest is a request that turns an accepted connection into a stream.
type streamRequest struct {
	handler peer.StreamHandler
	request envelope
}

// beginStream notes the request of a stream, which must be the connection's only message.
func (i *inbound) beginStream(message envelope, handler peer.StreamHandler) error {
	if message.Kind != envelopeCall || i.received > 1 || i.session.reader.Buffered() > 0 {
		return errBadFrame
	}
	i.stream = &streamRequest{handler: handler, request: message}
	return errStreamBegins
}

// serveStream runs the handler of the stream.
func (i *inbound) serveStream() {
	ctx, cancel := context.WithCancel(i.transport.context)
	defer cancel()
	accept := func(reply peer.Message) (net.Conn, error) {
		if err := i.session.write(&envelope{Kind: envelopeReply, ID: i.stream.request.ID, Message: reply}); err != nil {
			return nil, err
		}
		if !i.session.flush() {
			return nil, errConnectionLost
		}
		return i.session.conn, i.session.conn.SetWriteDeadline(time.Time{})
	}
	i.stream.handler(ctx, i.from, i.stream.request.Message, accept)
}
