// Package simulation is the deterministic ground of the emulator and of tests:
// an event loop with virtual time, processes that can be paused or killed, and
// a network that delays, loses, repeats and reorders messages.
//
// One simulation runs on one goroutine; many run side by side.
package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// Epoch is the virtual time at which every loop starts.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Loop runs events in order of virtual time, and of scheduling among equals.
type Loop struct {
	now      time.Time
	events   eventHeap
	sequence uint64
	executed uint64
	random   *rand.Rand
}

// NewLoop returns a loop at Epoch whose randomness comes from the seed.
func NewLoop(seed uint64) *Loop {
	return &Loop{now: Epoch, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Random is the loop's own source of randomness.
func (l *Loop) Random() *rand.Rand { return l.random }

// Fork returns a new source of randomness derived from the loop's.
func (l *Loop) Fork() *rand.Rand { return rand.New(rand.NewPCG(l.random.Uint64(), l.random.Uint64())) }

// Executed counts the events run so far.
func (l *Loop) Executed() uint64 { return l.executed }

// AfterFunc schedules function; it implements clock.Clock.
func (l *Loop) AfterFunc(delay time.Duration, function func()) clock.Timer {
	if delay < 0 {
		delay = 0
	}
	l.sequence++
	scheduled := &event{function: function}
	l.events.push(scheduledEvent{at: int64(l.sinceEpoch() + delay), sequence: l.sequence, event: scheduled})
	return scheduled
}

func (l *Loop) sinceEpoch() time.Duration { return l.now.Sub(Epoch) }

// Step runs the next event and reports whether there was one.
func (l *Loop) Step() bool {
	l.dropStopped()
	if len(l.events) == 0 {
		return false
	}
	l.run(l.events.pop())
	return true
}

// dropStopped removes stopped events from the head, so that the head is the
// next event that will run.
func (l *Loop) dropStopped() {
	for len(l.events) > 0 && l.events[0].event.function == nil {
		l.events.pop()
	}
}

func (l *Loop) run(next scheduledEvent) {
	if at := Epoch.Add(time.Duration(next.at)); at.After(l.now) {
		l.now = at
	}
	function := next.event.function
	next.event.function = nil
	l.executed++
	function()
}

// RunUntil runs all events up to and including the given time and leaves the
// clock there.
func (l *Loop) RunUntil(end time.Time) {
	last := int64(end.Sub(Epoch))
	l.dropStopped()
	for len(l.events) > 0 && l.events[0].at <= last {
		l.run(l.events.pop())
		l.dropStopped()
	}
	if end.After(l.now) {
		l.now = end
	}
}

// RunFor runs the loop for a span of virtual time.
func (l *Loop) RunFor(span time.Duration) { l.RunUntil(l.now.Add(span)) }

// event is one scheduled function; a nil function was stopped or has run.
type event struct {
	function func()
}

// Stop implements clock.Timer.
func (e *event) Stop() bool {
	pending := e.function != nil
	e.function = nil
	return pending
}
