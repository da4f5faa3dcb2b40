package forward

import "sync"

const (
	// minStreamsWithIDs is the number of consecutive streams with IDs from which one without IDs is foreign data,
	// where none was seen.
	minStreamsWithIDs = 16
	// minStreamsWithoutIDs is the number of streams without IDs, of several servers, that end this: the pool's
	// servers have changed. One server alone may be faulty.
	minStreamsWithoutIDs = 3
	// minConsecutiveWithoutIDs is the number of consecutive ones that end it, also of one server: it may be the
	// only one.
	minConsecutiveWithoutIDs = 16
	// streamIDMemory is the number of consecutive streams with IDs after which those without are forgotten.
	streamIDMemory = 128
	// maxStreamKeys bounds the routes and pools that are remembered, since they come and go with the configurations.
	maxStreamKeys = 4096
)

// streamKey names streams of one kind: servers may send other streams on another route.
type streamKey struct{ route, pool string }

// streamIDs learns where streams have event IDs. It is safe for concurrent use.
type streamIDs struct {
	mutex   sync.Mutex
	history map[streamKey]streamIDHistory
}

// streamIDHistory is what is known of the streams of a route in a pool.
type streamIDHistory struct {
	// idsRequired: a stream without IDs is foreign data.
	idsRequired bool
	// consecutive is the number of latest streams that were alike: with IDs or, if latestWithout, without.
	consecutive   int
	latestWithout bool
	// withoutIDs is the number of streams without IDs that are not forgotten, firstServer the server of the
	// first of them; severalServers: not all are of this one.
	withoutIDs     int
	firstServer    string
	severalServers bool
}

func newStreamIDs() *streamIDs { return &streamIDs{history: map[streamKey]streamIDHistory{}} }

// of returns what is known of the streams of a route in a pool.
func (s *streamIDs) of(key streamKey) streamIDHistory {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history[key]
}

// record records a stream of a server whose events had IDs, or had none.
func (s *streamIDs) record(key streamKey, server string, hasIDs bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.history[key]; !known && len(s.history) >= maxStreamKeys {
		clear(s.history)
	}
	history := s.history[key]
	history.record(server, hasIDs)
	s.history[key] = history
}

func (h *streamIDHistory) record(server string, hasIDs bool) {
	if h.latestWithout == hasIDs {
		h.consecutive, h.latestWithout = 0, !hasIDs
	}
	h.consecutive++
	if hasIDs {
		h.recordWith()
	} else {
		h.recordWithout(server)
	}
}

func (h *streamIDHistory) recordWith() {
	if h.consecutive >= streamIDMemory {
		h.withoutIDs, h.severalServers = 0, false
	}
	h.idsRequired = h.idsRequired || h.withoutIDs == 0 && h.consecutive >= minStreamsWithIDs
}

func (h *streamIDHistory) recordWithout(server string) {
	if h.withoutIDs == 0 {
		h.firstServer = server
	}
	h.withoutIDs++
	h.severalServers = h.severalServers || server != h.firstServer
	if h.severalServers && h.withoutIDs >= minStreamsWithoutIDs || h.consecutive >= minConsecutiveWithoutIDs {
		h.idsRequired = false
	}
}

// idsOptional reports whether streams without IDs are known to be sent.
func (h streamIDHistory) idsOptional() bool { return !h.idsRequired && h.withoutIDs > 0 }
