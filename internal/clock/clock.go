// Package clock abstracts time so that the same decision code runs on real
// time in a node and on virtual time in the emulator.
package clock

import "time"

// Clock tells the time and schedules functions.
//
// Contract: the function given to AfterFunc is never called before AfterFunc
// returned, and never while AfterFunc's caller is still on the stack. A real
// clock calls it on its own goroutine; a virtual clock calls it from its event
// loop.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// AfterFunc calls function once after delay, unless stopped before.
	AfterFunc(delay time.Duration, function func()) Timer
}

// Timer is a pending call made by Clock.AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
}

// System is the machine's clock.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// AfterFunc schedules function on the Go runtime's timer.
func (System) AfterFunc(delay time.Duration, function func()) Timer {
	return time.AfterFunc(delay, function)
}

// Repeat calls function every period until the returned function is called.
// The next call is scheduled only after the one before returned, so calls
// never overlap.
func Repeat(c Clock, period time.Duration, function func()) (stop func()) {
	repeater := &repeater{clock: c, period: period, function: function}
	repeater.schedule()
	return repeater.stop
}
