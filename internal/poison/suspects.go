package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// suspectRetention is how long a broken attempt may wait for proof that its server crashed:
	// longer than three heartbeats, after which the server's record expires.
	suspectRetention = 10 * time.Second
	// maxSuspectedServers is the number of servers that are kept.
	maxSuspectedServers = 1024
)

// suspects are this node's attempts that servers broke, by server, until it is known whether
// the servers crashed.
type suspects struct {
	mutex   sync.Mutex
	servers map[string]*suspectedServer
}

type suspectedServer struct {
	brokeAt time.Time
	address string
	// crashed: the server is known to have crashed. probing: a probe is under way.
	crashed, probing bool
	attempts         map[Identity]brokenAttempt
}

// brokenAttempt is when an attempt broke, and how long it had run.
type brokenAttempt struct {
	at      time.Time
	elapsed time.Duration
	request Request
	// maybeComplete: the answer may have been complete.
	maybeComplete bool
}

// suspect is a request that was running at a crashed server, and for how long.
type suspect struct {
	Request
	elapsed time.Duration
}

func newSuspects() *suspects { return &suspects{servers: map[string]*suspectedServer{}} }

// add records a broken attempt and when it began. It reports whether the caller shall probe the
// server, since no probe is under way, and whether the server is known to have crashed.
func (s *suspects) add(request Request, server, address string, maybeComplete bool, began, now time.Time) (probe, crashed bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	broken := s.servers[server]
	if broken == nil {
		broken = &suspectedServer{address: address, attempts: map[Identity]brokenAttempt{}}
		s.servers[server] = broken
	}
	broken.brokeAt = now
	if broken.crashed {
		return false, true
	}
	if len(broken.attempts) < maxSuspects {
		broken.attempts[request.Identity] = brokenAttempt{at: now, elapsed: now.Sub(began), request: request, maybeComplete: maybeComplete}
	}
	probe = !broken.probing
	broken.probing = true
	return probe, false
}

// confirmAlive records that the server accepted a connection, late enough that a crash up to
// the given time would have been seen. It returns the attempts that ended before, and
// reports whether attempts broke later, so that the server must be probed again.
func (s *suspects) confirmAlive(server string, before time.Time) (ended []brokenAttempt, again bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	broken := s.servers[server]
	if broken == nil || broken.crashed {
		return nil, false
	}
	for identity, attempt := range broken.attempts {
		if !attempt.at.After(before) {
			delete(broken.attempts, identity)
			ended = append(ended, attempt)
		}
	}
	if len(broken.attempts) == 0 {
		delete(s.servers, server)
		return ended, false
	}
	return ended, true
}

// endProbe records that a probe found out nothing, so that the next broken attempt starts another.
func (s *suspects) endProbe(server string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if broken := s.servers[server]; broken != nil {
		broken.probing = false
	}
}

// confirmCrash records that a server crashed. It returns the requests that were running
// there, in order, and the time at which the first attempt broke; a second call returns none.
func (s *suspects) confirmCrash(server string) (found []suspect, brokeAt time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	broken := s.servers[server]
	if broken == nil || broken.crashed {
		return nil, time.Time{}
	}
	broken.crashed = true
	for _, attempt := range broken.attempts {
		found = append(found, suspect{Request: attempt.request, elapsed: attempt.elapsed})
		if brokeAt.IsZero() || attempt.at.Before(brokeAt) {
			brokeAt = attempt.at
		}
	}
	slices.SortFunc(found, func(a, b suspect) int { return a.Identity.compare(b.Identity) })
	return found, brokeAt
}

// unresolved returns the servers that are not known to have crashed, with their addresses.
func (s *suspects) unresolved(now time.Time) map[string]string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	found := map[string]string{}
	for id, server := range s.servers {
		if !server.crashed {
			found[id] = server.address
		}
	}
	return found
}

// expire drops old servers, and the oldest beyond the limit. The caller must hold the lock.
func (s *suspects) expire(now time.Time) {
	for id, server := range s.servers {
		if now.Sub(server.brokeAt) > suspectRetention {
			delete(s.servers, id)
		}
	}
	for len(s.servers) > maxSuspectedServers {
		dropEarliest(s.servers, func(broken *suspectedServer) time.Time { return broken.brokeAt })
	}
}
