package streamorigin

import (
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// versions tracks which pools had servers of several software versions within the retention. Only one
// goroutine may call observe.
type versions struct {
	// seenAt is when a server of a pool last had a version, and present are those that snapshot has.
	seenAt   map[Origin]time.Time
	present  map[Origin]bool
	snapshot *fleet.Snapshot
	// mixed are the pools with several versions.
	mixed atomic.Pointer[map[string]bool]
}

// observe records the versions of the servers in a snapshot, and returns the pools that have several now
// and had not before.
func (v *versions) observe(snapshot *fleet.Snapshot, now time.Time) (added []string) {
	if v.seenAt == nil {
		v.seenAt = map[Origin]time.Time{}
	}
	v.markPresent(now)
	if snapshot != v.snapshot {
		v.snapshot, v.present = snapshot, map[Origin]bool{}
		for _, server := range snapshot.Servers {
			v.present[Origin{Pool: server.Pool, SoftwareVersion: server.SoftwareVersion}] = true
		}
		v.markPresent(now)
	}
	counts := map[string]int{}
	for origin, at := range v.seenAt {
		if now.Sub(at) > retention {
			delete(v.seenAt, origin)
			continue
		}
		counts[origin.Pool]++
	}
	mixed := map[string]bool{}
	for pool, count := range counts {
		if count < 2 {
			continue
		}
		mixed[pool] = true
		if !v.isMixed(pool) {
			added = append(added, pool)
		}
	}
	v.mixed.Store(&mixed)
	return added
}

// markPresent records that the versions which are present are there at the time.
func (v *versions) markPresent(now time.Time) {
	for origin := range v.present {
		v.seenAt[origin] = now
	}
}

// isMixed reports whether a pool had several versions within the retention.
func (v *versions) isMixed(pool string) bool {
	mixed := v.mixed.Load()
	return mixed != nil && (*mixed)[pool]
}
