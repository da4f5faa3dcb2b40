package observation

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Table holds the newest observations by server. It is safe for concurrent use.
//
// It has one lock: a node records some ten observations per second, and reading the loads of 60
// servers takes some microseconds.
type Table struct {
	// OnSuspicion is called when a suspicion begins or ends, without the lock held. It may be
	// nil, and must be set before the table is used.
	OnSuspicion func(Suspicion)

	mutex   sync.RWMutex
	entries map[string]*entry
	// version increases with each observation that is to be sent; reachVersion is the version of
	// the last one of whether a server is reachable.
	version, reachVersion uint64
	rates                 map[rateKey]rate
	// loadAt is the time of the newest load, and fewestSlots the fewest slots of any server.
	loadAt      time.Time
	fewestSlots int
	// arrived counts this node's requests to pools without models.
	arrived map[string]uint64
	// nodes is the number of nodes of the system, set at nodesSetAt; 0 if not known.
	nodes      atomic.Int64
	nodesSetAt time.Time
	// urgent receives after an observation that is to be sent immediately.
	urgent chan struct{}
	// changes are the begun and ended suspicions that OnSuspicion has not been called with.
	changes []Suspicion
}

type rateKey struct{ pool, model string }

type rate struct {
	perSecond  float64
	receivedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, rates: map[rateKey]rate{}, arrived: map[string]uint64{}, urgent: make(chan struct{}, 1)}
}

// RecordLoad records the load in a response that this node received.
func (t *Table) RecordLoad(server fleet.Incarnation, load Load, now time.Time) {
	t.update(func() {
		if found := t.entryOf(server, now); found != nil {
			t.setLoad(found, load, now, origin{})
		}
	})
}

// RecordUnreachable records that a connection of this node was refused, or that another
// incarnation answered.
func (t *Table) RecordUnreachable(server fleet.Incarnation, now time.Time) {
	t.update(func() {
		if found := t.entryOf(server, now); found != nil {
			t.setUnreachable(found, now, now, origin{})
		}
	})
}

// RecordReachable records that the server answered this node.
func (t *Table) RecordReachable(server fleet.Incarnation, now time.Time) {
	t.update(func() {
		if found := t.entryOf(server, now); found != nil {
			t.setReachable(found, now, now, origin{})
		}
	})
}

// Load returns the newest load of the incarnation and when it was observed, whichever node
// observed it; known is false if there is none or it is too old. It includes this node's own
// observations where nodes share none: SharesLoads reports whether they do.
func (t *Table) Load(server fleet.Incarnation, now time.Time) (load Load, at time.Time, known bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	found := t.entries[server.ID]
	if found == nil || !found.matches(server) || !found.loadInForce(now) {
		return Load{}, time.Time{}, false
	}
	return found.load, found.loadAt, true
}

// Suspected reports whether another node found the server unreachable and no node has reached
// it since.
func (t *Table) Suspected(server fleet.Incarnation, now time.Time) bool {
	_, suspected := t.SuspectedSince(server, now)
	return suspected
}

// SuspectedSince returns when this node received the suspicion that is in force, which
// identifies it; suspected is false if there is none.
func (t *Table) SuspectedSince(server fleet.Incarnation, now time.Time) (since time.Time, suspected bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	found := t.entries[server.ID]
	if found == nil || !found.matches(server) || !found.suspectedAt(now) {
		return time.Time{}, false
	}
	return found.suspectedSince, true
}

// ArrivalRate returns the requests per second for a model over all nodes; 0 if not known.
// Prune discards rates that are not renewed.
func (t *Table) ArrivalRate(pool, model string) float64 {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.rates[rateKey{pool, model}].perSecond
}

// SetRates stores arrival rates that the order holder sent.
func (t *Table) SetRates(rates []Rate, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, one := range rates {
		t.rates[rateKey{one.Pool, one.Model}] = rate{perSecond: one.PerSecond, receivedAt: now}
	}
}

// Suspicions returns the number of servers that are suspected.
func (t *Table) Suspicions(now time.Time) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	count := 0
	for _, found := range t.entries {
		if found.suspectedAt(now) {
			count++
		}
	}
	return count
}

// Urgent returns a channel that receives after this node made an observation that has to be sent
// immediately.
func (t *Table) Urgent() <-chan struct{} { return t.urgent }

// Prune discards what has expired, and the servers that are no longer listed.
func (t *Table) Prune(listed func(id string) bool, now time.Time) {
	t.update(func() {
		for id, found := range t.entries {
			switch {
			case !listed(id):
				t.endSuspicion(found, EndRemoved, "", now)
				delete(t.entries, id)
			case !found.suspectedAt(now):
				t.endSuspicion(found, EndExpired, "", now)
			}
			if now.Sub(found.newest) > retention {
				delete(t.entries, id)
			}
			maps.DeleteFunc(found.mistrusted, func(_ string, since time.Time) bool { return now.Sub(since) >= mistrustTime })
		}
		for key, stored := range t.rates {
			if now.Sub(stored.receivedAt) > LoadLifetime {
				delete(t.rates, key)
			}
		}
	})
}

// update changes the table under its lock, and then calls OnSuspicion with what began or ended.
func (t *Table) update(change func()) {
	t.mutex.Lock()
	change()
	changes := t.changes
	t.changes = nil
	t.mutex.Unlock()
	if t.OnSuspicion == nil {
		return
	}
	for _, one := range changes {
		t.OnSuspicion(one)
	}
}

// entryOf returns the entry of the incarnation, or nil if a later one is known. An entry of an
// earlier incarnation is replaced. It must be called with the lock held.
func (t *Table) entryOf(server fleet.Incarnation, now time.Time) *entry {
	found := t.entries[server.ID]
	if found != nil && found.server.Follows(server) {
		return nil
	}
	if found != nil && server.Follows(found.server) {
		t.endSuspicion(found, EndIncarnation, "", now)
		found = nil
	}
	if found == nil {
		found = &entry{}
		t.entries[server.ID] = found
	}
	// The start time may be unknown to the node that observed the server first.
	if found.server.Born == 0 {
		found.server = server
	}
	return found
}
