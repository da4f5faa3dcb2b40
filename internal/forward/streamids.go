package forward

import "sync"

const (
	// minNumberedStreams is the number of consecutive streams of a pool with IDs from which one without IDs is
	// foreign data.
	minNumberedStreams = 8
	// minUnnumberedStreams is the number of consecutive ones without IDs that end this: the pool's servers
	// have changed.
	minUnnumberedStreams = 3
	// maxStreamPools bounds the pools that are remembered, since they come and go with the configurations.
	maxStreamPools = 4096
)

// streamIDs learns which pools' streams have event IDs. It is safe for concurrent use.
type streamIDs struct {
	mutex sync.Mutex
	pools map[string]poolStreamIDs
}

// poolStreamIDs is what is known of a pool's streams.
type poolStreamIDs struct {
	// always: they have IDs; never: they have none.
	always, never bool
	// consecutive is the number of the latest streams that were alike, and numbered whether they had IDs.
	consecutive int
	numbered    bool
}

func newStreamIDs() *streamIDs { return &streamIDs{pools: map[string]poolStreamIDs{}} }

// of returns what is known of a pool's streams.
func (s *streamIDs) of(pool string) poolStreamIDs {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.pools[pool]
}

// record records a response of the pool whose events had IDs, or had none.
func (s *streamIDs) record(pool string, numbered bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.pools[pool]; !known && len(s.pools) >= maxStreamPools {
		clear(s.pools)
	}
	s.pools[pool] = s.pools[pool].with(numbered)
}

// with returns what is known after one more stream.
func (p poolStreamIDs) with(numbered bool) poolStreamIDs {
	first := p.consecutive == 0
	if p.numbered != numbered {
		p.consecutive, p.numbered = 0, numbered
	}
	p.consecutive++
	if numbered {
		p.always, p.never = p.always || p.consecutive >= minNumberedStreams, false
		return p
	}
	changed := p.consecutive >= minUnnumberedStreams
	p.always, p.never = p.always && !changed, p.never || first || changed
	return p
}
