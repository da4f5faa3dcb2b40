package placement

import (
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// storeCost in seconds is added for a load from the weight store, whose rate of loads
	// is limited.
	storeCost = 0.5
	// unloadTime is how long an unload of an idle model takes.
	unloadTime = 150 * time.Millisecond
	// minRunSeconds and maxRunSeconds bound the estimated duration of a request.
	minRunSeconds, maxRunSeconds = 0.3, 6.0
	// minWait is the shortest wait that is assumed for a busy server or for the weight
	// store, whose own estimates may be zero.
	minWait = 50 * time.Millisecond
	// crowdCost in seconds is added for each fully used replica on a server: models on one
	// server share its batch.
	crowdCost = 0.25
	// horizon in seconds is the time after an eviction for which its cost is estimated.
	horizon = 8.0
	// zoneCost in seconds is added for a second replica in the same zone.
	zoneCost = 0.1
)

// option is a way to place a replica.
type option struct {
	server *Server
	// victims are the models to unload for it, in this order.
	victims []string
	// start is the time until the first order can be sent, end that until the replica
	// is ready.
	start, end time.Duration
	// cost in seconds, including that to other models.
	cost float64
}

// evaluate returns how a server would take the replica, or nil if it can't or if the cost
// is not lower than that of the best option so far.
func (p *plan) evaluate(server *Server, w wantedReplica, best *option) *option {
	source, load := SourceOf(server, w.model)
	if source == FromStore && p.delaysColdModel(w) {
		return nil
	}
	found := &option{server: server, start: p.freeIn(server), cost: p.crowding(server)}
	if source == FromStore {
		found.cost += storeCost
		if p.storeLoads <= 0 {
			found.start = max(found.start, p.NextStoreLoadIn, minWait)
		}
	}
	if server.Busy {
		found.start = max(found.start, minWait)
	}
	if p.zones[modelZone{w.model.Name, server.Zone}] {
		found.cost += zoneCost
	}
	if best != nil && found.cost+(found.start+load).Seconds() >= best.cost {
		return nil
	}
	if missing := w.model.SizeMB - p.freeMemoryAfterIntent(server); missing > 0 {
		victims := p.victims(server, w, missing)
		if len(victims) == 0 {
			return nil
		}
		for _, victim := range victims {
			found.victims = append(found.victims, victim.model)
			found.cost += victim.cost
			found.start = max(found.start, victim.wait)
		}
	}
	found.end = found.start + time.Duration(len(found.victims))*unloadTime + load
	found.cost += found.end.Seconds()
	if best != nil && found.cost >= best.cost {
		return nil
	}
	return found
}

// crowding returns the cost in seconds of sharing the server with the running requests of
// the models that it holds.
func (p *plan) crowding(server *Server) float64 {
	if server.loadKnown() {
		return measuredCrowding(server)
	}
	cost, known := p.crowdingByServer[server.ID]
	if known {
		return cost
	}
	for name := range server.Models {
		if demand := p.Demand[name]; demand != nil && demand.Running > 0 {
			replicas := max(p.ready[name], 1)
			cost += crowdCost * float64(demand.Running) / float64(replicas*runningPerReplica)
		}
	}
	p.crowdingByServer[server.ID] = cost
	return cost
}

// freeIn returns the time until the server can take an order for a model other than its
// intent.
func (p *plan) freeIn(server *Server) time.Duration {
	intended := p.Engine.Models[server.Intent]
	if intended == nil {
		return server.FreeIn
	}
	_, load := SourceOf(server, intended)
	return server.FreeIn + load
}

// freeMemoryAfterIntent returns a server's free memory in MB once it holds the model for
// which memory is being freed.
func (p *plan) freeMemoryAfterIntent(server *Server) float64 {
	free := p.freeMemory(server)
	if intended := p.Engine.Models[server.Intent]; intended != nil && server.Intent != server.Loading {
		free -= intended.SizeMB
	}
	return free
}

// victim is a replica that may be evicted.
type victim struct {
	model string
	// size in MB, with its adapters.
	size float64
	// cost of the eviction, in expected seconds of cold starts.
	cost float64
	// wait is the time until it may be evicted.
	wait time.Duration
}

// totalSeconds is the cost of the eviction with the wait for it. Victims with the lowest
// total go first.
func (v victim) totalSeconds() float64 { return v.cost + v.wait.Seconds() }

// victims returns the replicas to evict on the server to free the missing memory in MB, or
// nil if that can't be done.
func (p *plan) victims(server *Server, w wantedReplica, missing float64) []victim {
	var candidates []victim
	for name, replica := range server.Models {
		found, may := p.victim(server, name, replica, w)
		if may && (w.cold || found.wait == 0) {
			candidates = append(candidates, found)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].totalSeconds() != candidates[j].totalSeconds() {
			return candidates[i].totalSeconds() < candidates[j].totalSeconds()
		}
		return candidates[i].model < candidates[j].model
	})
	for i, candidate := range candidates {
		missing -= candidate.size
		if missing <= 0 {
			return candidates[:i+1]
		}
	}
	return nil
}

// idleIn estimates the time until a model's running requests have ended, if few more
// arrive.
func (p *plan) idleIn(demand *Demand) time.Duration {
	if demand.Running == 0 {
		return 0
	}
	each := maxRunSeconds
	if demand.Rate > 0 {
		each = min(max(float64(demand.Running)/demand.Rate, minRunSeconds), maxRunSeconds)
	}
	last := 0.0
	for number := 1; number <= demand.Running; number++ {
		last += each / float64(number)
	}
	return time.Duration(last * float64(time.Second))
}

// residency returns how long a replica is protected from eviction after its load: for at least as
// long as the server would take to load it again, if the server's load is known.
func (p *plan) residency(server *Server, model *fleet.Model) time.Duration {
	if !server.loadKnown() {
		return minResidency
	}
	_, reload := SourceOf(server, model)
	return max(reload, minResidency)
}

// victim reports whether a replica may be evicted for the wanted one, and at which cost.
func (p *plan) victim(server *Server, name string, replica Replica, w wantedReplica) (victim, bool) {
	model := p.Engine.Models[name]
	if model == nil {
		return victim{}, false
	}
	found := victim{
		model: name, size: model.FootprintMB(len(replica.Adapters)), wait: max(p.residency(server, model)-p.Now.Sub(replica.Since), 0),
	}
	demand := p.Demand[name]
	if demand == nil {
		return found, true
	}
	needed := p.desired(name, demand)
	surplus := float64(p.ready[name]) > surplusFactor*float64(max(needed, 1))
	if demand.Running > 0 && !surplus {
		found.wait = max(found.wait, p.idleIn(demand))
	}
	if p.ready[name] > 1 && surplus {
		// Further replicas that were needed recently cost more, and give way only to a
		// model without replica or to one for which a place is worth more.
		recent := p.recentLoss(name)
		found.cost = 0.05*demand.Rate + recent*horizon
		return found, w.cold || recent < retainedLoss
	}
	if !w.cold || demand.Waiting > 0 {
		// A replica that its own model needs is evicted only for a model that has none, and
		// not while requests wait for it.
		return found, p.ready[name] > max(needed, 1)
	}
	idle := p.Now.Sub(demand.LastUsed).Seconds()
	// The probability of a request within the horizon, times the cost of a cold start.
	probability := min(demand.Rate*horizon, 1)/(1+idle/horizon) + 0.02
	found.cost = probability * (model.LoadTimeFrom(false, true).Seconds() + storeCost) / float64(p.ready[name])
	return found, true
}
