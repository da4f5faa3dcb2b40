package load

import (
	"bytes"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
)

// outcomeKind is what became of a request.
type outcomeKind uint8

const (
	// outcomeServed: a complete answer came.
	outcomeServed outcomeKind = iota
	// outcomeRefused: a numbered refusal came.
	outcomeRefused
	// outcomeUnanswered: neither came: no connection, a cut-off answer, or
	// nothing within the time limit and some slack.
	outcomeUnanswered
)

// outcome of one request, over all its tries.
type outcome struct {
	kind outcomeKind
	code result.Code
	ran  string
	// mismatched: the answer is not the one to this request.
	mismatched bool
	replayed   bool
	// late: the answer or refusal came after the time limit.
	late       bool
	tries      int
	firstChunk time.Duration
	total      time.Duration
	// reason why a request is unanswered.
	reason string
}

// checkText compares an answer with what the stand-in must have said to the
// request's body.
func checkText(request plannedRequest, answer []byte) bool {
	if request.isGeneration() {
		return string(answer) == engine.ExpectedText(chatPath, request.body)
	}
	return bytes.Equal(answer, backend.ExpectedBody(request.body))
}

// retryElsewhere lists the refusals of a keyed request after which another
// node may have the outcome, or may take the request.
var retryElsewhere = map[result.Code]bool{
	result.OutcomeUnknown:   true,
	result.AlreadyClaimed:   true,
	result.ClaimUnavailable: true,
	result.StreamBroken:     true,
	result.BackEndRefused:   true,
	result.Internal:         true,
}

// wantsRetry reports whether a request should be repeated at another node: any
// request that this one certainly did not take, and a non-repeatable one, with
// the same key, also when its outcome is not known.
func (o outcome) wantsRetry(request plannedRequest) bool {
	notTaken := o.reason == reasonDial || (o.kind == outcomeRefused && (o.code == result.NodeDraining || o.code == result.NodeNotReady))
	if request.key == "" {
		return notTaken
	}
	return notTaken || o.kind == outcomeUnanswered || (o.kind == outcomeRefused && retryElsewhere[o.code])
}
