package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// Reasons of failed attempts, as in outside.AttemptError.
const (
	reasonBusy       = "busy"
	reasonNotLoaded  = "not_loaded"
	reasonLeaving    = "leaving"
	reasonRefused    = "refused"
	reasonConnection = "connection"
	reasonTimeout    = "timeout"
	reasonTruncated  = "truncated"
	reasonFailed     = "failed"
	reasonCancelled  = "cancelled"
)

// Backoff between the attempts of one request.
const (
	firstBackOff   = 20 * time.Millisecond
	longestBackOff = time.Second
	// refusalsFactor is how many times the attempts' limit a request may be
	// turned away by endpoints that are gone, which costs them nothing.
	refusalsFactor = 4
)

// outcomeOf says what a failure means for the endpoint's health.
func outcomeOf(err *outside.AttemptError) router.Outcome {
	switch err.Reason {
	case reasonBusy:
		return router.Busy
	case reasonNotLoaded, reasonLeaving, reasonCancelled:
		return router.Neutral
	case reasonConnection:
		return router.Unreachable
	case reasonTimeout:
		if err.Ran == result.RanNo {
			// The server refused for want of time.
			return router.Neutral
		}
		return router.Unreachable
	default:
		return router.Failed
	}
}

// failed decides what follows the failure of an attempt. The attempt is
// settled, or stopped.
func (s *shard) failed(a *attempt, ran result.Ran, reason string, turn *turn) {
	e := a.entry
	if e.attempt != a || e.phase != phaseRunning {
		s.failedLate(a, ran)
		s.dispatch(e.group, turn)
		return
	}
	e.attempt = nil
	e.ran = max(e.ran, ran)
	e.avoid = a.place.Endpoint.Server
	e.stream.early = nil
	if refusal := s.verdict(e, ran, reason, turn.now); refusal != nil {
		s.giveUp(e, *refusal, turn)
		s.dispatch(e.group, turn)
		return
	}
	s.again(a, reason, turn)
	s.dispatch(e.group, turn)
}

// failedLate handles the failure of an attempt that nobody waits for any more:
// if it proves that a non-repeatable request never ran, its key is free again.
func (s *shard) failedLate(a *attempt, ran result.Ran) {
	e := a.entry
	e.ran = max(e.ran, ran)
	if e.phase == phaseFinal && e.attempt == a {
		e.attempt = nil
		s.releaseClaim(e)
	}
}

// verdict returns the final refusal after a failure; nil if the request may be
// tried again.
func (s *shard) verdict(e *entry, ran result.Ran, reason string, now time.Time) *result.Refusal {
	if !e.repeatable() && ran != result.RanNo {
		return e.unrepeatable(ran, reason)
	}
	limits := s.gateway.config.Limits
	if gone(reason) && e.attempts < limits.Attempts*refusalsFactor {
		return nil
	}
	if e.attempts >= limits.Attempts {
		return s.exhausted(e, reason, now)
	}
	if !s.takeRetry(e.group) {
		refusal := refusalf(result.RetryBudgetSpent, "the attempt failed (%s) and the budget for retries is spent", reason)
		refusal.RetryAfter = s.retryAfter(e, now)
		return refusal
	}
	return nil
}

// gone reports whether the endpoint itself is no longer there.
func gone(reason string) bool { return reason == reasonNotLoaded || reason == reasonLeaving }

// unrepeatable is the final answer for a non-repeatable request whose attempt
// may have run.
func (e *entry) unrepeatable(ran result.Ran, reason string) *result.Refusal {
	switch {
	case ran == result.RanUnknown:
		return refusalf(result.OutcomeUnknown, "the attempt ended without an answer (%s)", reason)
	case e.stream.next > 0:
		return refusalf(result.StreamBroken, "the stream broke off (%s)", reason)
	default:
		return refusalf(result.BackEndFailed, "the back end failed (%s)", reason)
	}
}

// exhausted is the final answer after the last attempt.
func (s *shard) exhausted(e *entry, reason string, now time.Time) *result.Refusal {
	code := result.BackEndFailed
	switch {
	case e.stream.next > 0:
		code = result.StreamBroken
	case e.ran == result.RanNo:
		code = result.BackEndRefused
	}
	refusal := refusalf(code, "%d attempts failed, the last with %q", e.attempts, reason)
	refusal.RetryAfter = s.retryAfter(e, now)
	return refusal
}

// takeRetry takes one retry from the budgets of the group and the node.
func (s *shard) takeRetry(g *group) bool {
	if !g.budget.take() {
		return false
	}
	if !s.gateway.budget.take() {
		g.budget.giveBack()
		return false
	}
	return true
}

// again brings a request back to the queue, after a jittered backoff unless
// the endpoint is gone.
func (s *shard) again(a *attempt, reason string, turn *turn) {
	e := a.entry
	event := e.event(turn, EventRetried)
	a.note(event)
	event.Reason = reason
	s.counts.retried++
	if gone(reason) {
		turn.rejects = append(turn.rejects, a.rejection(reason == reasonLeaving))
	}
	e.phase = phaseBackingOff
	e.backOff = timerItem{kind: timerBackOff, entry: e}
	left := e.refuseAt.Sub(turn.now)
	s.schedule(&e.backOff, turn.now.Add(min(s.backOff(e.attempts), left/2)))
}

// backOff returns a random time up to a bound that doubles with each attempt.
func (s *shard) backOff(attempts int) time.Duration {
	bound := min(firstBackOff<<min(attempts-1, 10), longestBackOff)
	return time.Duration(s.random.Int64N(int64(bound)) + 1)
}

// requeue puts a request back into the queue. A stream that has begun goes on
// with the version it began with.
func (s *shard) requeue(e *entry, turn *turn) {
	if e.phase != phaseBackingOff {
		return
	}
	if e.stream.next > 0 {
		e.flow = s.flowFor(e, e.stream.version)
	}
	s.enqueue(e)
	s.dispatch(e.group, turn)
}
