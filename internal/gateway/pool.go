package gateway

import (
	"errors"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// responded is the done callback of a call to a back end.
func (a *attempt) responded(response outside.BackEndResponse, err error) {
	s := a.entry.shard
	turn := s.begin()
	if !a.ended {
		s.backEndEnded(a, response, err, turn)
	}
	s.end(turn)
}

func (s *shard) backEndEnded(a *attempt, response outside.BackEndResponse, err error, turn *turn) {
	failure := a.failureOf(response, err)
	if failure != nil {
		s.settle(a, outcomeOf(failure), &failure.Load, turn)
		s.failed(a, failure.Ran, failure.Reason, turn)
		return
	}
	e := a.entry
	current := a.current()
	s.settle(a, router.Succeeded, &response.Load, turn)
	if e.claim.held {
		s.recordResponse(e, response)
	}
	if current {
		s.finish(e, Answer{Response: response, Server: a.place.Endpoint.Server}, turn)
	}
	s.dispatch(e.group, turn)
}

// failureOf returns the failure of a call; nil if it was answered. A response
// to another attempt is no answer, and says nothing about this one.
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
