package peer

import (
	"context"
	"net"
)

// StreamHandler serves a stream that the node at the address from opens with a request. It calls
// accept at most once, which sends the reply and returns the connection for any further bytes. The
// connection is closed when the handler returns, and when ctx ends.
type StreamHandler func(ctx context.Context, from string, request Message, accept func(reply Message) (net.Conn, error))

// StreamTransport opens streams to other nodes: connections of their own that carry, after a request
// and its reply, whatever bytes both sides send.
type StreamTransport interface {
	// OpenStream connects to the node at an address, sends the request and returns the reply. The
	// connection is nil if there is an error. Opening ends with ctx; the open stream does not.
	OpenStream(ctx context.Context, address string, request Message) (net.Conn, Message, error)
	// HandleStream sets the handler for streams that begin with the prototype's type. It must be
	// called before the transport is started.
	HandleStream(prototype Message, handler StreamHandler)
}
