package streamorigin

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// evidence is what is known of the software versions of a pool within the retention.
type evidence struct {
	// versions that the pool had, in order.
	versions []string
	// complete: the pool had no others.
	complete bool
	// mixed: the pool had several versions, whether or not they are known.
	mixed bool
}

// with returns the evidence together with that of another node.
func (e evidence) with(versions []string, complete bool) evidence {
	merged := slices.Concat(e.versions, versions)
	slices.Sort(merged)
	return evidence{versions: slices.Compact(merged), complete: e.complete || complete, mixed: e.mixed}
}

// sole returns the only version that the pool had; false if it had several or may have had others.
func (e evidence) sole() (version string, only bool) {
	if !e.complete || e.mixed || len(e.versions) != 1 {
		return "", false
	}
	return e.versions[0], true
}

// evidence returns what this node knows of a pool's versions.
func (o *Origins) evidence(pool string, now time.Time) evidence {
	seen, saved := o.versions.load(), o.saved.load()
	own := evidence{}.with(seen.versions[pool], o.recordsCurrent() && (saved.complete || seen.covers(now)))
	return own.with(saved.pools[pool], false).with(present(o.config.View.Load(), pool), false)
}

// present returns the versions of the servers of a pool.
func present(snapshot *fleet.Snapshot, pool string) []string {
	var versions []string
	for _, server := range snapshot.Pool(pool) {
		if !slices.Contains(versions, server.SoftwareVersion) {
			versions = append(versions, server.SoftwareVersion)
		}
	}
	return versions
}

// recordsCurrent reports whether the servers' records are known as of a moment ago.
func (o *Origins) recordsCurrent() bool {
	age, known := o.config.RecordsAge()
	return known && age <= o.config.MaxRecordsAge
}
