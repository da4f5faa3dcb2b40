package directory

import (
	"maps"
	"slices"
	"sync"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// DefaultBackEndConcurrency is the default limit of the requests that one node has in flight at
// one back-end server.
const DefaultBackEndConcurrency = 64

// BackEnds holds the servers of back-end pools, which are servers other than engines, from the
// machine list. It is safe for concurrent use.
type BackEnds struct {
	// concurrency is the limit of requests in flight for each server.
	concurrency int

	mutex sync.RWMutex
	// version is that of the last machine listing applied.
	version uint64
	pools   map[string]*Snapshot
	// leaving holds the servers that get no new requests.
	leaving     map[outside.ServerID]bool
	subscribers []func(pool string)
}

// NewBackEnds returns a BackEnds without pools. Concurrency is the limit of requests in flight
// for each server; zero or less means the default.
func NewBackEnds(concurrency int) *BackEnds {
	if concurrency <= 0 {
		concurrency = DefaultBackEndConcurrency
	}
	return &BackEnds{
		concurrency: concurrency,
		pools:       map[string]*Snapshot{},
		leaving:     map[outside.ServerID]bool{},
	}
}

// Subscribe adds a function that is called after the servers of a pool changed. The lock is not
// held during the call.
func (b *BackEnds) Subscribe(changed func(pool string)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.subscribers = append(b.subscribers, changed)
}

// Snapshot returns a pool's servers as endpoints; nil if the pool is unknown.
func (b *BackEnds) Snapshot(pool string) *Snapshot {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.pools[pool]
}

// ApplyListing replaces the servers with those of a machine listing; a listing older than the
// last one is ignored. A pool that was listed once is kept, without endpoints, when it has no
// servers any more.
func (b *BackEnds) ApplyListing(listing outside.MachineListing) {
	b.mutex.Lock()
	if listing.Version < b.version {
		b.mutex.Unlock()
		return
	}
	b.version = listing.Version
	b.updateLeaving(listing)
	updated := b.snapshotsOf(listing)
	for pool := range b.pools {
		if updated[pool] == nil {
			updated[pool] = &Snapshot{Group: pool}
		}
	}
	changed := changedPools(b.pools, updated)
	for _, pool := range changed {
		b.pools[pool] = updated[pool]
	}
	b.mutex.Unlock()
	b.notify(changed)
}

// MarkLeaving stops new requests to a server that is leaving, even if the machine list doesn't
// show that yet.
func (b *BackEnds) MarkLeaving(server outside.ServerID) {
	b.mutex.Lock()
	b.leaving[server] = true
	var changed []string
	for _, pool := range slices.Sorted(maps.Keys(b.pools)) {
		if updated := withDraining(b.pools[pool], server); updated != nil {
			b.pools[pool] = updated
			changed = append(changed, pool)
		}
	}
	b.mutex.Unlock()
	b.notify(changed)
}

// updateLeaving marks the servers that are listed as leaving. It keeps the marks of other listed
// servers and removes those of servers that are not listed.
func (b *BackEnds) updateLeaving(listing outside.MachineListing) {
	leaving := map[outside.ServerID]bool{}
	for _, machine := range listing.Machines {
		if machine.Phase == outside.MachineLeaving || b.leaving[machine.Server] {
			leaving[machine.Server] = true
		}
	}
	b.leaving = leaving
}

// snapshotsOf returns a snapshot of each pool that has servers other than engines.
func (b *BackEnds) snapshotsOf(listing outside.MachineListing) map[string]*Snapshot {
	pools := map[string]*Snapshot{}
	for _, machine := range listing.Machines {
		if machine.Engine {
			continue
		}
		snapshot := pools[machine.Pool]
		if snapshot == nil {
			snapshot = &Snapshot{Group: machine.Pool}
			pools[machine.Pool] = snapshot
		}
		snapshot.Endpoints = append(snapshot.Endpoints, Endpoint{
			Server:   machine.Server,
			Zone:     machine.Zone,
			MaxBatch: b.concurrency,
			Draining: b.leaving[machine.Server],
		})
	}
	return pools
}

// notify calls the subscribers for each pool. The lock must not be held.
func (b *BackEnds) notify(pools []string) {
	b.mutex.RLock()
	subscribers := b.subscribers
	b.mutex.RUnlock()
	for _, pool := range pools {
		for _, changed := range subscribers {
			changed(pool)
		}
	}
}
