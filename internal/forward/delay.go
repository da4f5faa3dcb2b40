package forward

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// retryGrace is how long the demand of a refused request is kept after the end of its Retry-After.
const retryGrace = 500 * time.Millisecond

// expectedDelay is the expected time until some server holds what the request needs: by the
// plan of the order holder or, if it has none yet, by the load time that the servers'
// records give, counted from the request's arrival, when the demand for the load was reported.
func (f *Forwarder) expectedDelay(flow *flow, snapshot *fleet.Snapshot, now time.Time) time.Duration {
	if f.orders == nil {
		return takeoverDelay
	}
	if ready, planned := f.orders.ReadyAt(flow.demandKey()); planned {
		return max(ready.Sub(now), 0) + baseDelay
	}
	held := now.Sub(flow.request.Accepted)
	ordersIn, known := f.orders.OrdersIn()
	if !known {
		ordersIn = takeoverDelay
	}
	if ordersIn == 0 && held < planWaitLimit {
		return baseDelay
	}
	// A load begins only once orders are given, so the time for which the request was held
	// is subtracted only where they are given now.
	load := loadOverhead + minLoadTime(snapshot, flow.pool, flow.request.Model)
	if ordersIn > 0 {
		return ordersIn + load
	}
	return max(load-held, baseDelay)
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
