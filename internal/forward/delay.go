package forward

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// expectedReturn is how long demand of a refused request lasts after the time
// at which it was told to come back.
const expectedReturn = 500 * time.Millisecond

// expectedDelay is the time until some server holds what is needed: as the holder
// of orders plans, or else as the servers' records tell, counted from the request's
// arrival, when the load was asked for.
func (f *Forwarder) expectedDelay(flow *flow, snapshot *fleet.Snapshot, now time.Time) time.Duration {
	if f.orders == nil {
		return unknownDelay
	}
	if ready, coming := f.orders.ReadyAt(flow.key()); coming {
		return max(ready.Sub(now), 0) + quietDelay
	}
	held := now.Sub(flow.request.Accepted)
	ordersIn, known := f.orders.OrdersIn()
	if !known {
		ordersIn = unknownDelay
	}
	if ordersIn == 0 && held < planPatience {
		return quietDelay
	}
	// Where no orders are given, the load does not begin while the request is held.
	load := loadOverhead + coldStart(snapshot, flow.pool, flow.request.Model)
	if ordersIn > 0 {
		return ordersIn + load
	}
	return max(load-held, quietDelay)
}

// coldStart is the least time in which a server of the pool could load the model;
// zero if one holds it.
func coldStart(snapshot *fleet.Snapshot, pool, name string) time.Duration {
	model := snapshot.Configuration.Model(pool, name)
	if model == nil {
		return 0
	}
	least := model.LoadTime
	for _, server := range snapshot.Pool(pool) {
		if server.Draining {
			continue
		}
		if server.Holds(name, "") {
			return 0
		}
		least = min(least, model.LoadTimeFrom(server.InMemory[name], server.OnDisk[name]))
	}
	return least
}
