package orders

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// loadAverageTime is the time constant of the average over a server's loads. A load varies by
// some requests within the time of one, while a replica that it calls for is loaded for seconds.
const loadAverageTime = 3 * time.Second

// loadAverage is the average load of one incarnation of a server.
type loadAverage struct {
	server fleet.Incarnation
	load   float64
	at     time.Time
}

// add adds the newest load of an incarnation and returns the average. It starts anew with another
// incarnation, and if no load was known for longer than a load is in force.
func (a *loadAverage) add(server fleet.Incarnation, load float64, now time.Time) float64 {
	elapsed := now.Sub(a.at)
	if a.server != server || elapsed > observation.LoadLifetime {
		a.load = load
	} else {
		a.load += (load - a.load) * (1 - math.Exp(-elapsed.Seconds()/loadAverageTime.Seconds()))
	}
	a.server, a.at = server, now
	return a.load
}

// setLoad sets the load of a server as input of the planner, if nodes tell each other the loads of
// such servers. It must be called with the lock held.
func (h *Holder) setLoad(server *placement.Server, held *entry, now time.Time) {
	table, incarnation := h.config.Observations, held.server.Incarnation()
	load, _, known := table.Load(incarnation, now)
	if !known || !table.SharesLoads(load.Slots) {
		return
	}
	server.Load = held.load.add(incarnation, float64(load.Running+load.Waiting), now)
	server.Slots = load.Slots
	if load.Slowdown > 0 {
		server.Speed = 1 / load.Slowdown
	}
}

// recentLosses returns the recent losses of a pool's models in this term. It must be called with
// the lock held.
func (h *Holder) recentLosses(pool string) *placement.RecentLosses {
	found := h.recent[pool]
	if found == nil {
		found = placement.NewRecentLosses()
		h.recent[pool] = found
	}
	return found
}
