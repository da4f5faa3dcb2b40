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
	AttemptBroken(ctx context.Context, request poison.Request, server *fleet.Server, began time.Time)
	// ServerCrashed reports a proof that a server's process has ended.
	ServerCrashed(server, proof string)
	// RequestServed reports that an attempt that began at the time got a complete response.
	RequestServed(request poison.Request, began time.Time)
}

// noPoison quarantines nothing.
type noPoison struct{}

func (noPoison) Refused(poison.Identity) (poison.Entry, bool) { return poison.Entry{}, false }

func (noPoison) AttemptBroken(context.Context, poison.Request, *fleet.Server, time.Time) {}

func (noPoison) ServerCrashed(string, string) {}

func (noPoison) RequestServed(poison.Request, time.Time) {}

const poisonReason = "servers ended while they ran this request"

// refusePoison refuses a quarantined request. A retry before the quarantine ends would be refused
// as well, so Retry-After is all of its remaining time.
func refusePoison(entry poison.Entry, route *fleet.Route) Outcome {
	return Outcome{Code: result.RequestPoisonous, Reason: poisonReason, Route: route.Name, RetryAfter: time.Until(entry.Until)}
}

// refuseNewlyQuarantined ends a request that was quarantined while it was held or between two
// attempts; nil if it may go on.
func (f *Forwarder) refuseNewlyQuarantined(flow *flow) *Outcome {
	entry, held := f.poison.Refused(flow.request.Identity)
	if !held {
		return nil
	}
	outcome := f.giveUp(flow, poisonReason, result.RequestPoisonous)
	if outcome.Code == result.RequestPoisonous {
		outcome.RetryAfter = time.Until(entry.Until)
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
		f.poison.AttemptBroken(ctx, flow.request.poisonRequest(), server, flow.attemptStarted)
	}
}

// reportServed reports a complete response to the guard: the request did not crash the server. If
// a complete response can't be distinguished from a broken one, it reports a closed connection instead.
func (f *Forwarder) reportServed(ctx context.Context, flow *flow, server *fleet.Server, reply *Reply, started time.Time) {
	switch {
	case reply.Unframed:
		f.poison.AttemptBroken(ctx, flow.request.poisonRequest(), server, started)
	case reply.Status < minFailureStatus:
		f.poison.RequestServed(flow.request.poisonRequest(), started)
	}
}

// poisonRequest returns what crashes of servers are counted by.
func (r *Request) poisonRequest() poison.Request {
	return poison.Request{Identity: r.Identity, Parts: r.SharedParts}
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
