// Package clock abstracts time, so that the same code runs on real time in a node
// and on virtual time in the emulator.
package clock

import "time"

// Clock returns the current time and schedules functions.
//
// Contract: the function passed to AfterFunc is never called before AfterFunc has
// returned, and never from within the call stack of AfterFunc's caller. A real
// clock calls it on a goroutine of its own; a virtual clock calls it from its
// event loop.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls function once after delay, unless the timer is stopped
	// before.
	AfterFunc(delay time.Duration, function func()) Timer
}

// Timer is a pending function call scheduled by Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// System is the system clock.
type System struct{}

// Now returns the system time.
func (System) Now() time.Time { return time.Now() }

// AfterFunc schedules function on a timer of the Go runtime.
func (System) AfterFunc(delay time.Duration, function func()) Timer {
	return time.AfterFunc(delay, function)
}

// Repeat calls function every period, for the first time after one period, until
// the returned function is called. The next call is scheduled only after the
// previous one has returned, so calls never overlap.
func Repeat(c Clock, period time.Duration, function func()) (stop func()) {
	repeater := &repeater{clock: c, period: period, function: function}
	repeater.schedule()
	return repeater.stop
}
