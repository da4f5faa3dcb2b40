// Package outside defines the interfaces to the systems hatchplank stands
// between: key-value service, model engines, other back-end servers, weight
// store and machine list.
//
// All calls are asynchronous. Contract for every callback named done: it is
// called exactly once, never before the call returned, and not while the
// caller is on the stack; bindings call it on a goroutine of their own, the
// emulator calls it from its event loop. A call that outlives its timeout ends
// with an error.
package outside

import "fmt"

// ServerID names one back-end server (engine or other) for its lifetime.
type ServerID string

// Incarnation tells one start of a server's process from the next. It is
// never reused by the same server.
type Incarnation string

// AttemptID identifies one attempt of one request, or one order, for ever.
type AttemptID string

// Fence orders the commands given to one engine. The epoch comes from a
// compare-and-swap in the key-value service; the sequence is counted by the
// epoch's holder. An engine refuses every order that is not above the highest
// fence it has seen.
type Fence struct {
	Epoch    uint64
	Sequence uint64
}

// Less reports whether f comes before other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	return f.Sequence < other.Sequence
}

// String returns "epoch.sequence".
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Epoch, f.Sequence) }
