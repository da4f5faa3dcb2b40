package simulation

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// Process is one simulated operating-system process. All its code is started
// by Run, which defers it while the process is paused and discards it once the
// process is killed. Its clock may drift. It implements clock.Clock.
type Process struct {
	// Name is the process's address on the network.
	Name string
	loop *Loop

	killed bool
	paused bool
	// deferred functions run at Resume.
	deferred []func()

	driftRate   float64
	driftOffset time.Duration
	started     time.Time
}

// NewProcess returns a running process whose clock does not drift.
func NewProcess(loop *Loop, name string) *Process {
	return &Process{Name: name, loop: loop, started: loop.Now()}
}

// SetDrift makes the process's clock run faster by rate (0.01 is 1 %) and ahead
// by offset.
func (p *Process) SetDrift(rate float64, offset time.Duration) {
	p.driftRate = rate
	p.driftOffset = offset
}

// Run calls function at once. It defers the call until Resume if the process is
// paused, and drops it if the process is killed.
func (p *Process) Run(function func()) {
	switch {
	case p.killed:
	case p.paused:
		p.deferred = append(p.deferred, function)
	default:
		function()
	}
}

// Kill terminates the process: Run drops all calls from now on, also deferred
// ones.
func (p *Process) Kill() {
	p.killed = true
	p.deferred = nil
}

// Killed reports whether the process was killed.
func (p *Process) Killed() bool { return p.killed }

// Pause suspends the process until Resume.
func (p *Process) Pause() { p.paused = true }

// Paused reports whether the process is paused.
func (p *Process) Paused() bool { return p.paused }

// Resume continues the process and runs the calls deferred during the pause, in
// order.
func (p *Process) Resume() {
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, function := range deferred {
		p.Run(function)
	}
}

// Now returns the time by the process's clock.
func (p *Process) Now() time.Time {
	now := p.loop.Now()
	elapsed := now.Sub(p.started)
	drift := time.Duration(float64(elapsed) * p.driftRate)
	return now.Add(p.driftOffset + drift)
}

// AfterFunc schedules function in this process after delay by its clock.
func (p *Process) AfterFunc(delay time.Duration, function func()) clock.Timer {
	if p.driftRate != 0 {
		// Rounded up, so that a timer never fires early by this clock.
		delay = time.Duration(math.Ceil(float64(delay)/(1+p.driftRate))) + 1
	}
	return p.loop.AfterFunc(delay, func() { p.Run(function) })
}
