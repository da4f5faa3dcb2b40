package forward

import "sync"

const (
	// minStreamsWithIDs is the number of consecutive streams with IDs from which one without IDs is foreign data,
	// where none was seen.
	minStreamsWithIDs = 16
	// minStreamsWithoutIDs is the number of streams without IDs that end this: the pool's servers have changed.
	minStreamsWithoutIDs = 3
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
	// required: a stream without IDs is foreign data.
	required bool
	// withIDs is the number of consecutive streams with IDs up to the latest, and withoutIDs that of streams
	// without IDs that are not forgotten.
	withIDs, withoutIDs int
}

func newStreamIDs() *streamIDs { return &streamIDs{history: map[streamKey]streamIDHistory{}} }

// of returns what is known of the streams of a route in a pool.
func (s *streamIDs) of(key streamKey) streamIDHistory {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.history[key]
}

// record records a stream whose events had IDs, or had none.
func (s *streamIDs) record(key streamKey, hasIDs bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.history[key]; !known && len(s.history) >= maxStreamKeys {
		clear(s.history)
	}
	s.history[key] = s.history[key].with(hasIDs)
}

// with returns what is known after one more stream.
func (h streamIDHistory) with(hasIDs bool) streamIDHistory {
	if !hasIDs {
		h.withIDs = 0
		h.withoutIDs++
		h.required = h.required && h.withoutIDs < minStreamsWithoutIDs
		return h
	}
	h.withIDs++
	if h.withIDs >= streamIDMemory {
		h.withoutIDs = 0
	}
	h.required = h.required || h.withoutIDs == 0 && h.withIDs >= minStreamsWithIDs
	return h
}

// areOptional reports whether streams without IDs are known to be sent.
func (h streamIDHistory) areOptional() bool { return !h.required && h.withoutIDs > 0 }
