package placement

import (
	"sort"
	"time"
)

const (
	// storeCost is added to a load's seconds for taking one of the store's
	// scarce loads.
	storeCost = 0.5
	// unloadTime is how long an unload of an idle model takes.
	unloadTime = 150 * time.Millisecond
	// shortestRun and longestRun bound what is taken as the time of a request, in
	// seconds.
	shortestRun, longestRun = 0.3, 6.0
	// shortestWait is expected where nothing tells how long a wait takes.
	shortestWait = 50 * time.Millisecond
	// crowdCost for each busy model on a server, in seconds: models on one server
	// share its batch.
	crowdCost = 0.25
	// zoneCost for a second replica in the same zone, in seconds.
	zoneCost = 0.1
)

// option is a way to place a replica.
type option struct {
	server  *Server
	victims []string
	// start is the time until the first order can be given, end until the replica
	// is there.
	start, end time.Duration
	// cost in seconds, what others lose included.
	cost float64
}

// option returns how a server would take the replica, or nil if it can't, or not at
// a lower cost than the best one so far.
func (p *plan) option(server *Server, w wish, best *option) *option {
	source, load := SourceOf(server, w.model)
	found := &option{server: server, start: p.freeIn(server), cost: p.crowding(server)}
	if source == FromStore {
		found.cost += storeCost
		if p.storeLoads <= 0 {
			found.start = max(found.start, p.NextStoreLoadIn, shortestWait)
		}
	}
	if server.Busy {
		found.start = max(found.start, shortestWait)
	}
	if p.zones[modelZone{w.model.Name, server.Zone}] {
		found.cost += zoneCost
	}
	if best != nil && found.cost+(found.start+load).Seconds() >= best.cost {
		return nil
	}
	if missing := w.model.SizeMB - p.freeBeside(server); missing > 0 {
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

// crowding is what the other models' requests on the server cost.
func (p *plan) crowding(server *Server) float64 {
	cost, known := p.crowdedBy[server.ID]
	if known {
		return cost
	}
	for name := range server.Models {
		if demand := p.Demand[name]; demand != nil && demand.Running > 0 {
			replicas := max(p.ready[name], 1)
			cost += crowdCost * float64(demand.Running) / float64(replicas*runningPerReplica)
		}
	}
	p.crowdedBy[server.ID] = cost
	return cost
}

// freeIn is the time until the server can take an order for a model for which no
// room is being made there yet.
func (p *plan) freeIn(server *Server) time.Duration {
	intended := p.Engine.Models[server.Intent]
	if intended == nil {
		return server.FreeIn
	}
	_, load := SourceOf(server, intended)
	return server.FreeIn + load
}

// freeBeside is the free memory of a server in MB, once it holds the model for
// which room is being made.
func (p *plan) freeBeside(server *Server) float64 {
	free := p.free(server)
	if intended := p.Engine.Models[server.Intent]; intended != nil && server.Intent != server.Loading {
		free -= intended.SizeMB
	}
	return free
}

// victim is a replica that may give way.
type victim struct {
	model string
	size  float64
	// cost in expected seconds of cold starts.
	cost float64
	// wait until it may give way.
	wait time.Duration
}

// weight orders victims: what they cost, and what waiting for them does.
func (v victim) weight() float64 { return v.cost + v.wait.Seconds() }

// victims are the replicas that have to go for the wish. None are returned if
// there is no way.
func (p *plan) victims(server *Server, w wish, missing float64) []victim {
	var candidates []victim
	for name, replica := range server.Models {
		found, may := p.victim(name, replica, w)
		if may && (w.cold || found.wait == 0) {
			candidates = append(candidates, found)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].weight() != candidates[j].weight() {
			return candidates[i].weight() < candidates[j].weight()
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

// idleIn is the time until a model's requests are expected to have ended, if few
// more come.
func (p *plan) idleIn(demand *Demand) time.Duration {
	if demand.Running == 0 {
		return 0
	}
	each := longestRun
	if demand.Rate > 0 {
		each = min(max(float64(demand.Running)/demand.Rate, shortestRun), longestRun)
	}
	last := 0.0
	for number := 1; number <= demand.Running; number++ {
		last += each / float64(number)
	}
	return time.Duration(last * float64(time.Second))
}

// victim tells whether a replica may give way to the wish, and what its loss
// costs.
func (p *plan) victim(name string, replica Replica, w wish) (victim, bool) {
	model := p.Engine.Models[name]
	if model == nil {
		return victim{}, false
	}
	found := victim{
		model: name, size: model.FootprintMB(len(replica.Adapters)), wait: max(residency-p.Now.Sub(replica.Since), 0),
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
		found.cost = 0.05 * demand.Rate
		return found, true
	}
	if !w.cold || demand.Waiting > 0 {
		// More replicas of one model are not worth another model's only one.
		return found, p.ready[name] > max(needed, 1)
	}
	idle := p.Now.Sub(demand.LastUsed).Seconds()
	// The chance of use within the next seconds, with what a cold start costs.
	const horizon = 8.0
	chance := min(demand.Rate*horizon, 1)/(1+idle/horizon) + 0.02
	found.cost = chance * (model.LoadTimeFrom(false, true).Seconds() + storeCost) / float64(p.ready[name])
	return found, true
}
