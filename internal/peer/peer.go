// Package peer carries typed messages between hatchplank nodes.
package peer

import (
	"errors"
	"time"
)

// Message is any struct registered with gob. Packages register their message types
// in an init function, usually with RegisterAs.
type Message any

// Handler handles one message from the node at the address from. For a call,
// reply must be called exactly once, from any goroutine, also after the handler
// has returned; for a one-way message, reply is a no-op. A handler must not block.
type Handler func(from string, message Message, reply func(Message, error))

// ErrUnreachable means that no reply was received. The message may have been
// handled all the same.
var ErrUnreachable = errors.New("peer unreachable")

// Transport sends messages to other nodes. Messages may be lost, delayed,
// duplicated or reordered; each reply is matched to its call.
type Transport interface {
	// Call sends a message and passes the reply to done, which follows the
	// contract of package outside. Of an error in the reply only the text is
	// transmitted. Without a reply the error matches ErrUnreachable.
	Call(address string, message Message, timeout time.Duration, done func(Message, error))
	// Send sends a one-way message.
	Send(address string, message Message)
	// Handle sets the handler for messages of the prototype's type. It must be
	// called before the transport is started.
	Handle(prototype Message, handler Handler)
}
