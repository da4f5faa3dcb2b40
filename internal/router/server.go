package router

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// probeWait is when a server under probe by another group is looked at again:
// no group is told of the end of another's probe.
const probeWait = 50 * time.Millisecond

// servers holds the circuit breakers of servers, which all groups share: a dead
// server with many models is found once. Its lock and those of the servers are
// taken under a shard's lock, never the other way round.
type servers struct {
	mutex sync.Mutex
	byID  map[outside.ServerID]*server
}

// server is the health of one server.
type server struct {
	id outside.ServerID
	// users is the number of targets on the server, under servers.mutex.
	users int
	// troubled is set while failures count, so that a healthy server costs no
	// lock.
	troubled atomic.Bool

	mutex   sync.Mutex
	breaker breaker
}

// use returns a server's state for one more target.
func (s *servers) use(id outside.ServerID) *server {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.byID[id]
	if known == nil {
		known = &server{id: id}
		s.byID[id] = known
	}
	known.users++
	return known
}

// leave forgets a server when its last target is forgotten.
func (s *servers) leave(left *server) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	left.users--
	if left.users == 0 {
		delete(s.byID, left.id)
	}
}

// allows reports whether the server may be called, and if not, when to look
// again.
func (s *server) allows(now time.Time) (allowed bool, retryAt time.Time) {
	if !s.troubled.Load() {
		return true, time.Time{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.breaker.allows(now) {
		return true, time.Time{}
	}
	if s.breaker.probing {
		return false, now.Add(probeWait)
	}
	return false, s.breaker.openUntil
}

// begin notes a request.
func (s *server) begin() {
	if !s.troubled.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.breaker.begin()
}

// answered closes the breaker: the server lives.
func (s *server) answered() {
	if !s.troubled.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.breaker.succeed()
	s.troubled.Store(false)
}

// settle learns from an attempt's outcome.
func (s *server) settle(outcome Outcome, now time.Time, random *rand.Rand) {
	switch outcome {
	case Succeeded, Busy:
		s.answered()
	case Unreachable:
		s.unreachable(now, random)
	case Failed, Neutral:
		s.undecided(outcome, now, random)
	}
}

func (s *server) unreachable(now time.Time, random *rand.Rand) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.troubled.Store(true)
	s.breaker.fail(now, random)
}

// undecided handles an outcome that says nothing certain about the server: a
// probe that failed is no proof that it lives.
func (s *server) undecided(outcome Outcome, now time.Time, random *rand.Rand) {
	if !s.troubled.Load() {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if outcome == Failed && s.breaker.probing {
		s.breaker.fail(now, random)
		return
	}
	s.breaker.probing = false
}
