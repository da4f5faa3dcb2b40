package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// The reasons of an AttemptError that this package finds itself.
const (
	reasonConnection = "connection"
	reasonTimeout    = "timeout"
	reasonTruncated  = "truncated"
	reasonFailed     = "failed"
	reasonCancelled  = "cancelled"
)

// maxProblemBytes limits a problem document.
const maxProblemBytes = 16 << 10

var errTooLarge = errors.New("body too large")

// attempt is one HTTP request that must not be repeated.
type attempt struct {
	id outside.AttemptID
}

// newRequest builds the attempt's request.
func (a *attempt) newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	setHeader(request.Header, HeaderAttempt, string(a.id))
	return request, nil
}

// unsent is the failure of an attempt for which no request was made.
func (a *attempt) unsent(reason string) *outside.AttemptError {
	return &outside.AttemptError{Attempt: a.id, Ran: result.RanNo, Reason: reason}
}

// failed is the failure of an attempt after its request was sent.
func (a *attempt) failed(reason string) *outside.AttemptError {
	return &outside.AttemptError{Attempt: a.id, Ran: result.RanUnknown, Reason: reason}
}

// noResponse is the failure of an attempt that got no response.
func (a *attempt) noResponse(ctx context.Context, err error) *outside.AttemptError {
	failure := a.failed(reasonOf(ctx, reasonConnection))
	if errors.Is(err, exchange.ErrNotSent) {
		failure.Ran = result.RanNo
	}
	return failure
}

// unsuccessful is the failure of an attempt whose response has an error status.
func (a *attempt) unsuccessful(response *http.Response) *outside.AttemptError {
	problem, isProblem := readProblem(response)
	if !isProblem {
		return a.failed(reasonFailed)
	}
	return a.ofProblem(problem)
}

func (a *attempt) ofProblem(problem Problem) *outside.AttemptError {
	return &outside.AttemptError{
		Attempt: a.id, Ran: ranOf(problem.Ran), Reason: problem.Reason, Load: problem.Load,
	}
}

// matches reports whether the response may belong to the attempt: it names no
// attempt or this one.
func (a *attempt) matches(response *http.Response) bool {
	named := response.Header.Get(HeaderAttempt)
	return named == "" || named == string(a.id)
}

// ranOf reads a word; anything but "no" and "yes" is unknown.
func ranOf(word string) result.Ran {
	switch word {
	case result.RanNo.String():
		return result.RanNo
	case result.RanYes.String():
		return result.RanYes
	default:
		return result.RanUnknown
	}
}

// reasonOf explains a failure by the context if that has ended.
func reasonOf(ctx context.Context, otherwise string) string {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return otherwise
	case errors.Is(cause, context.DeadlineExceeded), errors.Is(cause, errIdleStream):
		return reasonTimeout
	default:
		return reasonCancelled
	}
}

// readProblem reads a complete problem document.
func readProblem(response *http.Response) (Problem, bool) {
	media, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || media != MediaProblem {
		return Problem{}, false
	}
	body, err := readLimited(response.Body, maxProblemBytes)
	if err != nil {
		return Problem{}, false
	}
	problem := Problem{}
	if json.Unmarshal(body, &problem) != nil {
		return Problem{}, false
	}
	return problem, true
}

// readLimited reads all of a body that is not larger than the limit.
func readLimited(body io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errTooLarge
	}
	return content, nil
}

func setHeader(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// loadOf reads the load headers; what is missing or unreadable is zero.
func loadOf(header http.Header) outside.LoadHint {
	running, _ := strconv.Atoi(header.Get(HeaderLoadRunning))
	queued, _ := strconv.Atoi(header.Get(HeaderLoadQueued))
	leaving, _ := strconv.ParseBool(header.Get(HeaderLoadLeaving))
	return outside.LoadHint{Running: running, Queued: queued, Leaving: leaving}
}

// SetLoad writes the load headers.
func SetLoad(header http.Header, load outside.LoadHint) {
	header.Set(HeaderLoadRunning, strconv.Itoa(load.Running))
	header.Set(HeaderLoadQueued, strconv.Itoa(load.Queued))
	header.Set(HeaderLoadLeaving, strconv.FormatBool(load.Leaving))
}
