package forward

import "sync"

const (
	// minStreamsWithIDs is the number of consecutive streams with IDs from which one without IDs is foreign data,
	// where none was seen. The same numbers hold for streams whose IDs are decimal numbers.
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

// streamIDs learns where streams have event IDs, and of which form. It is safe for concurrent use.
type streamIDs struct {
	mutex   sync.Mutex
	history map[streamKey]streamIDHistory
}

// streamIDHistory is what is known of the streams of a route in a pool.
type streamIDHistory struct {
	// ids: events have IDs. decimals: those IDs are decimal numbers without a prefix.
	ids, decimals traitHistory
}

// traitHistory is what is known of a trait that streams have or lack.
type traitHistory struct {
	// required: a stream that lacks the trait is foreign data.
	required bool
	// consecutive is the number of latest streams that were alike: with the trait or, if latestWithout, without.
	consecutive   int
	latestWithout bool
	// without is the number of streams that lack the trait and are not forgotten, firstServer the server of the
	// first of them; severalServers: not all are of this one.
	without        int
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
	s.update(key, func(history *streamIDHistory) { history.ids.record(server, hasIDs) })
}

// recordForm records a stream of a server whose first ID was a decimal number without a prefix, or was not.
func (s *streamIDs) recordForm(key streamKey, server string, isDecimal bool) {
	s.update(key, func(history *streamIDHistory) { history.decimals.record(server, isDecimal) })
}

func (s *streamIDs) update(key streamKey, change func(*streamIDHistory)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.history[key]; !known && len(s.history) >= maxStreamKeys {
		clear(s.history)
	}
	history := s.history[key]
	change(&history)
	s.history[key] = history
}

func (h *traitHistory) record(server string, hasTrait bool) {
	if h.latestWithout == hasTrait {
		h.consecutive, h.latestWithout = 0, !hasTrait
	}
	h.consecutive++
	if hasTrait {
		h.recordWith()
	} else {
		h.recordWithout(server)
	}
}

func (h *traitHistory) recordWith() {
	if h.consecutive >= streamIDMemory {
		h.without, h.severalServers = 0, false
	}
	h.required = h.required || h.without == 0 && h.consecutive >= minStreamsWithIDs
}

func (h *traitHistory) recordWithout(server string) {
	if h.without == 0 {
		h.firstServer = server
	}
	h.without++
	h.severalServers = h.severalServers || server != h.firstServer
	if h.severalServers && h.without >= minStreamsWithoutIDs || h.consecutive >= minConsecutiveWithoutIDs {
		h.required = false
	}
}

// optional reports whether streams that lack the trait are known to be sent.
func (h traitHistory) optional() bool { return !h.required && h.without > 0 }
