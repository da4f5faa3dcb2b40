package tenants

import (
	"maps"
	"sync"
	"time"
)

// Count is what a node that counts a tenant knew of it.
type Count struct {
	// Known is false where nothing was heard.
	Known bool
	// Level that was left at once and Used within the window, in the unit of the
	// tenant's limit.
	Level, Used float64
	// Age of the count.
	Age time.Duration
}

// heard is what this node heard last of each tenant from the node that counted it.
type heard struct {
	mutex    sync.Mutex
	byTenant map[string]heardCount
}

type heardCount struct {
	left Count
	at   time.Time
	// from is the address of the node that counted.
	from string
}

func newHeard() *heard { return &heard{byTenant: map[string]heardCount{}} }

func (h *heard) set(tenant string, answer Answer, now time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.byTenant[tenant] = heardCount{left: answer.Left, at: now, from: answer.CountedBy}
}

// other returns what was heard of the tenant from a node other than the one at the
// address; nothing if it was that one, which knows its own count.
func (h *heard) other(tenant, address string, now time.Time) Count {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	last, known := h.byTenant[tenant]
	if !known || last.from == address {
		return Count{}
	}
	count := last.left
	count.Age = now.Sub(last.at)
	return count
}

// near reports whether the tenant was near its limit when it was heard of.
func (h *heard) near(tenant *Tenant, window time.Duration, now time.Time) bool {
	last := h.other(tenant.Name, "", now)
	return last.Known && last.Age < window && near(tenant.Limit, window, last)
}

// forget drops tenants that are not known any more.
func (h *heard) forget(known func(tenant string) bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	maps.DeleteFunc(h.byTenant, func(name string, _ heardCount) bool { return !known(name) })
}
