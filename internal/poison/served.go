package poison

import (
	"sync"
	"time"
)

// maxServed is the number of identities kept: half a minute of requests at the busiest nodes
// (60 a second), about 100 KB.
const maxServed = 2048

// served keeps the identities that servers have served recently, with the start of the last
// served run.
type served struct {
	mutex sync.Mutex
	began map[Identity]time.Time
	// order is a ring buffer of the identities in order of arrival; the oldest is at next.
	order [maxServed]Identity
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
	s.next = (s.next + 1) % maxServed
}

// among returns those of the identities that were served.
func (s *served) among(identities []Identity) []Identity {
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

// lastBegan returns the start of the last run of the identity that was served.
func (s *served) lastBegan(identity Identity) (began time.Time, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	began, known = s.began[identity]
	return began, known
}
