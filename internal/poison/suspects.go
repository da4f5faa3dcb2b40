package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// suspectMemory is how long an attempt that a server broke may wait for proof that
	// the server ended: longer than three heartbeats, after which its record goes.
	suspectMemory = 10 * time.Second
	// mostBroken servers are remembered.
	mostBroken = 1024
)

// suspects are this node's attempts that servers broke, by server, while it is open
// whether the servers ended.
type suspects struct {
	mutex   sync.Mutex
	servers map[string]*brokenServer
}

type brokenServer struct {
	at      time.Time
	address string
	// ended: the server is known to have ended. checked: somebody looks whether it has.
	ended, checked bool
	attempts       map[Identity]brokenAttempt
}

// brokenAttempt is when an attempt broke, and how long it had run.
type brokenAttempt struct {
	at      time.Time
	elapsed time.Duration
}

// suspect was under way at a server that ended, for so long.
type suspect struct {
	identity Identity
	elapsed  time.Duration
}

func newSuspects() *suspects { return &suspects{servers: map[string]*brokenServer{}} }

// add notes an attempt that the server broke, and when it began. Check: nobody looks yet whether the
// server has ended. Ended: it is known to have.
func (s *suspects) add(identity Identity, server, address string, began, now time.Time) (check, ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(now)
	broken := s.servers[server]
	if broken == nil {
		broken = &brokenServer{address: address, attempts: map[Identity]brokenAttempt{}}
		s.servers[server] = broken
	}
	broken.at = now
	if broken.ended {
		return false, true
	}
	if len(broken.attempts) < mostSuspects {
		broken.attempts[identity] = brokenAttempt{at: now, elapsed: now.Sub(began)}
	}
	check = !broken.checked
	broken.checked = true
	return check, false
}

// lives notes that the server took a connection at a time when a server that had ended
// before the other time would have been gone. It reports whether attempts broke later,
// so that the server should be looked at again.
func (s *suspects) lives(server string, before time.Time) (again bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	broken := s.servers[server]
	if broken == nil || broken.ended {
		return false
	}
	for identity, attempt := range broken.attempts {
		if !attempt.at.After(before) {
			delete(broken.attempts, identity)
		}
	}
	if len(broken.attempts) == 0 {
		delete(s.servers, server)
		return false
	}
	return true
}

// end notes that a server ended. It returns, once and in order, what was under way there,
// and when the first of it broke.
func (s *suspects) end(server string) (found []suspect, brokeAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	broken := s.servers[server]
	if broken == nil || broken.ended {
		return nil, time.Time{}
	}
	broken.ended = true
	for identity, attempt := range broken.attempts {
		found = append(found, suspect{identity: identity, elapsed: attempt.elapsed})
		if brokeAt.IsZero() || attempt.at.Before(brokeAt) {
			brokeAt = attempt.at
		}
	}
	slices.SortFunc(found, func(a, b suspect) int { return a.identity.compare(b.identity) })
	return found, brokeAt
}

// open returns the servers of which it is not known whether they ended, with their
// addresses.
func (s *suspects) open(now time.Time) map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(now)
	found := map[string]string{}
	for id, broken := range s.servers {
		if !broken.ended {
			found[id] = broken.address
		}
	}
	return found
}

// forget must be called with the lock held.
func (s *suspects) forget(now time.Time) {
	for id, broken := range s.servers {
		if now.Sub(broken.at) > suspectMemory {
			delete(s.servers, id)
		}
	}
	for len(s.servers) > mostBroken {
		dropEarliest(s.servers, func(broken *brokenServer) time.Time { return broken.at })
	}
}
