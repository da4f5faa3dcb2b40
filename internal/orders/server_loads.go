package orders

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// loadAverageTime is the time constant of the average over a server's loads and speeds. A load
// varies by some requests within the time of one, and a server may be slowed for a fraction of a
// second, while a replica that they call for is loaded for seconds.
const loadAverageTime = 3 * time.Second

// loadAverage is the average load of one incarnation of a server.
type loadAverage struct {
	server fleet.Incarnation
	load   float64
	// speed is the average speed as a multiple of usual; 0 if not reported.
	speed float64
	at    time.Time
}

// add adds the newest load and speed of an incarnation. It starts anew with another incarnation, and
// if no load was known for longer than a load is in force. A speed of 0 is not known.
func (a *loadAverage) add(server fleet.Incarnation, load, speed float64, now time.Time) {
	elapsed := now.Sub(a.at)
	if a.server != server || elapsed > observation.LoadLifetime {
		*a = loadAverage{server: server, load: load, speed: speed, at: now}
		return
	}
	share := 1 - math.Exp(-elapsed.Seconds()/loadAverageTime.Seconds())
	a.load += (load - a.load) * share
	switch {
	case speed <= 0:
	case a.speed <= 0:
		a.speed = speed
	default:
		a.speed += (speed - a.speed) * share
	}
	a.at = now
}

// setLoad sets the load of a server as input of the planner, if nodes tell each other the loads of
// such servers. It must be called with the lock held.
func (h *Holder) setLoad(server *placement.Server, held *entry, now time.Time) {
	table, incarnation := h.config.Observations, held.server.Incarnation()
	load, _, known := table.Load(incarnation, now)
	if !known || !table.SharesLoads(load.Slots) {
		return
	}
	speed := 0.0
	if load.Slowdown > 0 {
		speed = 1 / load.Slowdown
	}
	held.load.add(incarnation, float64(load.Running+load.Waiting), speed, now)
	server.Load, server.Slots, server.Speed = held.load.load, load.Slots, held.load.speed
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
