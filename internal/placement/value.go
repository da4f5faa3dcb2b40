package placement

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placevalue"
)

const (
	// valueHorizon is how long demand is expected to last, as for recent losses: a replica is worth
	// less by the time that its own load takes of it.
	valueHorizon = recentTime
	// minGain is the gain from which a further replica is loaded, in lost requests per second.
	minGain = 0.05
	// retainedLoss is the loss by its removal from which a further replica stays, in lost
	// requests per second. It is half of minGain, so that a small change of the load does not
	// evict what was just loaded.
	retainedLoss = minGain / 2
	// settleTime is the time after a replica's load until the servers' loads show what it
	// relieves: queues have to drain, and loads are averages over some seconds.
	settleTime = 6 * time.Second
	// maxCostShare is the share of a replica's gain that it may cost others.
	maxCostShare = 2.0 / 3
	// slowServerCost in seconds is added for a server that takes twice the usual time for its
	// work, and in proportion for other speeds.
	slowServerCost = 0.5
)

// ReasonRelief is the reason of loads of further replicas that were chosen by value, and of the
// unloads that free memory for them.
const ReasonRelief = "relieves full servers"

// loadKnown reports whether the server's load is known.
func (s *Server) loadKnown() bool { return s.Slots > 0 }

// speed returns the server's speed as a multiple of usual; 1 if it is not known.
func (s *Server) speed() float64 {
	if s.Speed <= 0 {
		return 1
	}
	return s.Speed
}

// value returns the server's load as input of package placevalue.
func (s *Server) value() placevalue.Server {
	return placevalue.Server{Load: s.Load, Capacity: float64(s.Slots) * s.speed()}
}

// modelGroup is the servers that hold a model or are about to.
type modelGroup struct {
	placevalue.Group
	// known is the number of them whose load is known. The others count as idle.
	known int
	// settled is the number of them that have held the model for settleTime.
	settled int
}

// add adds a server to the group.
func (g *modelGroup) add(server *Server, engine *fleet.Engine) {
	g.Servers++
	if !server.loadKnown() {
		g.Capacity += float64(engine.Slots) * server.speed()
		return
	}
	g.known++
	held := server.value()
	g.Load += held.Load
	g.Capacity += held.Capacity
}

// mayGrow reports whether the group has more servers that have held the model for some time than
// others: otherwise its load does not show yet what the new ones relieve.
func (g *modelGroup) mayGrow() bool { return g.Servers-g.settled < g.settled }

// groupServers groups the servers by model if the load of any is known. Otherwise no decision
// depends on loads.
func (p *plan) groupServers() {
	for i := range p.Servers {
		if server := &p.Servers[i]; server.loadKnown() {
			p.groups = map[string]*modelGroup{}
			break
		}
	}
	if p.groups == nil {
		return
	}
	for i := range p.Servers {
		if server := &p.Servers[i]; !server.Draining && !server.Suspect {
			p.groupServer(server)
		}
	}
	for name, group := range p.groups {
		p.completeGroup(name, group)
	}
}

// groupServer adds a server to the groups of the models that it holds, loads or may load.
func (p *plan) groupServer(server *Server) {
	for name, replica := range server.Models {
		group := p.group(name)
		group.add(server, p.Engine)
		if p.Now.Sub(replica.Since) >= settleTime {
			group.settled++
		}
	}
	coming := map[string]bool{server.Loading: true, server.Intent: true, server.UnconfirmedLoad: true}
	delete(coming, "")
	for name := range coming {
		if _, holds := server.Models[name]; !holds {
			p.group(name).add(server, p.Engine)
		}
	}
}

func (p *plan) group(model string) *modelGroup {
	found := p.groups[model]
	if found == nil {
		found = &modelGroup{Group: placevalue.Group{CallerTime: p.CallerTime}}
		p.groups[model] = found
	}
	return found
}

// completeGroup adds the servers that are not in the input, which are assumed to be like those
// that are, and the model's demand.
func (p *plan) completeGroup(name string, group *modelGroup) {
	if elsewhere := p.ReplicasElsewhere[name]; elsewhere > 0 {
		scale := float64(group.Servers+elsewhere) / float64(group.Servers)
		group.Servers += elsewhere
		group.settled += elsewhere
		group.Load *= scale
		group.Capacity *= scale
	}
	if demand := p.Demand[name]; demand != nil {
		group.Own = min(float64(demand.Running), group.Load)
		group.Rate = demand.Rate
	}
}

// waiting returns the number of waiting requests, weighted by priority if loads are known. The
// priority of other requests is not reported, so that they all count as much.
func (p *plan) waiting(demand *Demand) float64 {
	if p.groups == nil {
		return float64(demand.Waiting)
	}
	return float64(demand.Waiting) * placevalue.Weight(demand.Priority)
}

// replicasWorthKeeping returns the number of ready and pending replicas of the model if the
// removal of one would lose requests; otherwise 0.
func (p *plan) replicasWorthKeeping(model string) int {
	group := p.groups[model]
	if group == nil || group.known == 0 || group.RemovalLoss() < retainedLoss {
		return 0
	}
	return p.ready[model] + p.pending[model]
}

// intentGain returns the lost requests per second that the server will avoid as another replica of
// its intended model; 0 if its load is not known. RemovalLoss assumes that all servers have the same
// load, while a relief is ordered on one with little.
func (p *plan) intentGain(server *Server, model string) float64 {
	group := p.groups[model]
	if group == nil || group.known < 2 || !server.loadKnown() {
		return 0
	}
	others, there := group.Group, server.value()
	others.Servers--
	others.Load -= there.Load
	others.Capacity -= there.Capacity
	return others.Gain(there)
}

// measuredCrowding returns the cost in seconds of sharing a server whose load is known.
func measuredCrowding(server *Server) float64 {
	cost := crowdCost * server.Load / runningPerReplica / server.speed()
	return cost + slowServerCost*max(1/server.speed()-1, 0)
}

// relieveServers loads further replicas of the models that fill their servers, where these are
// worth more than what they cost other models. They come after the models without any replica.
func (p *plan) relieveServers() {
	for _, wanted := range p.crowdedModels() {
		if best := p.bestRelief(wanted); best != nil {
			p.orderRelief(wanted, best)
		}
	}
}

// crowdedModel is a model that fills its servers.
type crowdedModel struct {
	model *fleet.Model
	group *modelGroup
	// maxGain is the gain of a replica on an idle server.
	maxGain float64
}

// crowdedModels returns the models that fill their servers, the one with the highest gain first.
func (p *plan) crowdedModels() []crowdedModel {
	var found []crowdedModel
	for name, group := range p.groups {
		model := p.Engine.Models[name]
		if model == nil || group.known == 0 || p.ready[name] == 0 || !group.Crowded() || !group.mayGrow() {
			continue
		}
		idle := placevalue.Server{Capacity: float64(p.Engine.Slots)}
		if gain := group.Gain(idle); gain >= minGain {
			found = append(found, crowdedModel{model: model, group: group, maxGain: gain})
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].maxGain != found[j].maxGain {
			return found[i].maxGain > found[j].maxGain
		}
		return found[i].model.Name < found[j].model.Name
	})
	return found
}

// relief is a way to place a further replica. Gain and cost are in lost requests per second.
type relief struct {
	server *Server
	source Source
	// victim is the model to unload for it; empty if memory is free.
	victim     string
	gain, cost float64
}

// net returns the gain after the cost; 0 for nil.
func (r *relief) net() float64 {
	if r == nil {
		return 0
	}
	return r.gain - r.cost
}

// bestRelief returns the way with the highest gain after its cost, or nil if none is worth it.
func (p *plan) bestRelief(wanted crowdedModel) *relief {
	var best *relief
	for i := range p.Servers {
		server := &p.Servers[i]
		if _, holds := server.Models[wanted.model.Name]; holds || !p.takesRelief(server) {
			continue
		}
		if found := p.reliefOn(server, wanted); found != nil && found.net() > best.net() {
			best = found
		}
	}
	return best
}

// takesRelief reports whether the server may get a further replica now. One with a rate limit of
// its own relieves others by less than its free slots show.
func (p *plan) takesRelief(server *Server) bool {
	return server.loadKnown() && !server.Limited && p.usable(server) && !p.reserved[server.ID] && server.Intent == "" && server.UnconfirmedLoad == ""
}

// reliefOn returns how the server would take a further replica; nil if it can't, or if that costs
// more than maxCostShare of the gain.
func (p *plan) reliefOn(server *Server, wanted crowdedModel) *relief {
	source, load := SourceOf(server, wanted.model)
	if source == FromStore && p.storeLoads <= 0 {
		return nil
	}
	found := &relief{server: server, source: source}
	found.gain = wanted.group.Gain(server.value()) * max(1-load.Seconds()/valueHorizon.Seconds(), 0)
	if found.gain < minGain {
		return nil
	}
	if source == FromStore && p.storeContended() {
		// The request that waits for the cold model waits for this load as well.
		found.cost = placevalue.WaitLoss(load, p.CallerTime) / valueHorizon.Seconds()
	}
	if missing := wanted.model.SizeMB - p.freeMemory(server); missing > 0 {
		victim, loss, exists := p.cheapestPlace(server, missing)
		if !exists {
			return nil
		}
		found.victim = victim
		found.cost += loss
	}
	if found.cost > maxCostShare*found.gain {
		return nil
	}
	return found
}

// cheapestPlace returns the replica on the server whose eviction frees the memory in MB at the
// lowest loss. Only one is evicted for a further replica.
func (p *plan) cheapestPlace(server *Server, missing float64) (victim string, loss float64, exists bool) {
	for name, replica := range server.Models {
		model := p.Engine.Models[name]
		if model == nil || model.FootprintMB(len(replica.Adapters)) < missing {
			continue
		}
		found, may := p.evictionLoss(server, model, replica)
		if may && (!exists || found < loss || found == loss && name < victim) {
			victim, loss, exists = name, found, true
		}
	}
	return victim, loss, exists
}

// evictionLoss returns the lost requests per second if a replica is evicted for a further replica
// of another model. It may not be evicted while requests run or wait, before it has been there for
// as long as its load takes, or if the model's demand calls for it.
func (p *plan) evictionLoss(server *Server, model *fleet.Model, replica Replica) (loss float64, may bool) {
	if p.Now.Sub(replica.Since) < max(loadTimeOf(model), minResidency) {
		return 0, false
	}
	ready, demand := p.ready[model.Name], p.Demand[model.Name]
	if demand == nil {
		demand = &Demand{}
	}
	if ready < 1 || demand.Running > 0 || demand.Waiting > 0 {
		return 0, false
	}
	if ready == 1 {
		return p.lastReplica(server, model, replica, demand).Loss(), true
	}
	return p.furtherReplicaLoss(model.Name), ready > max(p.desired(model.Name, demand), 1)
}

// lastReplica describes the only replica of a model. Its time without a request is counted from
// when the replica was loaded, or when requests began to be counted, if that is later.
func (p *plan) lastReplica(server *Server, model *fleet.Model, replica Replica, demand *Demand) placevalue.LastReplica {
	since := demand.LastUsed
	for _, later := range []time.Time{replica.Since, p.CountedSince} {
		if later.After(since) {
			since = later
		}
	}
	idle := time.Duration(0)
	if !since.IsZero() {
		idle = p.Now.Sub(since)
	}
	source, reload := SourceOf(server, model)
	return placevalue.LastReplica{Idle: idle, Rate: demand.Rate, Reload: reload, CallerTime: p.CallerTime, StoreContended: source == FromStore && p.storeContended()}
}

// loadTimeOf returns the time of a load of the model from the weight store without contention.
func loadTimeOf(model *fleet.Model) time.Duration {
	if model.LoadTime <= 0 {
		return defaultLoadTime
	}
	return model.LoadTime
}

// storeContended reports whether a load from the weight store delays that of a cold model: at most
// reservedStoreLoads may begin, and requests for cold models wait or are expected while it lasts.
func (p *plan) storeContended() bool {
	if p.storeLoads > reservedStoreLoads {
		return false
	}
	if p.coldRequests < 0 {
		p.coldRequests = 0
		// In order of name, since the order of the summands changes the sum.
		for _, name := range slices.Sorted(maps.Keys(p.Demand)) {
			demand := p.Demand[name]
			if model := p.Engine.Models[name]; model != nil && p.ready[name]+p.pending[name] == 0 {
				p.coldRequests += float64(demand.Waiting) + demand.Rate*loadTimeOf(model).Seconds()
			}
		}
	}
	return p.coldRequests >= 1
}

// delaysColdModel reports whether a load of the replica from the weight store would delay that of a
// cold model, although the servers that hold the replica's model have room: more than the two
// replicas that a model gets for the case that a server is lost.
func (p *plan) delaysColdModel(w wantedReplica) bool {
	name := w.model.Name
	group := p.groups[name]
	return group != nil && group.known > 0 && p.ready[name]+p.pending[name] >= 2 && !group.Full() && p.storeContended()
}

// orderRelief orders the load of a further replica, or the unload that it needs.
func (p *plan) orderRelief(wanted crowdedModel, best *relief) {
	p.assigned[best.server.ID] = true
	action := Action{
		Kind: Load, Server: best.server.ID, Model: wanted.model.Name, Source: best.source,
		Reason: ReasonRelief, Value: best.gain, Cost: best.cost,
	}
	_, action.Expected = SourceOf(best.server, wanted.model)
	if best.source == FromStore {
		p.storeLoads--
	}
	if best.victim != "" {
		p.ready[best.victim]--
		action.Kind, action.Model, action.Source = Unload, best.victim, FromMemory
		action.Intent, action.Expected = wanted.model.Name, unloadTime
	}
	p.actions = append(p.actions, action)
}
