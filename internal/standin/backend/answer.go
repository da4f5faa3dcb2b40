package backend

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// ContentType of every answer.
const ContentType = "application/json"

// ExpectedBody is the answer to a request with this body. It depends on
// nothing else, so that a caller can check that it received its own answer.
func ExpectedBody(body []byte) []byte {
	return fmt.Appendf(nil, `{"confirmed":"%016x","bytes":%d}`, xxhash.Sum64(body), len(body))
}

// OutcomeKind says how a request ended at the server.
type OutcomeKind uint8

// The kinds of outcome.
const (
	// OutcomeAnswered: the request ran and Response is its answer.
	OutcomeAnswered OutcomeKind = iota
	// OutcomeRefused: the request did not run; Reason says why.
	OutcomeRefused
	// OutcomeLost: the connection broke without an answer.
	OutcomeLost
)

// The reasons of a refusal, as in outside.AttemptError.
const (
	ReasonRefused = "refused"
	ReasonBusy    = "busy"
	ReasonLeaving = "leaving"
)

// Outcome is the end of one request at the server.
type Outcome struct {
	Kind     OutcomeKind
	Response outside.BackEndResponse
	Reason   string
	Load     outside.LoadHint
}

func answerTo(request outside.BackEndRequest, load outside.LoadHint) Outcome {
	response := outside.BackEndResponse{
		Attempt:     request.Attempt,
		Status:      http.StatusOK,
		ContentType: ContentType,
		Body:        ExpectedBody(request.Body),
		Load:        load,
	}
	return Outcome{Kind: OutcomeAnswered, Response: response, Load: load}
}
