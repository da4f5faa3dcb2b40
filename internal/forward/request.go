// Package forward takes requests whose bodies and answers are opaque to the
// servers that can run them. For each request it chooses a server, holds the
// request or refuses it, sends it, sends it again where that is allowed, and
// gives it one final answer.
//
// A request walks through the files: request, forwarder (the loop), admission
// (hold or refuse), choose (filter, score, pick), attempt, relay.
package forward

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

// PromptPart is a piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one attempt of a caller.
type Request struct {
	// ID appears in all log lines and at the server.
	ID string
	// Identity is the same for each try of one request.
	Identity poison.Identity
	Host     string
	Path     string
	// Model and Adapter are empty for requests that need none.
	Model   string
	Adapter string
	// PromptTokens and AnswerTokens (at most) as the caller tells.
	PromptTokens int
	AnswerTokens int
	Prompt       []PromptPart
	// Key is the digest of the caller's key; nil without one.
	Key *auth.Digest
	// Tenant that the key belongs to, set by the Forwarder; nil if there is none.
	Tenant *tenants.Tenant
	// quota is what the tenant's limit said.
	quota ratelimit.Verdict
	// Accepted is when the request's head was read, Deadline when its caller
	// stops waiting.
	Accepted time.Time
	Deadline time.Time
	// ResumeAfter is the ID of the last event that the caller has.
	ResumeAfter string
	// Opaque belongs to the binding that made the request.
	Opaque any
}

// Attempt is one sending of a request to a server.
type Attempt struct {
	Request *Request
	Route   *fleet.Route
	Server  *fleet.Server
	// Deadline after which nobody waits for the answer.
	Deadline time.Time
	// ResumeAfter is the ID of the last event that was passed on.
	ResumeAfter string
	// Priority at the server; 0 is the most urgent.
	Priority int
}

// Load is what a server tells of itself with an answer.
type Load struct {
	Reported                bool
	Running, Waiting, Slots int
}

// Reply is the beginning of a server's answer.
type Reply struct {
	Status int
	// Events: the body is a stream of events.
	Events bool
	// Body ends with io.EOF only if the answer is whole, as far as that can be told.
	Body io.ReadCloser
	Load Load
	// Unframed: nothing but the connection's end tells where the answer ends, so that one
	// whose server ended looks whole.
	Unframed bool
	// Opaque belongs to the binding that made the reply.
	Opaque any
}

// FailureReason says why an attempt brought no answer.
type FailureReason string

// The reasons.
const (
	// FailureConnect: no connection came up; nothing was sent.
	FailureConnect FailureReason = "connect"
	// FailureFull: the server had no place.
	FailureFull FailureReason = "full"
	// FailureNotHeld: the server says that it does not hold the model.
	FailureNotHeld FailureReason = "not_held"
	// FailureRefused: the server did not run the request although it has room, and
	// did not say why. It may be changing what the request needs.
	FailureRefused FailureReason = "refused"
	// FailureBackoff: the server did not run the request, and told how long it wants
	// nothing from this node.
	FailureBackoff FailureReason = "backoff"
	// FailureOtherInstance: another incarnation has the address.
	FailureOtherInstance FailureReason = "other_instance"
	// FailureBroken: the connection broke, or the bytes were no answer.
	FailureBroken FailureReason = "broken"
	// FailureTimeout: no answer came in the time that was given to it.
	FailureTimeout FailureReason = "timeout"
	// FailureStatus: the server answered that it failed.
	FailureStatus FailureReason = "status"
)

// AttemptError is the failure of an attempt.
type AttemptError struct {
	Reason FailureReason
	// Ran is RanNo only with proof.
	Ran  result.Ran
	Load Load
	// Cause may be nil.
	Cause error
}

// Error implements error.
func (e *AttemptError) Error() string {
	text := "attempt failed: " + string(e.Reason) + " (ran: " + e.Ran.String() + ")"
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// asAttemptError treats an error of another kind as a broken connection.
func asAttemptError(err error) *AttemptError {
	var failure *AttemptError
	if errors.As(err, &failure) {
		return failure
	}
	return &AttemptError{Reason: FailureBroken, Ran: result.RanUnknown, Cause: err}
}

// Backend sends attempts to servers.
type Backend interface {
	// Send returns when the answer's head was read. Its error is an
	// *AttemptError. When ctx ends, the server is told by a closed connection.
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
}

// Responder passes a server's answer to the caller.
type Responder interface {
	// Begin sends the head. It is called at most once.
	Begin(reply *Reply)
	// Write sends a part of the body at once.
	Write(part []byte) error
}

// Outcome is how a request ended.
type Outcome struct {
	Code result.Code
	// Status of the server's answer, if one was passed on.
	Status int
	// HeadSent: the head of an answer was passed on.
	HeadSent bool
	// Broken: the answer that was begun is not whole, and must not look so.
	Broken bool
	Ran    result.Ran
	// RetryAfter is when a refused request may come again; zero: not told.
	RetryAfter time.Duration
	Attempts   int
	Server     string
	Route      string
	Pool       string
	// Reason explains a refusal or failure.
	Reason string
	// Held is how long the request waited before it was first sent.
	Held time.Duration
	// FirstByte is the time from acceptance to the answer's head.
	FirstByte time.Duration
	// Cold: no server held what the request needs when it came.
	Cold bool
	// ClientRetry: the caller was probably refused before.
	ClientRetry bool
	// Late says how the answer missed its objectives.
	Late Lateness
	// LongestGap between two events of the answer.
	LongestGap time.Duration
	Decision   Decision
}

// Decision is what the last decision about a request rested on.
type Decision struct {
	// Configuration is the revision of the operators' configuration.
	Configuration int64
	// Eligible servers hold what the request needs; Candidates of them could be sent
	// the request.
	Eligible, Candidates int
	// Load of the chosen server, and how old its own word of it was; no age means
	// that only this node's requests were counted.
	Load    int
	LoadAge time.Duration
	// Score of the chosen server: the expected time to an answer, with penalties.
	Score time.Duration
	// QueueWait is the shortest wait for a slot at a server that holds what the
	// request needs.
	QueueWait time.Duration
	// Delay until some server can take the request, where none could.
	Delay time.Duration
}
