package streamorigin

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// maxObserveGap is the maximum time between two observations for servers not to have come and gone
// in between: a process that was suspended observes nothing.
const maxObserveGap = time.Second

// observed is which software versions a node has seen in the pools. It is immutable.
type observed struct {
	// versions that servers of a pool had within the retention, in order, by pool, and settled are those
	// of them that all nodes with current records must know.
	versions, settled map[string][]string
	// present are the pools' versions in the snapshot that was observed last.
	present map[Origin]bool
	// currentSince is since when the servers' records have been current without a gap; the zero time
	// if they are not.
	currentSince time.Time
	// at is the time of the observation.
	at time.Time
}

// covers reports whether every version that was in service within the retention has been seen.
func (o *observed) covers(now time.Time) bool {
	return !o.currentSince.IsZero() && now.Sub(o.currentSince) >= retention && now.Sub(o.at) <= maxObserveGap
}

// isSole reports whether the origin's version is the only one that its pool is seen to have now.
func (o *observed) isSole(origin Origin) bool {
	seen := o.versions[origin.Pool]
	return !o.currentSince.IsZero() && len(seen) == 1 && seen[0] == origin.SoftwareVersion
}

// sighting is when servers of a pool had a version.
type sighting struct{ first, last time.Time }

// versions tracks which software versions the servers of each pool had within the retention. Only one
// goroutine may call observe.
type versions struct {
	// settleTime is how long after this node every node with current records knows a version.
	settleTime time.Duration
	sightings  map[Origin]sighting
	// present are the pools' versions in the snapshot.
	present    map[Origin]bool
	snapshot   *fleet.Snapshot
	observedAt time.Time
	// relayed are the versions of streams that this node relays, without a server in the snapshot.
	relayedMutex sync.Mutex
	relayed      map[Origin]bool
	// interrupted is set if servers may have come and gone unseen since the last observation.
	interrupted atomic.Bool
	published   atomic.Pointer[observed]
}

// load returns what was observed.
func (v *versions) load() *observed {
	if seen := v.published.Load(); seen != nil {
		return seen
	}
	return &observed{}
}

// observe records the versions of the servers in a snapshot, whose records are current or not, and
// returns the pools that have several now and had not before. Versions that are saved when the first
// servers are observed count as settled.
func (v *versions) observe(snapshot *fleet.Snapshot, saved *saved, current bool, now time.Time) (added []string) {
	firstSeen := func(Origin) time.Time { return now }
	if len(v.sightings) == 0 {
		v.sightings = map[Origin]sighting{}
		firstSeen = func(origin Origin) time.Time {
			if slices.Contains(saved.pools[origin.Pool], origin.SoftwareVersion) {
				return now.Add(-v.settleTime)
			}
			return now
		}
	}
	v.markPresent(firstSeen, now)
	if snapshot != v.snapshot {
		v.snapshot, v.present = snapshot, map[Origin]bool{}
		for _, server := range snapshot.Servers {
			v.present[Origin{Pool: server.Pool, SoftwareVersion: server.SoftwareVersion}] = true
		}
		v.markPresent(firstSeen, now)
	}
	v.mark(v.takeRelayed(), firstSeen, now)
	before := v.load()
	next := v.summary(now)
	next.currentSince = v.currentSince(before, current, now)
	v.observedAt = now
	for pool, seen := range next.versions {
		if len(seen) > 1 && len(before.versions[pool]) < 2 {
			added = append(added, pool)
		}
	}
	v.published.Store(next)
	return added
}

// summary returns the versions within the retention, and forgets the others.
func (v *versions) summary(now time.Time) *observed {
	maps.DeleteFunc(v.sightings, func(_ Origin, seen sighting) bool { return now.Sub(seen.last) > retention })
	next := &observed{versions: map[string][]string{}, settled: map[string][]string{}, present: v.present, at: now}
	for origin, seen := range v.sightings {
		next.versions[origin.Pool] = append(next.versions[origin.Pool], origin.SoftwareVersion)
		if now.Sub(seen.first) >= v.settleTime {
			next.settled[origin.Pool] = append(next.settled[origin.Pool], origin.SoftwareVersion)
		}
	}
	for _, versions := range next.versions {
		slices.Sort(versions)
	}
	return next
}

// currentSince returns since when the records have been current without a gap.
func (v *versions) currentSince(before *observed, current bool, now time.Time) time.Time {
	switch {
	case !current:
		return time.Time{}
	case v.interrupted.Swap(false), before.currentSince.IsZero(), now.Sub(v.observedAt) > maxObserveGap:
		return now
	}
	return before.currentSince
}

// interrupt makes the view have a gap now.
func (v *versions) interrupt() { v.interrupted.Store(true) }

// relay records that this node relays a stream of a version, whether or not a server still has it.
func (v *versions) relay(origin Origin) {
	if v.load().present[origin] {
		return
	}
	v.relayedMutex.Lock()
	defer v.relayedMutex.Unlock()
	if v.relayed == nil {
		v.relayed = map[Origin]bool{}
	}
	v.relayed[origin] = true
}

// takeRelayed returns the versions passed to relay since the last call.
func (v *versions) takeRelayed() map[Origin]bool {
	v.relayedMutex.Lock()
	defer v.relayedMutex.Unlock()
	relayed := v.relayed
	v.relayed = nil
	return relayed
}

// markPresent records that the versions which are present are there at the time.
func (v *versions) markPresent(firstSeen func(Origin) time.Time, now time.Time) {
	v.mark(v.present, firstSeen, now)
}

// mark records that versions are in service at the time.
func (v *versions) mark(inService map[Origin]bool, firstSeen func(Origin) time.Time, now time.Time) {
	for origin := range inService {
		seen, known := v.sightings[origin]
		if !known {
			seen.first = firstSeen(origin)
		}
		seen.last = now
		v.sightings[origin] = seen
	}
}
