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

// PoisonGuard keeps requests that end servers away from them.
type PoisonGuard interface {
	// Held returns the entry by which an identity is refused.
	Held(identity poison.Identity) (poison.Entry, bool)
	// Broke notes that a server closed the connection of an attempt before its answer
	// was whole, and when the attempt began.
	Broke(ctx context.Context, identity poison.Identity, server *fleet.Server, began time.Time)
	// Ended notes a proof that a server has ended.
	Ended(server, proof string)
	// Served notes that a server which began at the time answered in full.
	Served(identity poison.Identity, began time.Time)
}

// noPoison refuses nothing.
type noPoison struct{}

func (noPoison) Held(poison.Identity) (poison.Entry, bool) { return poison.Entry{}, false }

func (noPoison) Broke(context.Context, poison.Identity, *fleet.Server, time.Time) {}

func (noPoison) Ended(string, string) {}

func (noPoison) Served(poison.Identity, time.Time) {}

const poisonReason = "servers ended while they ran this request"

// refusePoison refuses a request that all nodes know to end servers. That its caller
// tries again would change nothing, so it is told of the whole time.
func refusePoison(entry poison.Entry, route *fleet.Route) Outcome {
	return Outcome{Code: result.RequestPoisonous, Reason: poisonReason, Route: route.Name, RetryAfter: time.Until(entry.Until)}
}

// refusePoisonAfterAll ends a request that became known to end servers while it was
// held, or between two attempts; nil if it may go on.
func (f *Forwarder) refusePoisonAfterAll(flow *flow) *Outcome {
	entry, held := f.poison.Held(flow.request.Identity)
	if !held {
		return nil
	}
	outcome := f.giveUp(flow, poisonReason, result.RequestPoisonous)
	if outcome.Code == result.RequestPoisonous {
		outcome.RetryAfter = time.Until(entry.Until)
	}
	return outcome
}

// suspect tells the guard what a failed attempt shows of its server.
func (f *Forwarder) suspect(ctx context.Context, flow *flow, server *fleet.Server, failure *AttemptError) {
	switch {
	case failure.Reason == FailureConnect && errors.Is(failure.Cause, syscall.ECONNREFUSED):
		f.poison.Ended(server.ID, "refuses connections")
	case failure.Reason == FailureOtherInstance:
		f.poison.Ended(server.ID, "another instance answers")
	case failure.Reason == FailureBroken && ctx.Err() == nil && closedByServer(failure.Cause):
		f.poison.Broke(ctx, flow.request.Identity, server, flow.attemptBegan)
	}
}

// learnFromWhole tells the guard of an answer that ended in order. A server that lived to
// end it was not ended by the request, unless the end can't be told from a break.
func (f *Forwarder) learnFromWhole(ctx context.Context, flow *flow, server *fleet.Server, reply *Reply, started time.Time) {
	switch {
	case reply.Unframed:
		f.poison.Broke(ctx, flow.request.Identity, server, started)
	case reply.Status < failedStatus:
		f.poison.Served(flow.request.Identity, started)
	}
}

// closedByServer reports whether a connection was closed or reset at the server's end.
// A time-out is none: the way to the server may be cut.
func closedByServer(err error) bool {
	var ofCaller callerError
	if errors.As(err, &ofCaller) {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// callerError is a failure to write to the caller.
type callerError struct{ error }

// Unwrap returns the cause.
func (e callerError) Unwrap() error { return e.error }
