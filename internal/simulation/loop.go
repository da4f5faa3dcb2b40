// Package simulation is the deterministic ground of the emulator and of tests:
// an event loop with virtual time, processes that can be paused or killed, and
// a network that delays, loses, repeats and reorders messages.
//
// One simulation runs on one goroutine; many run side by side.
package simulation

import (
	"container/heap"
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
	scheduled := &event{at: l.now.Add(delay), sequence: l.sequence, function: function}
	heap.Push(&l.events, scheduled)
	return scheduled
}

// Step runs the next event and reports whether there was one.
func (l *Loop) Step() bool {
	l.dropStopped()
	if l.events.Len() == 0 {
		return false
	}
	l.run(heap.Pop(&l.events).(*event))
	return true
}

// dropStopped removes stopped events from the head, so that the head is the
// next event that will run.
func (l *Loop) dropStopped() {
	for l.events.Len() > 0 && l.events[0].function == nil {
		heap.Pop(&l.events)
	}
}

func (l *Loop) run(next *event) {
	if next.at.After(l.now) {
		l.now = next.at
	}
	function := next.function
	next.function = nil
	l.executed++
	function()
}

// RunUntil runs all events up to and including the given time and leaves the
// clock there.
func (l *Loop) RunUntil(end time.Time) {
	l.dropStopped()
	for l.events.Len() > 0 && !l.events[0].at.After(end) {
		l.Step()
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
	at       time.Time
	sequence uint64
	function func()
}

// Stop implements clock.Timer.
func (e *event) Stop() bool {
	pending := e.function != nil
	e.function = nil
	return pending
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
