package gateway

import (
	"errors"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// responded is the completion callback of a call to a back end.
func (a *attempt) responded(response outside.BackEndResponse, err error) {
	s := a.entry.shard
	section := s.lock()
	if !a.ended {
		s.backEndEnded(a, response, err, section)
	}
	s.unlock(section)
}

// backEndEnded handles the response or failure of a call to a back end. A response
// is recorded even if the request was refused meanwhile.
func (s *shard) backEndEnded(a *attempt, response outside.BackEndResponse, err error, section *criticalSection) {
	failure := a.failureOf(response, err)
	if failure != nil {
		s.finishAttempt(a, outcomeOf(failure), &failure.Load, section)
		s.attemptFailed(a, failure.Ran, failure.Reason, section)
		return
	}
	e := a.entry
	current := a.current()
	s.finishAttempt(a, router.Succeeded, &response.Load, section)
	if e.claim.held {
		s.recordResponse(e, response)
	}
	if current {
		s.finish(e, Answer{Response: response, Server: a.reservation.Endpoint.Server}, section)
	}
	s.dispatch(e.group, section)
}

// failureOf returns the failure of a call; nil if it was answered. A response to
// another attempt counts as a failure that leaves open whether this one ran.
func (a *attempt) failureOf(response outside.BackEndResponse, err error) *outside.AttemptError {
	var failure *outside.AttemptError
	switch {
	case err == nil && response.Attempt == a.id:
		return nil
	case errors.As(err, &failure) && failure.Attempt == a.id:
		return failure
	default:
		return &outside.AttemptError{Attempt: a.id, Ran: result.RanUnknown, Reason: reasonFailed}
	}
}
