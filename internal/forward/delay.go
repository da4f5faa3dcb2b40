package forward

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// retryGrace is how long the demand of a refused request is kept after the end of its Retry-After.
const retryGrace = 500 * time.Millisecond

// expectedDelay is the expected time until some server holds what the request needs: by the
// plan of the order holder or, if it has none yet, by the load time that the servers' records
// give. What is overdue is expected to take as long again: the longer nothing has come, the less
// likely it is to come soon.
func (f *Forwarder) expectedDelay(flow *flow, snapshot *fleet.Snapshot, now time.Time) time.Duration {
	if f.orders == nil {
		return takeoverDelay
	}
	if ready, planned := f.orders.ReadyAt(flow.demandKey()); planned {
		return ready.Sub(now).Abs() + baseDelay
	}
	waited := now.Sub(flow.waitingSince)
	ordersIn, known := f.orders.OrdersIn()
	if !known {
		ordersIn = takeoverDelay
	}
	if ordersIn == 0 && waited < planWaitLimit {
		return baseDelay
	}
	// The demand was reported when the request began to wait. A load that is not planned yet has not begun.
	load := loadOverhead + minLoadTime(snapshot, flow.pool, flow.request.Model)
	if ordersIn > 0 {
		return ordersIn + load
	}
	return waited + load
}

// minLoadTime is the shortest time in which a server of the pool could load the model; zero if
// one holds it, or if the pool has no such model.
func minLoadTime(snapshot *fleet.Snapshot, pool, name string) time.Duration {
	model := snapshot.Configuration.Model(pool, name)
	if model == nil {
		return 0
	}
	shortest := model.LoadTime
	for _, server := range snapshot.Pool(pool) {
		if server.Draining {
			continue
		}
		if server.Holds(name, "") {
			return 0
		}
		shortest = min(shortest, model.LoadTimeFrom(server.InMemory[name], server.OnDisk[name]))
	}
	return shortest
}
