package forward

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// minFailureStatus is the lowest HTTP status that counts as a failure of the server.
const minFailureStatus = 500

// errAttemptTimeout cancels an attempt that exceeded its time limit while another server
// can take the request.
var errAttemptTimeout = errors.New("no response within the attempt's time limit")

// attempt sends the request to the target. It returns a nil outcome if the request goes on
// at another server, together with that server if it is reserved already.
func (f *Forwarder) attempt(ctx context.Context, flow *flow, target *candidate, responder Responder) (*Outcome, *candidate) {
	f.updateOutdated(ctx, flow, target.server)
	if ctx.Err() != nil {
		f.release(flow, target, nil)
		return f.cancellationOutcome(ctx, flow), nil
	}
	if !f.stillAccepts(target.server) || f.newlyLimited(target) || !f.hasVersion(target.server) {
		f.release(flow, target, nil)
		return nil, nil
	}
	flow.attempts++
	flow.maySend = false
	flow.server = target.server.ID
	flow.latestServer.Store(target.server)
	flow.tried[target.server.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sw := f.newSwitchover(flow, cancel)
	outcome := f.send(ctx, flow, target, responder, sw)
	next := sw.end()
	flow.maySend = flow.maySend || next != nil
	if next != nil && (outcome != nil || !continuesStream(flow, next.server, nil, time.Now())) {
		f.release(flow, next, nil)
		next = nil
	}
	return outcome, next
}

// send sends the attempt and relays the response. It returns nil if the request goes on at
// another server.
func (f *Forwarder) send(ctx context.Context, flow *flow, target *candidate, responder Responder, sw *switchover) *Outcome {
	f.limitAttemptTime(flow, sw)
	f.demand.addRunning(flow.demandKey(), 1)
	defer f.demand.addRunning(flow.demandKey(), -1)
	started := time.Now()
	flow.attemptStarted = started
	reply, err := f.backend.Send(ctx, Attempt{
		Request: flow.request, Route: flow.route, Server: target.server,
		Deadline: flow.deadline, ResumeAfter: cmp.Or(flow.stream.last, flow.request.ResumeAfter), Priority: flow.priority,
	})
	sw.pause()
	if err != nil {
		failure := asAttemptError(err)
		flow.trialSent = failure.Reason != FailureConnect
		return f.handleFailure(ctx, flow, target, failure)
	}
	flow.trialSent = true
	defer reply.Body.Close()
	// Nothing is declared of the bodies of failures, and nothing continues one.
	reply.Events = reply.Events && isSuccess(reply)
	f.verifyEnd(ctx, flow, target, reply)
	if flow.firstByte == 0 {
		flow.firstByte = time.Since(flow.request.Accepted)
	}
	f.recordResponse(flow, target, reply, time.Since(started))
	if err := checkHead(flow.route, reply); err != nil {
		return f.handleBrokenResponse(ctx, flow, target, err)
	}
	if f.isRetryableFailure(flow, reply) {
		return f.handleFailure(ctx, flow, target, &AttemptError{Reason: FailureStatus, Ran: result.RanYes})
	}
	if reply.ReadsAsNotRun && !flow.route.Repeatable() {
		return f.handleFailure(ctx, flow, target, &AttemptError{Reason: FailureStatus, Ran: result.RanUnknown})
	}
	return f.relay(ctx, flow, target, reply, responder, sw, started)
}

// checkHead reports a response that is no answer of the route.
func checkHead(route *fleet.Route, reply *Reply) error {
	if reply.Invalid != nil {
		return invalidResponse{reply.Invalid}
	}
	if route.Kind == fleet.KindStream && lacksStream(reply) {
		return errNoStream
	}
	return nil
}

// invalidResponse breaks a response that is no answer of a server.
type invalidResponse struct{ error }

// Unwrap returns the cause.
func (e invalidResponse) Unwrap() error { return e.error }

// limitAttemptTime sets the time limit of an attempt if the request may run again at
// another server.
func (f *Forwarder) limitAttemptTime(flow *flow, sw *switchover) {
	if f.mayRepeat(flow, 1) {
		sw.after(flow.attemptShare(time.Now()), errAttemptTimeout)
	}
}

// attemptShare is how long the current attempt may leave the caller without a response, or without the next event
// of it, before another server takes the request over: the caller's time is divided evenly among the attempts
// that the route still allows.
func (fl *flow) attemptShare(now time.Time) time.Duration {
	attempts := max(fl.route.MaxAttempts-fl.runs, 1)
	return max(fl.respondBy().Sub(now), 0) / time.Duration(attempts)
}

// mayRepeat reports whether the request may run again after the given number of
// further runs.
func (f *Forwarder) mayRepeat(flow *flow, further int) bool {
	return flow.route.Repeatable() && flow.runs+further < flow.route.MaxAttempts
}

// isRetryableFailure reports whether the server's response is not passed on, because another server may
// run the request, or because it does not continue the one that was begun.
func (f *Forwarder) isRetryableFailure(flow *flow, reply *Reply) bool {
	return !flow.continues(reply) || reply.Status >= minFailureStatus && f.mayRepeat(flow, 1)
}

// recordResponse updates the server's load from a response head that took so long, and its failure rate if the head
// tells a failure. Otherwise the response counts once a part of its body is accepted.
func (f *Forwarder) recordResponse(flow *flow, target *candidate, reply *Reply, took time.Duration) {
	target.load.mutex.Lock()
	target.load.ownPrefill -= flow.request.PromptTokens
	target.load.recordReachable()
	if target.load.adoptIncarnation(target.server.Incarnation()) {
		target.load.speed = target.load.speed.with(reply.Load.Slowdown, time.Now())
	}
	target.load.setReported(reply.Load, time.Now())
	if reply.Status >= minFailureStatus {
		target.load.recordResult(true, time.Now())
	}
	target.load.mutex.Unlock()
	f.recordAnswer(target, reply.Load, time.Now())
	flow.onAccepted = f.acceptanceRecorder(flow, target, reply, took)
}

// acceptanceRecorder returns what is called when a part of the body is accepted, for the first time or again: the
// response counts as the server's success, and the time until the head of a result as the server's speed. Garbage and
// refusals come soon.
func (f *Forwarder) acceptanceRecorder(flow *flow, target *candidate, reply *Reply, took time.Duration) func() {
	return sync.OnceFunc(func() {
		if reply.Status >= minFailureStatus {
			return
		}
		target.load.mutex.Lock()
		target.load.recordResult(false, time.Now())
		target.load.mutex.Unlock()
		if isSuccess(reply) {
			f.tracker.recordFirstByte(flow.pool, target.load, flow.request.PromptTokens, took)
		}
	})
}

// handleFailure decides what follows an attempt without a response to pass on: nil to try
// another server, otherwise the request's outcome.
func (f *Forwarder) handleFailure(ctx context.Context, flow *flow, target *candidate, failure *AttemptError) *Outcome {
	switchedOver := cancelledForSwitchover(ctx)
	if switchedOver {
		failure = &AttemptError{Reason: FailureTimeout, Ran: failure.Ran, Load: failure.Load, Cause: errAttemptTimeout}
	}
	f.release(flow, target, failure)
	f.recordFailedAttempt(ctx, target, failure, time.Now())
	f.reportCrash(ctx, flow, target.server, failure)
	if failure.Ran != result.RanNo {
		flow.runs++
		flow.ran = max(flow.ran, failure.Ran)
	}
	flow.maySend = failure.Reason == FailureConnect
	willRetry := f.mayTryAnother(flow, failure)
	cancelled := ctx.Err() != nil && !switchedOver
	f.observe(Observation{Request: flow.request, Server: target.server.ID, Number: flow.attempts, Failure: failure, WillRetry: willRetry && !cancelled})
	if cancelled {
		return f.cancellationOutcome(ctx, flow)
	}
	if willRetry {
		return nil
	}
	return f.giveUp(flow, "the attempt failed: "+string(failure.Reason), result.BackEndRefused)
}

// mayTryAnother reports whether another server may be tried after the failure.
func (f *Forwarder) mayTryAnother(flow *flow, failure *AttemptError) bool {
	const maxAttempts = 6
	if flow.attempts >= maxAttempts {
		return false
	}
	return failure.Ran == result.RanNo || f.mayRepeat(flow, 0)
}

// release gives the reserved capacity back and records the failure. A nil failure means
// that nothing was sent.
func (f *Forwarder) release(flow *flow, target *candidate, failure *AttemptError) {
	now := time.Now()
	if failure == nil || failure.Reason == FailureConnect {
		// Nothing reached the server, so its rate-limit slot is given back.
		f.limits.Return(target.grant)
	}
	load := target.load
	load.mutex.Lock()
	load.changeOwn(-1, now)
	if failure == nil || failure.Reason != FailureStatus {
		load.ownPrefill -= flow.request.PromptTokens
	}
	if failure != nil {
		recordFailure(load, failure, flow, target.server, now)
	}
	load.mutex.Unlock()
	f.tracker.notifyFreed()
}

// recordFailure updates the server's load, pauses and failure rate after a failed attempt.
// The load's lock must be held.
func recordFailure(load *serverLoad, failure *AttemptError, flow *flow, server *fleet.Server, now time.Time) {
	load.setReported(failure.Load, now)
	switch failure.Reason {
	case FailureConnect:
		load.recordUnreachable(now)
	case FailureNotHeld:
		load.notHeld[flow.modelAndAdapter()] = rejection{at: now}
	case FailureRefused:
		key := flow.modelAndAdapter()
		load.notHeld[key] = load.notHeld[key].add(sizeOf(flow.request), notHeldTTL, now)
	case FailureOtherInstance:
		// Another incarnation has the address now. The view drops this one once its record
		// is replaced.
		load.pausedUntil = now.Add(maxPause)
	case FailureFull:
		if !failure.Load.explainsFull() {
			load.markFull(flow.request, server, now)
		}
	case FailureBroken, FailureTimeout:
		load.recordResult(true, now)
	case FailureBackoff:
		// The backoff applies to all requests and is kept by Backoffs.
	case FailureStatus:
		// It was counted by the response's head or body.
	}
}
