package forward

import (
	"context"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	// patienceShare of the time left goes to an attempt that can be repeated.
	patienceShare = 0.45
	// objectiveFactor times the objective is the longest that is waited for an
	// answer which another server could give.
	objectiveFactor = 2.5
	// missingPause is how long a model is not looked for at a server that said
	// that it does not hold it.
	missingPause = 300 * time.Millisecond
	// failedStatus and above are answers of a server that failed.
	failedStatus = 500
)

// errImpatient ends an attempt that took too long while another server can
// still be asked.
var errImpatient = errors.New("no answer in the attempt's share of the time")

// attempt sends the request to the place. It returns nil if the request goes on at
// another server, with the place there if that was taken already.
func (f *Forwarder) attempt(ctx context.Context, flow *flow, place *candidate, responder Responder) (*Outcome, *candidate) {
	if !f.stillTakes(place.server) || f.newlyLimited(place) {
		f.release(flow, place, nil)
		return nil, nil
	}
	flow.sent++
	flow.server = place.server.ID
	flow.newest.Store(place.server)
	flow.tried[place.server.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	change := f.newSwitchover(flow, cancel)
	outcome := f.send(ctx, flow, place, responder, change)
	next := change.end()
	if outcome != nil && next != nil {
		f.release(flow, next, nil)
		next = nil
	}
	return outcome, next
}

// send sends the attempt and passes its answer on. It returns nil if the request
// goes on at another server.
func (f *Forwarder) send(ctx context.Context, flow *flow, place *candidate, responder Responder, change *switchover) *Outcome {
	f.limitPatience(flow, change)
	f.demand.running(flow.key(), 1)
	defer f.demand.running(flow.key(), -1)
	started := time.Now()
	flow.attemptBegan = started
	reply, err := f.backend.Send(ctx, Attempt{
		Request: flow.request, Route: flow.route, Server: place.server,
		Deadline: flow.deadline, ResumeAfter: flow.lastEvent, Priority: flow.priority,
	})
	change.pause()
	if err != nil {
		return f.failed(ctx, flow, place, asAttemptError(err))
	}
	defer reply.Body.Close()
	if flow.firstByte == 0 {
		flow.firstByte = time.Since(flow.request.Accepted)
	}
	f.answered(flow, place, reply, time.Since(started))
	if f.answeredWithFailure(flow, reply) {
		return f.failed(ctx, flow, place, &AttemptError{Reason: FailureStatus, Ran: result.RanYes})
	}
	return f.relay(ctx, flow, place, reply, responder, change, started)
}

// limitPatience ends an attempt early if the request may go to another server.
func (f *Forwarder) limitPatience(flow *flow, change *switchover) {
	if !f.mayRepeat(flow, 1) {
		return
	}
	patience := time.Duration(patienceShare * float64(time.Until(flow.deadline)))
	patience = min(patience, time.Duration(objectiveFactor*float64(flow.route.LatencyObjective)))
	change.after(patience, errImpatient)
}

// mayRepeat reports whether the request may run again after the given number of
// further runs.
func (f *Forwarder) mayRepeat(flow *flow, further int) bool {
	return flow.route.Repeatable() && flow.runs+further < flow.route.MaxAttempts
}

// answeredWithFailure: the server failed and another one may be asked.
func (f *Forwarder) answeredWithFailure(flow *flow, reply *Reply) bool {
	return reply.Status >= failedStatus && (flow.begun || f.mayRepeat(flow, 1))
}

// answered takes over what an answer's head tells.
func (f *Forwarder) answered(flow *flow, place *candidate, reply *Reply, took time.Duration) {
	place.load.mutex.Lock()
	place.load.ownPrefill -= flow.request.PromptTokens
	place.load.reached()
	place.load.tell(reply.Load, time.Now())
	place.load.ended(reply.Status >= failedStatus, time.Now())
	place.load.mutex.Unlock()
	if reply.Status < failedStatus {
		f.tracker.firstByte(flow.pool, place.load, flow.request.PromptTokens, took)
	}
}

// failed decides what comes after an attempt without an answer.
func (f *Forwarder) failed(ctx context.Context, flow *flow, place *candidate, failure *AttemptError) *Outcome {
	impatient := endedByForwarder(ctx)
	if impatient {
		failure = &AttemptError{Reason: FailureTimeout, Ran: failure.Ran, Load: failure.Load, Cause: errImpatient}
	}
	f.release(flow, place, failure)
	f.suspect(ctx, flow, place.server, failure)
	if failure.Ran != result.RanNo {
		flow.runs++
		flow.ran = max(flow.ran, failure.Ran)
	}
	again := f.mayGoOn(flow, failure)
	over := ctx.Err() != nil && !impatient
	f.observe(Observation{Request: flow.request, Server: place.server.ID, Number: flow.sent, Failure: failure, WillRetry: again && !over})
	if over {
		return f.ended(ctx, flow)
	}
	if again {
		return nil
	}
	return f.giveUp(flow, "the attempt failed: "+string(failure.Reason), result.BackEndRefused)
}

// mayGoOn reports whether another server may be tried after the failure.
func (f *Forwarder) mayGoOn(flow *flow, failure *AttemptError) bool {
	const mostAttempts = 6
	if flow.sent >= mostAttempts {
		return false
	}
	return failure.Ran == result.RanNo || f.mayRepeat(flow, 0)
}

// release gives the place back and takes over what the failure tells. A nil
// failure means that the place was not used.
func (f *Forwarder) release(flow *flow, place *candidate, failure *AttemptError) {
	now := time.Now()
	if failure == nil || failure.Reason == FailureConnect {
		// Nothing reached the server.
		f.limits.Return(place.grant)
	}
	load := place.load
	load.mutex.Lock()
	load.own--
	if failure == nil || failure.Reason != FailureStatus {
		load.ownPrefill -= flow.request.PromptTokens
	}
	if failure != nil {
		learn(load, failure, flow, place.server, now)
	}
	load.mutex.Unlock()
	f.tracker.free()
}

func learn(load *serverLoad, failure *AttemptError, flow *flow, server *fleet.Server, now time.Time) {
	load.tell(failure.Load, now)
	switch failure.Reason {
	case FailureConnect:
		load.unreached(now)
	case FailureNotHeld, FailureRefused:
		load.missing[flow.need()] = now.Add(missingPause)
	case FailureOtherInstance:
		// The address belongs to another server now; the listing will tell.
		load.pausedUntil = now.Add(longestPause)
	case FailureFull:
		if !failure.Load.Reported {
			load.tell(Load{Reported: true, Running: overfull * server.Slots}, now)
		}
	case FailureBroken, FailureTimeout:
		load.ended(true, now)
	case FailureBackoff:
		// It is for all requests, and known already.
	case FailureStatus:
		// Counted when the answer's head came.
	}
}
