package poison

import (
	"sync"
	"time"
)

const (
	// maxServed is the number of requests kept: half a minute of requests at the busiest nodes
	// (60 a second), about 100 KB.
	maxServed = 2048
	// minRemembered is the number of served requests of a pool from which on a node would remember
	// one that is frequent there: one in 20 is missing among so many in 0.6% of cases.
	minRemembered = 100
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
	s.requests.count(request.Identity, request.Pool, began)
	for i := range request.Parts {
		s.partsWith(request.Parts[i].Identity).add(request.Parts[i].Identity, began)
	}
}

// addIdentity records an identity that another node reports as served.
func (s *served) addIdentity(identity Identity, began time.Time) { s.requests.add(identity, began) }

// remembered returns the number of runs at servers of a pool that are remembered.
func (s *served) remembered(pool string) int { return s.requests.countOf(pool) }

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

// servedRuns are the runs of an identity that this node has seen served.
type servedRuns struct {
	// began is the start of the last one, at any node.
	began time.Time
	count int
	// pool is that of the latest one, nil if none is counted.
	pool *poolRuns
}

// poolRuns are the remembered runs at servers of a pool.
type poolRuns struct {
	name  string
	count int
}

// servedRing keeps a number of identities, of which the oldest gives way.
type servedRing struct {
	mutex sync.Mutex
	runs  map[Identity]*servedRuns
	pools map[string]*poolRuns
	// order is a ring buffer of the identities in order of arrival; the oldest is at next.
	order []Identity
	next  int
}

func newServedRing(size int) *servedRing {
	return &servedRing{runs: map[Identity]*servedRuns{}, pools: map[string]*poolRuns{}, order: make([]Identity, size)}
}

// add records that an identity was served.
func (s *servedRing) add(identity Identity, began time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.record(identity, began)
}

// count records that an identity was served, in a run of this node at a server of the pool.
func (s *servedRing) count(identity Identity, pool string, began time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	runs := s.record(identity, began)
	if runs.pool == nil || runs.pool.name != pool {
		s.moveTo(pool, runs)
	}
	runs.count++
	runs.pool.count++
}

// record returns the runs of an identity, with the start of the last one. The lock must be held.
func (s *servedRing) record(identity Identity, began time.Time) *servedRuns {
	runs, known := s.runs[identity]
	if !known {
		oldest := s.order[s.next]
		runs = s.runs[oldest]
		if runs == nil {
			runs = &servedRuns{}
		}
		s.uncount(runs)
		delete(s.runs, oldest)
		*runs = servedRuns{began: began}
		s.order[s.next], s.runs[identity] = identity, runs
		s.next = (s.next + 1) % len(s.order)
	}
	if began.After(runs.began) {
		runs.began = began
	}
	return runs
}

// moveTo counts runs for another pool. The lock must be held.
func (s *servedRing) moveTo(pool string, runs *servedRuns) {
	s.uncount(runs)
	if s.pools[pool] == nil {
		s.pools[pool] = &poolRuns{name: pool}
	}
	runs.pool = s.pools[pool]
	runs.pool.count += runs.count
}

// uncount subtracts runs from those of their pool. The lock must be held.
func (s *servedRing) uncount(runs *servedRuns) {
	if runs.pool == nil {
		return
	}
	if runs.pool.count -= runs.count; runs.pool.count == 0 {
		delete(s.pools, runs.pool.name)
	}
}

// countOf returns the number of remembered runs at servers of a pool.
func (s *servedRing) countOf(pool string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if runs := s.pools[pool]; runs != nil {
		return runs.count
	}
	return 0
}

func (s *servedRing) lastBegan(identity Identity) (began time.Time, known bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if runs, known := s.runs[identity]; known {
		return runs.began, true
	}
	return time.Time{}, false
}
