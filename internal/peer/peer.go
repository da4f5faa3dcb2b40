// Package peer carries typed messages between hatchplank nodes.
package peer

import (
	"errors"
	"time"
)

// Message is any gob-registered struct. Packages register their own message
// types with encoding/gob in an init function of their messages.go.
type Message any

// Handler answers one message. Reply must be called exactly once for a call
// and may be called later, from any goroutine; for a one-way message reply is
// a no-op. A handler must not block.
type Handler func(from string, message Message, reply func(Message, error))

// ErrUnreachable means that no reply came; the message may have been handled.
var ErrUnreachable = errors.New("peer unreachable")

// Transport sends messages to other nodes. Messages may be lost, late,
// repeated or reordered; each reply is matched to its own call.
type Transport interface {
	// Call sends a message and waits for the reply. Done follows the contract
	// of package outside. A reply error carries only its text.
	Call(address string, message Message, timeout time.Duration, done func(Message, error))
	// Send sends a message that needs no reply.
	Send(address string, message Message)
	// Handle sets the handler for messages of the prototype's type. It is
	// called before the transport starts.
	Handle(prototype Message, handler Handler)
}
