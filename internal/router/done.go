package router

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Outcome of an attempt, as far as the endpoint's health is concerned.
type Outcome uint8

// The outcomes.
const (
	// Succeeded: the endpoint answered.
	Succeeded Outcome = iota
	// Busy: the endpoint refused for want of room; it rests for a moment.
	Busy
	// Failed: the endpoint failed; other endpoints of its server may not.
	Failed
	// Unreachable: the server refused the connection or did not answer, which
	// counts against all its endpoints.
	Unreachable
	// Neutral says nothing about the endpoint (cancelled, never sent).
	Neutral
)

// Done gives a place back, exactly once, and learns from the outcome. A nil
// hint teaches nothing about load.
func (r *Router) Done(place Reservation, outcome Outcome, hint *outside.LoadHint) {
	if place.target == nil {
		return
	}
	now := r.config.Clock.Now()
	shard := r.shardOf(place.Group)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	target := place.target
	target.inFlight--
	if hint != nil {
		r.learnHint(shard, place.Group, target, hint, now)
	}
	target.settle(outcome, now, shard)
	target.server.settle(outcome, now, shard.random)
}

// learnHint takes the load told with an answer, which does not lag.
func (r *Router) learnHint(shard *shard, name string, target *target, hint *outside.LoadHint, now time.Time) {
	load := hint.Running + hint.Queued
	target.learn(load, target.inFlight, now)
	group := shard.groups[name]
	if group != nil && group.snapshot != nil {
		target.share(load, r.places(target), group.snapshot.Gateways, now)
	}
}

func (t *target) settle(outcome Outcome, now time.Time, shard *shard) {
	switch outcome {
	case Succeeded:
		t.breaker.succeed()
	case Busy:
		t.breaker.rest(now, jitter(shard.random, busyRest))
	case Failed:
		t.breaker.fail(now, shard.random)
	case Unreachable, Neutral:
		t.breaker.probing = false
	}
}

// ResponseStarted tells that the endpoint has begun to answer, so that a probe of the
// circuit breaker need not wait for a long answer's end.
func (r *Router) ResponseStarted(place Reservation) {
	if place.target == nil {
		return
	}
	shard := r.shardOf(place.Group)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	place.target.breaker.succeed()
	place.target.server.answered()
}
