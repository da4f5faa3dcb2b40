package poison

import (
	"sync"
	"time"
)

// mostServed identities are remembered: half a minute of a node's requests where nodes
// serve most (60 a second), about 100 KB.
const mostServed = 2048

// served remembers which identities servers have served lately, and when they began.
type served struct {
	mutex sync.Mutex
	began map[Identity]time.Time
	// order in which they came; the oldest one stands at next.
	order [mostServed]Identity
	next  int
}

func newServed() *served { return &served{began: map[Identity]time.Time{}} }

func (s *served) add(identity Identity, began time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if before, known := s.began[identity]; known {
		if began.After(before) {
			s.began[identity] = began
		}
		return
	}
	delete(s.began, s.order[s.next])
	s.order[s.next], s.began[identity] = identity, began
	s.next = (s.next + 1) % mostServed
}

// of returns those of the identities that were served.
func (s *served) of(identities []Identity) []Identity {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var found []Identity
	for _, identity := range identities {
		if _, known := s.began[identity]; known {
			found = append(found, identity)
		}
	}
	return found
}

// last returns when a server began with what it served of the identity last.
func (s *served) last(identity Identity) (began time.Time, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	began, known = s.began[identity]
	return began, known
}
