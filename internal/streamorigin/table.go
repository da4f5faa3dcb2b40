package streamorigin

import (
	"crypto/sha256"
	"sync"
	"time"
)

const (
	// retention is the minimum time for which an origin is kept: longer than callers try.
	retention = time.Minute
	// maxKept is the maximum number of origins in each of the table's two generations.
	maxKept = 1 << 16
)

// Origin is where a stream began.
type Origin struct{ Pool, SoftwareVersion string }

// keyOf returns the key of a request ID.
func keyOf(request string) Key {
	digest := sha256.Sum256([]byte(request))
	return Key(digest[:])
}

// table holds the origins of streams in two generations. A generation is dropped a retention after it
// was followed by a new one, or earlier once that one is full.
type table struct {
	mutex             sync.Mutex
	current, previous map[Key]*Origin
	began             time.Time
	// origins are shared by the streams that have them.
	origins map[Origin]*Origin
}

// put records a stream's origin.
func (t *table) put(stream Key, origin Origin, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.current == nil || now.Sub(t.began) >= retention || len(t.current) >= maxKept {
		t.previous, t.current, t.began = t.current, map[Key]*Origin{}, now
		t.origins = map[Origin]*Origin{}
	}
	shared := t.origins[origin]
	if shared == nil {
		shared = &origin
		t.origins[origin] = shared
	}
	t.current[stream] = shared
}

// get returns a stream's origin.
func (t *table) get(stream Key) (Origin, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.current[stream]
	if found == nil {
		found = t.previous[stream]
	}
	if found == nil {
		return Origin{}, false
	}
	return *found, true
}

// where returns the streams whose origin matches.
func (t *table) where(matches func(Origin) bool) map[Key]Origin {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	streams := map[Key]Origin{}
	for _, generation := range []map[Key]*Origin{t.previous, t.current} {
		for stream, origin := range generation {
			if matches(*origin) {
				streams[stream] = *origin
			}
		}
	}
	return streams
}
