package tenants

import (
	"maps"
	"sync"
	"time"
)

// assumedNodes share the limits until their number is known: more than most fleets
// have, since a share that is too large breaks a limit.
const assumedNodes = 100

// aloneShare of its share is what a node gives that reaches no node which counts:
// these may give the whole limit to others meanwhile. Half a share is about what
// tenants ask for that are not near their limits.
const aloneShare = 0.5

// nearShare is that of a tenant which was near its limit: a third of the nodes may be
// cut off together, and what they give adds to a limit that is used up.
const nearShare = 0.1

// alone counts tenants while no node that counts them can be reached. A tenant's
// callers at this node then get one request, and after it part of this node's share of
// the rate; those of a tenant that was near its limit get that only.
type alone struct {
	mutex sync.Mutex
	nodes int
	next  map[string]time.Time
}

func newAlone() *alone { return &alone{nodes: assumedNodes, next: map[string]time.Time{}} }

func (a *alone) setNodes(nodes int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.nodes = max(nodes, 1)
}

// take decides on a request; near tells that the tenant was near its limit.
func (a *alone) take(tenant *Tenant, cost float64, near bool, now time.Time) (within bool, roomIn time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	share := aloneShare
	if near {
		share = nearShare
	}
	pause := timeFor(cost, share*tenant.Limit.Rate/float64(a.nodes))
	next := a.next[tenant.Name]
	if near && next.Add(pause).Before(now) {
		next = now.Add(pause)
		a.next[tenant.Name] = next
	}
	if now.Before(next) {
		return false, next.Sub(now)
	}
	a.next[tenant.Name] = now.Add(pause)
	return true, 0
}

// forget drops tenants that are not known any more.
func (a *alone) forget(known func(tenant string) bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	maps.DeleteFunc(a.next, func(name string, _ time.Time) bool { return !known(name) })
}
