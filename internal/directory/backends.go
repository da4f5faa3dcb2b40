package directory

import (
	"maps"
	"slices"
	"sync"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// DefaultBackEndConcurrency is how many requests one node has in flight at one
// back-end server.
const DefaultBackEndConcurrency = 64

// BackEnds knows the servers of the pools that are no engines. It is safe for
// concurrent use.
type BackEnds struct {
	// concurrency is the limit of requests in flight per server.
	concurrency int

	mutex       sync.RWMutex
	version     uint64
	pools       map[string]*Snapshot
	leaving     map[outside.ServerID]bool
	subscribers []func(pool string)
}

// NewBackEnds returns an empty table. Concurrency limits the requests in
// flight per server; zero means the default.
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

// Subscribe adds a function that is called, without a lock, after the servers
// of a pool changed.
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

// ApplyListing replaces the servers by those of a newer machine listing. A
// pool that was once listed stays known when its last server is gone.
func (b *BackEnds) ApplyListing(listing outside.MachineListing) {
	b.mutex.Lock()
	if listing.Version < b.version {
		b.mutex.Unlock()
		return
	}
	b.version = listing.Version
	b.keepLeaving(listing)
	fresh := b.snapshotsOf(listing)
	for pool := range b.pools {
		if fresh[pool] == nil {
			fresh[pool] = &Snapshot{Group: pool}
		}
	}
	changed := changedPools(b.pools, fresh)
	for _, pool := range changed {
		b.pools[pool] = fresh[pool]
	}
	b.mutex.Unlock()
	b.notify(changed)
}

// MarkLeaving stops new work for a server before the machine list says so.
func (b *BackEnds) MarkLeaving(server outside.ServerID) {
	b.mutex.Lock()
	b.leaving[server] = true
	var changed []string
	for _, pool := range slices.Sorted(maps.Keys(b.pools)) {
		if marked := withDraining(b.pools[pool], server); marked != nil {
			b.pools[pool] = marked
			changed = append(changed, pool)
		}
	}
	b.mutex.Unlock()
	b.notify(changed)
}

// keepLeaving forgets marks of servers that are gone and adds those listed.
func (b *BackEnds) keepLeaving(listing outside.MachineListing) {
	marks := map[outside.ServerID]bool{}
	for _, machine := range listing.Machines {
		if machine.Phase == outside.MachineLeaving || b.leaving[machine.Server] {
			marks[machine.Server] = true
		}
	}
	b.leaving = marks
}

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
