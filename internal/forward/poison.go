package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/result"
)

// PoisonGuard detects poison requests, that is, requests that crash servers, and quarantines them.
type PoisonGuard interface {
	// Refused returns the quarantine entry of an identity, if there is one.
	Refused(identity poison.Identity) (poison.Entry, bool)
	// AttemptBroken reports that a server closed the connection of an attempt that began at the
	// time, before its response was complete.
	AttemptBroken(ctx context.Context, identity poison.Identity, server *fleet.Server, began time.Time)
	// ServerCrashed reports a proof that a server's process has ended.
	ServerCrashed(server, proof string)
	// RequestServed reports that an attempt that began at the time got a complete response.
	RequestServed(identity poison.Identity, began time.Time)
}

// TrialGuard is a PoisonGuard that allows a quarantined request to run once where no proof supports
// the quarantine: at one node, while all others go on refusing it.
type TrialGuard interface {
	PoisonGuard
	// Quarantined returns the quarantine entry of an identity, without a trial. Refused may allow
	// a trial: then it returns the entry, and BeginTrial must be called.
	Quarantined(identity poison.Identity) (poison.Entry, bool)
	// BeginTrial waits for the permission to send the request, which must end within the bound.
	// After it succeeds, TrialEnded must be called at the end of the request.
	BeginTrial(ctx context.Context, identity poison.Identity, bound time.Duration) bool
	TrialEnded(identity poison.Identity)
}

var _ TrialGuard = (*poison.Guard)(nil)

// noPoison quarantines nothing.
type noPoison struct{}

func (noPoison) Refused(poison.Identity) (poison.Entry, bool) { return poison.Entry{}, false }

func (noPoison) AttemptBroken(context.Context, poison.Identity, *fleet.Server, time.Time) {}

func (noPoison) ServerCrashed(string, string) {}

func (noPoison) RequestServed(poison.Identity, time.Time) {}

const poisonReason = "servers ended while they ran this request"

// refusePoison refuses a quarantined request. A retry before the quarantine ends, or before the
// next trial, would be refused as well.
func refusePoison(entry poison.Entry, route *fleet.Route) Outcome {
	return Outcome{Code: result.RequestPoisonous, Reason: poisonReason, Route: route.Name, RetryAfter: entry.RetryAfter(time.Now())}
}

// checkPoison refuses a quarantined request, or allows it as the trial of its quarantine. A trial
// ends at the request's deadline at the latest.
func (f *Forwarder) checkPoison(ctx context.Context, request *Request, route *fleet.Route) (trial bool, refusal *Outcome) {
	entry, held := f.poison.Refused(request.Identity)
	guard, hasTrials := f.poison.(TrialGuard)
	switch {
	case held:
	case !hasTrials || entry.Identity.IsZero():
		return false, nil
	case guard.BeginTrial(ctx, request.Identity, time.Until(requestDeadline(request, route))):
		return true, nil
	default:
		// Another node's trial may have been served meanwhile.
		if _, held = guard.Quarantined(request.Identity); !held {
			return false, nil
		}
	}
	outcome := refusePoison(entry, route)
	return false, &outcome
}

// endTrial reports that a trial has ended.
func (f *Forwarder) endTrial(request *Request) {
	if guard, hasTrials := f.poison.(TrialGuard); hasTrials {
		guard.TrialEnded(request.Identity)
	}
}

// quarantined returns the quarantine entry by which a request must not be sent now. A trial may be
// sent until it may have run, or until a proof supports the entry, which then has no rivals.
func (f *Forwarder) quarantined(flow *flow) (poison.Entry, bool) {
	guard, hasTrials := f.poison.(TrialGuard)
	if !hasTrials {
		return f.poison.Refused(flow.request.Identity)
	}
	entry, held := guard.Quarantined(flow.request.Identity)
	return entry, held && !(flow.trial && flow.ran == result.RanNo && len(entry.Rivals) > 0)
}

// refuseNewlyQuarantined ends a request that was quarantined while it was held or between two
// attempts; nil if it may go on.
func (f *Forwarder) refuseNewlyQuarantined(flow *flow) *Outcome {
	entry, held := f.quarantined(flow)
	if !held {
		return nil
	}
	outcome := f.giveUp(flow, poisonReason, result.RequestPoisonous)
	if outcome.Code == result.RequestPoisonous {
		outcome.RetryAfter = entry.RetryAfter(time.Now())
	}
	return outcome
}

// reportCrash reports a failed attempt to the guard if it shows, or may show, that the server
// crashed.
func (f *Forwarder) reportCrash(ctx context.Context, flow *flow, server *fleet.Server, failure *AttemptError) {
	switch {
	case failure.Reason == FailureConnect && errors.Is(failure.Cause, syscall.ECONNREFUSED):
		f.poison.ServerCrashed(server.ID, "refuses connections")
	case failure.Reason == FailureOtherInstance:
		f.poison.ServerCrashed(server.ID, "another instance answers")
	case failure.Reason == FailureBroken && ctx.Err() == nil && closedByServer(failure.Cause):
		f.poison.AttemptBroken(ctx, flow.request.Identity, server, flow.attemptStarted)
	}
}

// reportServed reports a complete response to the guard: the request did not crash the server. If
// a complete response can't be distinguished from a broken one, it reports a closed connection instead.
func (f *Forwarder) reportServed(ctx context.Context, flow *flow, server *fleet.Server, reply *Reply, started time.Time) {
	switch {
	case reply.Unframed:
		f.poison.AttemptBroken(ctx, flow.request.Identity, server, started)
	case reply.Status < minFailureStatus:
		f.poison.RequestServed(flow.request.Identity, started)
	}
}

// closedByServer reports whether the server closed or reset the connection. A time-out doesn't
// count: the network between node and server may be partitioned.
func closedByServer(err error) bool {
	var fromCaller callerError
	if errors.As(err, &fromCaller) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// callerError is a failure to write the response to the caller.
type callerError struct{ error }

// Unwrap returns the cause.
func (e callerError) Unwrap() error { return e.error }
