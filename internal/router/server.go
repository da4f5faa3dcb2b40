package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// probePollPeriod is how long a group waits before it checks a server again that another
// group is probing. Groups are not notified when another group's probe ends.
const probePollPeriod = 50 * time.Millisecond

// serverStates holds the circuit breakers of servers, which all groups share, so that an
// unreachable server that serves many models has to be detected only once. Lock order: a
// shard's lock is taken before this one or that of a serverState, never after.
type serverStates struct {
	mutex sync.Mutex
	byID  map[outside.ServerID]*serverState
}

// serverState is the health of one server.
type serverState struct {
	id outside.ServerID
	// targetCount is the number of targets on the server; serverStates.mutex guards it.
	targetCount int
	// hasFailures is set from a failure until the next response, so that the mutex is not
	// taken for healthy servers.
	hasFailures atomic.Bool

	mutex   sync.Mutex
	breaker breaker
}

// acquire returns a server's state and counts one more target that uses it.
func (s *serverStates) acquire(id outside.ServerID) *serverState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.byID[id]
	if state == nil {
		state = &serverState{id: id}
		s.byID[id] = state
	}
	state.targetCount++
	return state
}

// release counts one target fewer, and deletes the server's state with the last one.
func (s *serverStates) release(state *serverState) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state.targetCount--
	if state.targetCount == 0 {
		delete(s.byID, state.id)
	}
}

// allows reports whether the breaker lets a request through to the server, and if not, when
// to check again.
func (s *serverState) allows(now time.Time) (allowed bool, retryAt time.Time) {
	if !s.hasFailures.Load() {
		return true, time.Time{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.breaker.allows(now) {
		return true, time.Time{}
	}
	if s.breaker.probing {
		return false, now.Add(probePollPeriod)
	}
	return false, s.breaker.openUntil
}

// recordRequest records that a request is sent. If the breaker is half-open, the request is
// its probe.
func (s *serverState) recordRequest() {
	if !s.hasFailures.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.breaker.recordRequest()
}

// recordResponse closes the breaker after a response from the server.
func (s *serverState) recordResponse() {
	if !s.hasFailures.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.breaker.recordSuccess()
	s.hasFailures.Store(false)
}

// recordOutcome updates the breaker with an attempt's outcome.
func (s *serverState) recordOutcome(outcome Outcome, now time.Time, random *rand.Rand) {
	switch outcome {
	case Succeeded, Busy:
		s.recordResponse()
	case Unreachable:
		s.recordUnreachable(now, random)
	case Failed, Neutral:
		s.recordInconclusive(outcome, now, random)
	}
}

// recordUnreachable counts a failure of the server.
func (s *serverState) recordUnreachable(now time.Time, random *rand.Rand) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.hasFailures.Store(true)
	s.breaker.recordFailure(now, random)
}

// recordInconclusive handles an outcome that doesn't show whether the server is reachable. It
// only ends a probe. A failed probe reopens the breaker, because it doesn't prove that the
// server works; after a neutral one, another request may probe.
func (s *serverState) recordInconclusive(outcome Outcome, now time.Time, random *rand.Rand) {
	if !s.hasFailures.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if outcome == Failed && s.breaker.probing {
		s.breaker.recordFailure(now, random)
		return
	}
	s.breaker.probing = false
}
