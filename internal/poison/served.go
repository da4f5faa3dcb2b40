package poison

import (
	"sync"
	"time"
)

const (
	// maxServed is the number of requests kept: half a minute of requests at the busiest nodes
	// (60 a second), about 100 KB.
	maxServed = 2048
	// servedPartShards is the number of shards of parts, each with a lock of its own, and
	// maxServedParts the number of parts kept in each.
	servedPartShards, maxServedParts = 16, 128
)

// served keeps the identities that servers have served recently, with the start of the last
// served run. Parts are kept apart, since requests are many and each would displace one.
type served struct {
	requests *servedRing
	parts    [servedPartShards]*servedRing
}

func newServed() *served {
	s := &served{requests: newServedRing(maxServed)}
	for i := range s.parts {
		s.parts[i] = newServedRing(maxServedParts)
	}
	return s
}

// add records that a request was served, with its parts.
func (s *served) add(request Request, began time.Time) {
	s.addIdentity(request.Identity, began)
	for i := range request.Parts {
		s.partsWith(request.Parts[i].Identity).add(request.Parts[i].Identity, began)
	}
}

// addIdentity records an identity that another node reports as served.
func (s *served) addIdentity(identity Identity, began time.Time) { s.requests.add(identity, began) }

// partsWith returns the shard of a part.
func (s *served) partsWith(part Identity) *servedRing { return s.parts[part[0]%servedPartShards] }

// among returns those of the identities that were served.
func (s *served) among(identities []Identity) []Identity {
	var found []Identity
	for _, identity := range identities {
		if _, known := s.lastBegan(identity); known {
			found = append(found, identity)
		}
	}
	return found
}

// lastBegan returns the start of the last run of the identity that was served.
func (s *served) lastBegan(identity Identity) (began time.Time, known bool) {
	began, known = s.requests.lastBegan(identity)
	if asPart, knownAsPart := s.partsWith(identity).lastBegan(identity); knownAsPart && (!known || asPart.After(began)) {
		return asPart, true
	}
	return began, known
}

// servedRing keeps a number of identities, of which the oldest gives way.
type servedRing struct {
	mutex sync.Mutex
	began map[Identity]time.Time
	// order is a ring buffer of the identities in order of arrival; the oldest is at next.
	order []Identity
	next  int
}

func newServedRing(size int) *servedRing {
	return &servedRing{began: map[Identity]time.Time{}, order: make([]Identity, size)}
}

func (s *servedRing) add(identity Identity, began time.Time) {
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
	s.next = (s.next + 1) % len(s.order)
}

func (s *servedRing) lastBegan(identity Identity) (began time.Time, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	began, known = s.began[identity]
	return began, known
}
