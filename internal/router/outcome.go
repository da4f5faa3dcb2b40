package router

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Outcome is the result of an attempt as far as it concerns the endpoint's health.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Succeeded means that the endpoint responded.
	Succeeded Outcome = iota
	// Busy means that the endpoint refused the request for lack of capacity. It gets no
	// requests for a short backoff.
	Busy
	// Failed means that the endpoint failed. Other endpoints of its server may still work.
	Failed
	// Unreachable means that the server refused the connection or did not respond. It counts
	// against all endpoints of the server.
	Unreachable
	// Neutral means that the attempt shows nothing about the endpoint's health: it was
	// cancelled or never sent.
	Neutral
)

// Done releases a reservation and records the attempt's outcome. It must be called exactly
// once for each reservation. The hint is the load that the response reported, nil if none.
func (r *Router) Done(reservation Reservation, outcome Outcome, hint *outside.LoadHint) {
	if reservation.target == nil {
		return
	}
	now := r.config.Clock.Now()
	shard := r.shardOf(reservation.Group)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	target := reservation.target
	target.inFlight--
	if hint != nil {
		r.applyLoadHint(shard, reservation.Group, target, hint, now)
	}
	target.recordOutcome(outcome, now, shard)
	target.server.recordOutcome(outcome, now, shard.random)
}

// applyLoadHint updates the target's load from the figures in a response, which are current.
func (r *Router) applyLoadHint(shard *shard, name string, target *target, hint *outside.LoadHint, now time.Time) {
	load := hint.Running + hint.Queued
	target.setMeasuredLoad(load, target.inFlight, now)
	group := shard.groups[name]
	if group != nil && group.snapshot != nil {
		target.updateGrant(load, r.sharedLimit(target), group.snapshot.Gateways, now)
	}
}

// recordOutcome updates the endpoint's breaker with an attempt's outcome.
func (t *target) recordOutcome(outcome Outcome, now time.Time, shard *shard) {
	switch outcome {
	case Succeeded:
		t.breaker.recordSuccess()
	case Busy:
		t.breaker.openFor(now, jitter(shard.random, busyBackoff))
	case Failed:
		t.breaker.recordFailure(now, shard.random)
	case Unreachable, Neutral:
		t.breaker.probing = false
	}
}

// ResponseStarted records that the endpoint has begun to respond. It closes the circuit
// breakers, so that a probe doesn't last until the end of a long response.
func (r *Router) ResponseStarted(reservation Reservation) {
	if reservation.target == nil {
		return
	}
	shard := r.shardOf(reservation.Group)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	reservation.target.breaker.recordSuccess()
	reservation.target.server.recordResponse()
}
