package router

import (
	"math/rand/v2"
	"time"
)

// Limits of the circuit breaker.
const (
	// failuresToOpen is the number of consecutive failures that open the breaker.
	failuresToOpen = 2
	// minOpenTime is how long the breaker first stays open, before jitter. The time doubles
	// with each failed probe.
	minOpenTime = 200 * time.Millisecond
	// maxOpenTime is the upper limit of the doubled time.
	maxOpenTime = 10 * time.Second
	// busyBackoff is how long an endpoint that refused a request for lack of capacity gets
	// no requests, before jitter.
	busyBackoff = 25 * time.Millisecond
)

// breaker is a circuit breaker. When closed it lets all requests through. When open it lets
// none through until openUntil. Then it is half-open and lets one probe through, whose outcome
// closes or reopens it.
type breaker struct {
	failures  int
	openUntil time.Time
	probing   bool
}

// allows reports whether a request may be sent now.
func (b *breaker) allows(now time.Time) bool {
	if now.Before(b.openUntil) {
		return false
	}
	return !b.probing
}

// recordRequest records that a request is sent. If the breaker is half-open, the request is
// its probe.
func (b *breaker) recordRequest() {
	if b.failures >= failuresToOpen {
		b.probing = true
	}
}

// recordSuccess closes the breaker.
func (b *breaker) recordSuccess() {
	*b = breaker{}
}

// recordFailure counts a failure, and opens the breaker if there were enough. Failures of
// requests that were in flight when the breaker opened have the same cause and don't count.
func (b *breaker) recordFailure(now time.Time, random *rand.Rand) {
	if now.Before(b.openUntil) && !b.probing {
		return
	}
	b.probing = false
	b.failures++
	if b.failures < failuresToOpen {
		return
	}
	doublings := min(b.failures-failuresToOpen, 16)
	openTime := min(minOpenTime<<doublings, maxOpenTime)
	b.openFor(now, jitter(random, openTime))
}

// openFor keeps the breaker open for at least the duration, without counting a failure.
func (b *breaker) openFor(now time.Time, duration time.Duration) {
	b.probing = false
	until := now.Add(duration)
	if until.After(b.openUntil) {
		b.openUntil = until
	}
}

// jitter returns a random duration between half of the given one and all of it.
func jitter(random *rand.Rand, duration time.Duration) time.Duration {
	half := int64(duration / 2)
	return time.Duration(half + random.Int64N(half+1))
}
