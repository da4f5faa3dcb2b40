// Package simulation provides deterministic simulation for the emulator and for
// tests: an event loop with virtual time, processes that can be paused or
// killed, and a network that delays, loses, duplicates and reorders messages.
//
// A simulation runs on a single goroutine and is not safe for concurrent use;
// independent simulations may run in parallel.
package simulation

import (
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// Epoch is the virtual time at which every loop starts.
var Epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Loop runs events in order of virtual time; events at the same time run in the
// order in which they were scheduled.
type Loop struct {
	now      time.Time
	events   eventHeap
	sequence uint64
	executed uint64
	random   *rand.Rand
}

// NewLoop returns a loop at Epoch whose random numbers derive from the seed.
func NewLoop(seed uint64) *Loop {
	return &Loop{now: Epoch, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time { return l.now }

// Random returns the loop's random number generator.
func (l *Loop) Random() *rand.Rand { return l.random }

// Fork returns a new random number generator seeded from the loop's.
func (l *Loop) Fork() *rand.Rand { return rand.New(rand.NewPCG(l.random.Uint64(), l.random.Uint64())) }

// Executed returns the number of events run so far.
func (l *Loop) Executed() uint64 { return l.executed }

// AfterFunc schedules function after delay; a negative delay counts as zero. It
// implements clock.Clock.
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

// Step runs the next event and reports whether one was pending.
func (l *Loop) Step() bool {
	l.removeStopped()
	if len(l.events) == 0 {
		return false
	}
	l.run(l.events.pop())
	return true
}

// removeStopped removes stopped events from the top of the heap, so that its
// first event is the next one that runs.
func (l *Loop) removeStopped() {
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

// RunUntil runs all events up to and including end and then advances the clock
// to end.
func (l *Loop) RunUntil(end time.Time) {
	endOffset := int64(end.Sub(Epoch))
	l.removeStopped()
	for len(l.events) > 0 && l.events[0].at <= endOffset {
		l.run(l.events.pop())
		l.removeStopped()
	}
	if end.After(l.now) {
		l.now = end
	}
}

// RunFor runs the loop for a duration of virtual time.
func (l *Loop) RunFor(span time.Duration) { l.RunUntil(l.now.Add(span)) }

// event is one scheduled function; function is nil once it was stopped or run.
type event struct {
	function func()
}

// Stop cancels the event and reports whether it was pending. It implements
// clock.Timer.
func (e *event) Stop() bool {
	pending := e.function != nil
	e.function = nil
	return pending
}
