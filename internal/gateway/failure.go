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

// Backoff between the attempts of one request, doubling from the initial bound.
const (
	initialBackOff = 20 * time.Millisecond
	maxBackOff     = time.Second
	// removedEndpointFactor times Limits.Attempts is how many attempts a request
	// may have if they fail because their endpoint was removed. Such attempts put
	// no load on the server, so they are limited less strictly.
	removedEndpointFactor = 4
)

// outcomeOf maps a failure to its effect on the endpoint's health.
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
			// The server refused the request because too little time was left.
			return router.Neutral
		}
		return router.Unreachable
	default:
		return router.Failed
	}
}

// attemptFailed retries or refuses the request after an attempt failed. The
// attempt has ended or was cancelled.
func (s *shard) attemptFailed(a *attempt, ran result.Ran, reason string, section *criticalSection) {
	e := a.entry
	if e.attempt != a || e.phase != phaseRunning {
		s.attemptFailedLate(a, ran)
		s.dispatch(e.group, section)
		return
	}
	e.attempt = nil
	e.ran = max(e.ran, ran)
	e.avoid = a.reservation.Endpoint.Server
	e.stream.outOfOrder = nil
	if refusal := s.retryRefusal(e, ran, reason, section.now); refusal != nil {
		s.abort(e, *refusal, section)
		s.dispatch(e.group, section)
		return
	}
	s.scheduleRetry(a, reason, section)
	s.dispatch(e.group, section)
}

// attemptFailedLate handles the failure of an attempt that the request no longer
// waits for: if it proves that a non-repeatable request never ran, its key is
// released.
func (s *shard) attemptFailedLate(a *attempt, ran result.Ran) {
	e := a.entry
	e.ran = max(e.ran, ran)
	if e.phase == phaseFinal && e.attempt == a {
		e.attempt = nil
		s.releaseClaim(e)
	}
}

// retryRefusal returns the final refusal after a failed attempt; nil if the
// request may be retried.
func (s *shard) retryRefusal(e *entry, ran result.Ran, reason string, now time.Time) *result.Refusal {
	if !e.repeatable() && ran != result.RanNo {
		return e.nonRepeatableRefusal(ran, reason)
	}
	limits := s.gateway.config.Limits
	if endpointRemoved(reason) && e.attempts < limits.Attempts*removedEndpointFactor {
		return nil
	}
	if e.attempts >= limits.Attempts {
		return s.attemptsExhausted(e, reason, now)
	}
	if !s.takeRetry(e.group) {
		refusal := refusalf(result.RetryBudgetSpent, "the attempt failed (%s) and the budget for retries is spent", reason)
		refusal.RetryAfter = s.retryAfter(e, now)
		return refusal
	}
	return nil
}

// endpointRemoved reports whether the reason means that the endpoint no longer
// serves the model or its server is shutting down.
func endpointRemoved(reason string) bool { return reason == reasonNotLoaded || reason == reasonLeaving }

// nonRepeatableRefusal returns the refusal of a non-repeatable request whose failed
// attempt may have run.
func (e *entry) nonRepeatableRefusal(ran result.Ran, reason string) *result.Refusal {
	switch {
	case ran == result.RanUnknown:
		return refusalf(result.OutcomeUnknown, "the attempt ended without an answer (%s)", reason)
	case e.stream.next > 0:
		return refusalf(result.StreamBroken, "the stream broke off (%s)", reason)
	default:
		return refusalf(result.BackEndFailed, "the back end failed (%s)", reason)
	}
}

// attemptsExhausted returns the refusal after the last allowed attempt failed.
func (s *shard) attemptsExhausted(e *entry, reason string, now time.Time) *result.Refusal {
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
		g.budget.refund()
		return false
	}
	return true
}

// scheduleRetry schedules the request's return to the queue after a jittered
// backoff, and reports an endpoint that was removed to the directory.
func (s *shard) scheduleRetry(a *attempt, reason string, section *criticalSection) {
	e := a.entry
	event := e.event(section, EventRetried)
	a.annotate(event)
	event.Reason = reason
	s.counts.retried++
	if endpointRemoved(reason) {
		section.rejects = append(section.rejects, a.rejection(reason == reasonLeaving))
	}
	e.phase = phaseBackingOff
	e.backOff = timerItem{kind: timerBackOff, entry: e}
	left := e.refuseAt.Sub(section.now)
	s.schedule(&e.backOff, section.now.Add(min(s.retryDelay(e.attempts), left/2)))
}

// retryDelay returns a random backoff up to a bound that doubles with each attempt.
func (s *shard) retryDelay(attempts int) time.Duration {
	bound := min(initialBackOff<<min(attempts-1, 10), maxBackOff)
	return time.Duration(s.random.Int64N(int64(bound)) + 1)
}

// requeue returns a request to the queue after its backoff. A stream that has
// begun must continue with the version that it began with.
func (s *shard) requeue(e *entry, section *criticalSection) {
	if e.phase != phaseBackingOff {
		return
	}
	if e.stream.next > 0 {
		e.flow = s.flowFor(e, e.stream.version)
	}
	s.enqueue(e)
	s.dispatch(e.group, section)
}
