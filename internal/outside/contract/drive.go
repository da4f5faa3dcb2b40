// Package contract holds one suite of specifications for each interface of
// package outside. Every binding must pass it; the suites run against the HTTP
// and the simulated bindings.
package contract

import (
	"time"

	"github.com/onsi/ginkgo/v2"

	"github.com/hatchplank/hatchplank/internal/simulation"
)

// Drive makes time pass until a call has ended.
type Drive interface {
	// Now is the time by which deadlines are set.
	Now() time.Time
	// Await returns when the channel is closed and fails the specification if
	// that does not happen.
	Await(ended <-chan struct{})
}

// realLimit is how long a call on real time may take before it counts as lost.
const realLimit = 20 * time.Second

// RealDrive waits for real time to pass.
type RealDrive struct{}

// Now implements Drive.
func (RealDrive) Now() time.Time { return time.Now() }

// Await implements Drive.
func (RealDrive) Await(ended <-chan struct{}) {
	limit := time.NewTimer(realLimit)
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
		ginkgo.Fail("the call has not ended", 1)
	}
}

// LoopDrive runs the events of a simulation.
type LoopDrive struct{ Loop *simulation.Loop }

// Now implements Drive.
func (d LoopDrive) Now() time.Time { return d.Loop.Now() }

// Await implements Drive.
func (d LoopDrive) Await(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		default:
		}
		if !d.Loop.Step() {
			ginkgo.Fail("the simulation has no more events", 1)
		}
	}
}
