package streamorigin

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Basis is what a finding rests on.
type Basis string

// The bases.
const (
	// FromTable: this node passed on the stream's first event, or keeps the origin for another.
	FromTable Basis = "table"
	// FromKeeper: another node told the origin.
	FromKeeper Basis = "keeper"
	// FromStore: the origin is saved in the store.
	FromStore Basis = "store"
	// FromRecord: the record of versions in the store shows which versions the pool had.
	FromRecord Basis = "record"
	// FromView: this node's view has covered the retention.
	FromView Basis = "view"
	// FromReply: the reply of another node shows which versions the pool had.
	FromReply Basis = "reply"
	// NoBasis: it is not known which versions the pool had.
	NoBasis Basis = "none"
)

// evidence is what is known of the software versions of a pool within the retention.
type evidence struct {
	// versions that the pool had, in order.
	versions []string
	// basis shows that the pool had no others; NoBasis: it may have.
	basis Basis
	// mixed: the stream may be of several versions, whether or not they are known.
	mixed bool
}

// with returns the evidence together with other versions of the pool, and their basis.
func (e evidence) with(versions []string, basis Basis) evidence {
	merged := slices.Concat(e.versions, versions)
	slices.Sort(merged)
	e.versions = slices.Compact(merged)
	if e.basis == NoBasis {
		e.basis = basis
	}
	return e
}

// sole returns the only version that the pool had; false if it had several or may have had others.
func (e evidence) sole() (version string, only bool) {
	if e.basis == NoBasis || e.mixed || len(e.versions) != 1 {
		return "", false
	}
	return e.versions[0], true
}

// withReply returns the evidence together with that of another node. Builds that send no versions tell only
// whether there were several.
func (e evidence) withReply(reply LookupReply) evidence {
	basis := NoBasis
	if reply.Complete {
		basis = FromReply
	}
	e.mixed = e.mixed || reply.Mixed
	return e.with(reply.Versions, basis)
}

// conclude returns what follows for a stream that no node knows.
func (e evidence) conclude(pool string) search {
	if version, only := e.sole(); only {
		return search{origin: Origin{Pool: pool, SoftwareVersion: version}, finding: SoleVersion, basis: e.basis, versions: e.versions}
	}
	return search{finding: Unknown, basis: e.basis, versions: e.versions}
}

// evidence returns what this node knows of a pool's versions.
func (o *Origins) evidence(pool string, now time.Time) evidence {
	seen, saved := o.versions.load(), o.saved.load()
	own := evidence{basis: NoBasis}
	switch {
	case !o.recordsCurrent():
	case saved.complete:
		own.basis = FromRecord
	case seen.covers(now):
		own.basis = FromView
	}
	return own.with(seen.versions[pool], NoBasis).with(saved.pools[pool], NoBasis).with(present(o.config.View.Load(), pool), NoBasis)
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
