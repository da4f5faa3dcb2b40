package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strconv"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// The reasons of an AttemptError that originate in this package; others are received from
// servers.
const (
	reasonConnection = "connection"
	reasonTimeout    = "timeout"
	reasonTruncated  = "truncated"
	reasonFailed     = "failed"
	reasonCancelled  = "cancelled"
)

// maxProblemBytes is the maximum size of a problem document.
const maxProblemBytes = 16 << 10

var errTooLarge = errors.New("body too large")

// attempt is one HTTP request, which must not be sent twice.
type attempt struct {
	id outside.AttemptID
}

// newRequest returns the attempt's HTTP request.
func (a *attempt) newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	setHeader(request.Header, HeaderAttempt, string(a.id))
	return request, nil
}

// notSentFailure returns the error of an attempt whose request was never sent.
func (a *attempt) notSentFailure(reason string) *outside.AttemptError {
	return &outside.AttemptError{Attempt: a.id, Ran: result.RanNo, Reason: reason}
}

// unknownFailure returns the error of an attempt whose request was sent and may have run.
func (a *attempt) unknownFailure(reason string) *outside.AttemptError {
	return &outside.AttemptError{Attempt: a.id, Ran: result.RanUnknown, Reason: reason}
}

// transportFailure returns the error of an attempt that received no response.
func (a *attempt) transportFailure(ctx context.Context, err error) *outside.AttemptError {
	failure := a.unknownFailure(reasonOf(ctx, reasonConnection))
	if errors.Is(err, exchange.ErrNotSent) {
		failure.Ran = result.RanNo
	}
	return failure
}

// statusFailure returns the error of an attempt whose response is a problem document or has
// an error status.
func (a *attempt) statusFailure(response *http.Response) *outside.AttemptError {
	problem, isProblem := readProblem(response)
	if !isProblem {
		return a.unknownFailure(reasonFailed)
	}
	failure := a.problemFailure(problem)
	if failure.Ran == result.RanNo && response.Header.Get(HeaderAttempt) == "" {
		// It may be a surplus response to an earlier attempt on the connection.
		failure.Ran = result.RanUnknown
	}
	return failure
}

// problemFailure returns the error that a problem document describes.
func (a *attempt) problemFailure(problem Problem) *outside.AttemptError {
	return &outside.AttemptError{
		Attempt: a.id, Ran: parseRan(problem.Ran), Reason: problem.Reason, Load: problem.Load,
	}
}

// matches reports whether the response may belong to the attempt: its HeaderAttempt is
// missing or equals the attempt's ID.
func (a *attempt) matches(response *http.Response) bool {
	echoed := response.Header.Get(HeaderAttempt)
	return echoed == "" || echoed == string(a.id)
}

// parseRan parses the ran field of a problem document; any value but "no" and "yes" is
// RanUnknown.
func parseRan(value string) result.Ran {
	switch value {
	case result.RanNo.String():
		return result.RanNo
	case result.RanYes.String():
		return result.RanYes
	default:
		return result.RanUnknown
	}
}

// reasonOf returns the reason of a failure: the fallback unless the context is done.
func reasonOf(ctx context.Context, fallback string) string {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return fallback
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, errIdleStream):
		return reasonTimeout
	default:
		return reasonCancelled
	}
}

// readProblem reads a problem document. It returns false if the response is no complete one.
func readProblem(response *http.Response) (Problem, bool) {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || media != MediaProblem {
		return Problem{}, false
	}
	body, err := readLimited(response, maxProblemBytes)
	if err != nil {
		return Problem{}, false
	}
	problem := Problem{}
	if json.Unmarshal(body, &problem) != nil {
		return Problem{}, false
	}
	return problem, true
}

// readLimited reads a whole body. It returns errTooLarge if the body exceeds limit bytes.
func readLimited(response *http.Response, limit int64) ([]byte, error) {
	content, err := exchange.ReadBody(response, limit)
	if errors.Is(err, exchange.ErrBodyTooLong) {
		return nil, errTooLarge
	}
	return content, err
}

// setHeader sets a header unless the value is empty.
func setHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// loadOf returns the load headers; a missing or invalid one counts as zero.
func loadOf(header http.Header) outside.LoadHint {
	running, _ := strconv.Atoi(header.Get(HeaderLoadRunning))
	queued, _ := strconv.Atoi(header.Get(HeaderLoadQueued))
	leaving, _ := strconv.ParseBool(header.Get(HeaderLoadLeaving))
	return outside.LoadHint{Running: running, Queued: queued, Leaving: leaving}
}

// SetLoad sets the load headers.
func SetLoad(header http.Header, load outside.LoadHint) {
	header.Set(HeaderLoadRunning, strconv.Itoa(load.Running))
	header.Set(HeaderLoadQueued, strconv.Itoa(load.Queued))
	header.Set(HeaderLoadLeaving, strconv.FormatBool(load.Leaving))
}
