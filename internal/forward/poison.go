package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/result"
)

// PoisonGuard detects poison requests, that is, requests that crash servers, and quarantines them.
type PoisonGuard interface {
	// Admit decides whether a request may run: as any other, as a trial, which must be ended, or
	// not at all.
	Admit(ctx context.Context, request poison.Request, deadline time.Time) (*poison.Trial, *poison.Refusal)
	// EndTrial ends a trial, nil for none; sent reports whether a server may have run the request.
	EndTrial(trial *poison.Trial, sent bool)
	// Refused returns the refusal of a request that was quarantined after it had been admitted.
	Refused(request poison.Request) (poison.Refusal, bool)
	// AttemptBroken reports that a server closed the connection of an attempt that began at the
	// time, before its response was complete.
	AttemptBroken(ctx context.Context, request poison.Request, server *fleet.Server, began time.Time)
	// AnswerUnframed reports that a response has ended which nothing distinguishes from a broken one.
	AnswerUnframed(ctx context.Context, request poison.Request, server *fleet.Server, began time.Time)
	// ServerCrashed reports a proof that a server's process has ended.
	ServerCrashed(server, proof string)
	// RequestServed reports that an attempt that began at the time got a complete response.
	RequestServed(request poison.Request, began time.Time)
}

// noPoison quarantines nothing.
type noPoison struct{}

func (noPoison) Admit(context.Context, poison.Request, time.Time) (*poison.Trial, *poison.Refusal) {
	return nil, nil
}

func (noPoison) EndTrial(*poison.Trial, bool) {}

func (noPoison) Refused(poison.Request) (poison.Refusal, bool) { return poison.Refusal{}, false }

func (noPoison) AnswerUnframed(context.Context, poison.Request, *fleet.Server, time.Time) {}

func (noPoison) AttemptBroken(context.Context, poison.Request, *fleet.Server, time.Time) {}

func (noPoison) ServerCrashed(string, string) {}

func (noPoison) RequestServed(poison.Request, time.Time) {}

// trialUsedReason is that of a request on trial which a server has not answered.
const trialUsedReason = "servers ended while they ran this request, and its trial is over"

// poisonReason is the reason of a refusal.
func poisonReason(refusal poison.Refusal) string {
	if refusal.Part != "" {
		return fmt.Sprintf("servers ended while they ran requests with part %q of this prompt", refusal.Part)
	}
	return "servers ended while they ran this request"
}

// refusePoison refuses a quarantined request. A retry before the quarantine ends would be refused
// as well, so Retry-After is all of its remaining time.
func refusePoison(refusal poison.Refusal, route *fleet.Route) Outcome {
	return Outcome{Code: result.RequestPoisonous, Reason: poisonReason(refusal), Route: route.Name, RetryAfter: refusal.RetryAfter}
}

// refuseNewlyQuarantined ends a request that was quarantined while it was held or between two
// attempts, or whose trial was sent; nil if it may go on.
func (f *Forwarder) refuseNewlyQuarantined(flow *flow) *Outcome {
	if flow.trial != nil && flow.trialSent {
		return f.giveUp(flow, trialUsedReason, result.RequestPoisonous)
	}
	refusal, held := f.poison.Refused(flow.poisonRequest())
	if !held {
		return nil
	}
	outcome := f.giveUp(flow, poisonReason(refusal), result.RequestPoisonous)
	if outcome.Code == result.RequestPoisonous {
		outcome.RetryAfter = refusal.RetryAfter
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
	case failure.Reason == FailureBroken && errors.Is(failure.Cause, errEndUnconfirmed):
		f.poison.AnswerUnframed(ctx, flow.poisonRequest(), server, flow.attemptStarted)
	case failure.Reason == FailureBroken && ctx.Err() == nil && closedByServer(failure.Cause):
		f.poison.AttemptBroken(ctx, flow.poisonRequest(), server, flow.attemptStarted)
	}
}

// reportServed reports a complete response to the guard: the request did not crash the server. A
// server that refuses a request may not have read its prompt, so that clears no part of it.
func (f *Forwarder) reportServed(ctx context.Context, flow *flow, server *fleet.Server, reply *Reply, started time.Time) {
	switch {
	case reply.Unframed:
		f.poison.AnswerUnframed(ctx, flow.poisonRequest(), server, started)
	case reply.Status < minFailureStatus:
		served := flow.poisonRequest()
		if reply.Status >= minRefusalStatus {
			served.Parts, served.Trial = nil, nil
		}
		f.poison.RequestServed(served, started)
	}
}

// poisonRequest returns what crashes of servers are counted by.
func (fl *flow) poisonRequest() poison.Request {
	return poison.Request{Identity: fl.request.Identity, Parts: fl.request.SharedParts, Trial: fl.trial}
}

// minRefusalStatus is the lowest HTTP status of a response without a result.
const minRefusalStatus = 300

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
