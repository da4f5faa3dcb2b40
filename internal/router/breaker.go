package router

import (
	"math/rand/v2"
	"time"
)

// Limits of the circuit breaker.
const (
	// failuresToOpen in a row open the breaker.
	failuresToOpen = 2
	// firstRest is the first time the breaker stays open; it doubles.
	firstRest = 200 * time.Millisecond
	// longestRest bounds the doubling.
	longestRest = 10 * time.Second
	// busyRest is how long an endpoint without room is left alone.
	busyRest = 25 * time.Millisecond
)

// breaker is a circuit breaker. Closed it allows everything; open it allows
// nothing until openUntil; then it allows one probe whose outcome decides.
type breaker struct {
	failures  int
	openUntil time.Time
	probing   bool
}

func (b *breaker) allows(now time.Time) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return !b.probing
}

// begin notes a request; after a rest it is the probe.
func (b *breaker) begin() {
	if b.failures >= failuresToOpen {
		b.probing = true
	}
}

func (b *breaker) succeed() {
	*b = breaker{}
}

// fail counts a failure. Failures of requests that were in flight when the
// breaker opened belong to the same event and count no more.
func (b *breaker) fail(now time.Time, random *rand.Rand) {
	if now.Before(b.openUntil) && !b.probing {
		return
	}
	b.probing = false
	b.failures++
	if b.failures < failuresToOpen {
		return
	}
	doublings := min(b.failures-failuresToOpen, 16)
	rest := min(firstRest<<doublings, longestRest)
	b.rest(now, jitter(random, rest))
}

// rest keeps the breaker open for a time without counting a failure.
func (b *breaker) rest(now time.Time, duration time.Duration) {
	b.probing = false
	until := now.Add(duration)
	if until.After(b.openUntil) {
		b.openUntil = until
	}
}

// jitter returns between half and the whole of a duration.
func jitter(random *rand.Rand, duration time.Duration) time.Duration {
	half := int64(duration / 2)
	return time.Duration(half + random.Int64N(half+1))
}
