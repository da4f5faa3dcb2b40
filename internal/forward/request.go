// Package forward routes requests, whose bodies and responses are opaque to it, to
// the servers that can run them. For each request it chooses a server, holds the
// request or refuses it, sends it, retries it where that is allowed, and gives it
// exactly one final answer.
//
// A request passes through these files: request.go, forwarder.go (the loop),
// admission.go (hold or refuse), choose.go (filter), score.go, draw.go (pick),
// attempt.go, relay.go. shared_load.go keeps the loads that other nodes observed.
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

// PromptPart is a part of a prompt that other requests may share: its ID, and its length in
// tokens.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one try of a caller; a retry is another Request with the same Identity.
type Request struct {
	// ID appears in all log lines and is sent to the server.
	ID string
	// Identity is the same for all tries of one request.
	Identity poison.Identity
	// SharedParts are the parts of the prompt that other requests may share: all but the last.
	SharedParts []poison.Part
	Host        string
	Path        string
	// Model and Adapter are empty for requests that need none.
	Model   string
	Adapter string
	// PromptTokens is the length of the prompt, and AnswerTokens the longest possible answer,
	// as the caller declared them.
	PromptTokens int
	AnswerTokens int
	Prompt       []PromptPart
	// Key is the digest of the caller's API key; nil without one.
	Key *auth.Digest
	// Tenant that the key belongs to, set by the Forwarder; nil if there is none.
	Tenant *tenants.Tenant
	// quota is the verdict of the tenant's limit.
	quota ratelimit.Verdict
	// Accepted is the time at which the request's head was read, Deadline the time at which its
	// caller stops waiting.
	Accepted time.Time
	Deadline time.Time
	// ResumeAfter is the ID of the last event that the caller received; empty if it resumes no
	// stream.
	ResumeAfter string
	// Resumes is the ID of the caller's request that brought the first event of the stream that it
	// resumes; empty if it names none.
	Resumes string
	// Opaque is for the protocol binding that made the request.
	Opaque any
}

// Attempt is one transmission of a request to a server.
type Attempt struct {
	Request *Request
	Route   *fleet.Route
	Server  *fleet.Server
	// Deadline after which the response is of no use.
	Deadline time.Time
	// ResumeAfter is the ID of the last event that was passed on; empty at a stream's beginning.
	ResumeAfter string
	// Priority at the server; 0 is the most urgent.
	Priority int
}

// Load is the number of requests and slots that a server reports with a response. Without Reported
// the response had none.
type Load struct {
	Reported                bool
	Running, Waiting, Slots int
	// Slowdown is the current duration of work on the server as a multiple of usual; 0 if not
	// reported.
	Slowdown float64
}

// explainsFull reports whether a server with the load may reject requests as full. One that rejects them with a free
// slot would look idle, and be chosen first each time.
func (l Load) explainsFull() bool { return l.Reported && l.Running+l.Waiting >= l.Slots }

// Reply is a server's response: its head, and its body to be read.
type Reply struct {
	Status int
	// ReadsAsNotRun: callers take the status for a promise that the request has not run, which the
	// server did not prove.
	ReadsAsNotRun bool
	// HeadOnly: the caller asked for the head alone, so that there is no body, of whatever type.
	HeadOnly bool
	// Invalid says why the response is no answer of a server, so that it is not passed on; nil if it may be one.
	Invalid error
	// Events: the body is a stream of server-sent events.
	Events bool
	// Body ends with io.EOF only if the response is complete, as far as that can be known; see
	// Unframed.
	Body io.ReadCloser
	Load Load
	// Unframed: only the end of the connection marks the end of the body, so that the response
	// of a server that crashed looks complete unless the server is probed.
	Unframed bool
	// Until is the time after which what the caller gets of the response is of no use. The Forwarder sets it
	// before Begin.
	Until time.Time
	// Opaque is for the protocol binding that made the reply.
	Opaque any
}

// FailureReason says why an attempt failed.
type FailureReason string

// The reasons.
const (
	// FailureConnect: no connection was established; nothing was sent.
	FailureConnect FailureReason = "connect"
	// FailureFull: the server had no capacity.
	FailureFull FailureReason = "full"
	// FailureNotHeld: the server answered that it does not hold the model.
	FailureNotHeld FailureReason = "not_held"
	// FailureRefused: the server did not run the request although it has capacity, and
	// gave no reason. It may be loading or unloading what the request needs.
	FailureRefused FailureReason = "refused"
	// FailureBackoff: the server did not run the request, and requested a backoff from
	// this node.
	FailureBackoff FailureReason = "backoff"
	// FailureOtherInstance: another incarnation answers at the address.
	FailureOtherInstance FailureReason = "other_instance"
	// FailureBroken: the connection broke, or the bytes were no valid response.
	FailureBroken FailureReason = "broken"
	// FailureMemory: the node had no memory for the part of the response that was not passed on yet.
	FailureMemory FailureReason = "memory_short"
	// FailureTimeout: no response came within the attempt's time limit.
	FailureTimeout FailureReason = "timeout"
	// FailureStatus: the server answered with a status of 500 or above.
	FailureStatus FailureReason = "status"
)

// AttemptError is the failure of an attempt.
type AttemptError struct {
	Reason FailureReason
	// Ran is RanNo only if it is proven that the request did not run.
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
	// Send returns once the response head was read. Its error is an *AttemptError. When
	// ctx ends, the connection is closed, by which the server notices it.
	Send(ctx context.Context, attempt Attempt) (*Reply, error)
}

// Responder passes a server's response to the caller.
type Responder interface {
	// Begin sends the head. It is called at most once.
	Begin(reply *Reply)
	// Write sends a part of the body without buffering it.
	Write(part []byte) error
}

// Outcome is how a request ended.
type Outcome struct {
	Code result.Code
	// Status is the HTTP status of the server's response, if one was passed on.
	Status int
	// HeadSent: the head of a response was passed on.
	HeadSent bool
	// Broken: the response that was begun is incomplete, and must not look complete to the
	// caller.
	Broken bool
	Ran    result.Ran
	// RetryAfter is the time after which a refused request may be retried; zero if it is not
	// known.
	RetryAfter time.Duration
	Attempts   int
	Server     string
	Route      string
	Pool       string
	// Reason explains a refusal or failure, for the caller and the log.
	Reason string
	// Held is the time from acceptance to the first attempt.
	Held time.Duration
	// FirstByte is the time from acceptance to the response head.
	FirstByte time.Duration
	// Cold: no server held what the request needs when it arrived.
	Cold bool
	// Late says which objective the response missed.
	Late Lateness
	// LongestGap is the longest time between two events of the response.
	LongestGap time.Duration
	Decision   Decision
}

// Decision is the state on which the last decision about a request was based.
type Decision struct {
	// Configuration is the revision of the operators' configuration.
	Configuration int64
	// Eligible is the number of servers that hold what the request needs and take new work,
	// Candidates the number of those that could take the request now.
	Eligible, Candidates int
	// Suspected is the number of servers that could take the request but were left out, since
	// another node found them unreachable.
	Suspected int
	// Load is the number of requests at the chosen server, LoadSource where it is from, and
	// LoadAge the age of the server's report; without an age only this node's requests were
	// counted.
	Load       int
	LoadSource LoadSource
	LoadAge    time.Duration
	// Slowdown is the expected duration of the chosen server's work as a multiple of usual; 1 if it
	// reports none.
	Slowdown float64
	// Indirect: the chosen server was reached through another node.
	Indirect bool
	// Arrivals is the number of requests that all nodes send while they know the same loads.
	// From 1 on, the server was drawn; below, it had the lowest score.
	Arrivals float64
	// Score of the chosen server: the expected time to an answer, with penalties.
	Score time.Duration
	// QueueWait is the shortest wait for a slot at a server that holds what the
	// request needs.
	QueueWait time.Duration
	// Delay until some server can take the request, where none could.
	Delay time.Duration
}

// Drawn reports whether the server was drawn, rather than chosen by its score alone.
func (d Decision) Drawn() bool { return d.Arrivals >= 1 }
