// Package outside defines the interfaces to the external systems that hatchplank uses:
// key-value service, model engines, other back-end servers, weight store and machine list.
//
// All calls are asynchronous. Every callback named done is called exactly once, never before
// the call has returned and never from the caller's stack: clients call it on a separate
// goroutine, the emulator calls it from its event loop. A call that exceeds its timeout
// completes with an error.
package outside

import "fmt"

// ServerID identifies one back-end server (engine or other) for its lifetime.
type ServerID string

// Incarnation identifies one run of a server's process, from start to exit. A server never
// reuses one.
type Incarnation string

// AttemptID identifies one attempt of one request, or one order. It is never reused.
type AttemptID string

// Fence is the fencing token of the orders to one engine. The epoch is obtained by a
// compare-and-swap in the key-value service; the holder of the epoch increments the sequence.
// An engine refuses each order whose fence is not above the highest that it has received.
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
