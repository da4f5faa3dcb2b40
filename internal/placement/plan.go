package placement

import (
	"maps"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// runningPerReplica is how many running or waiting requests call for one replica
	// of a model.
	runningPerReplica = 8
	// redundancyRate is the arrival rate per second from which a model gets two replicas,
	// so that the loss of one does not leave it cold.
	redundancyRate = 1.0
	// surplusFactor is the multiple of the needed replicas beyond which replicas are
	// surplus.
	surplusFactor = 1.6
	// minResidency is how long a replica is protected from eviction after its load.
	minResidency = 2 * time.Second
	// maxActiveAdapterShare is the share of a server's adapter slots that adapters in use
	// should take; above it the model gets another replica.
	maxActiveAdapterShare = 0.6
	// defaultLoadTime is assumed for models that are configured without a load time.
	defaultLoadTime = 2 * time.Second
)

// Plan returns the orders to send now, and when the models that requests wait for are
// expected to be ready.
func Plan(input *Input) Result {
	p := newPlan(input)
	losses := p.removalLosses()
	// Adapters come first: an adapter's load takes a few milliseconds, a model's seconds
	// in which its server takes no adapters.
	p.loadAdapters()
	p.loadModels()
	return Result{Actions: p.actions, ReadyIn: p.readyIn, RemovalLosses: losses}
}

// plan is the state of one Plan call.
type plan struct {
	*Input
	actions []Action
	// assigned servers got an action in this plan; reserved servers are kept for a replica
	// whose first order can't be sent yet, and get no action for another model.
	assigned, reserved map[string]bool
	// ready replicas by model, without those on draining or suspected servers.
	ready map[string]int
	// pending replicas by model: loading, or with memory being freed for them.
	pending map[string]int
	// unconfirmed replicas by model: their load was ordered without an answer.
	unconfirmed map[string]int
	// limited replicas by model.
	limited map[string]limitedReplicas
	// storeLoads is how many loads from the weight store are left.
	storeLoads int
	readyIn    map[string]time.Duration
	// zones in which a model is held.
	zones map[modelZone]bool
	// desiredByModel and crowdingByServer cache the results of desired and crowding.
	desiredByModel   map[string]int
	crowdingByServer map[string]float64
	// groups by model; nil if no server's load is known.
	groups map[string]*modelGroup
	// coldRequests caches the sum of storeContended; negative if it is not computed yet.
	coldRequests float64
}

type modelZone struct{ model, zone string }

func newPlan(input *Input) *plan {
	p := &plan{
		Input: input, assigned: map[string]bool{}, reserved: map[string]bool{}, ready: map[string]int{}, pending: map[string]int{},
		unconfirmed: map[string]int{}, limited: map[string]limitedReplicas{}, storeLoads: input.StoreLoads, readyIn: map[string]time.Duration{},
		zones: map[modelZone]bool{}, desiredByModel: map[string]int{}, crowdingByServer: map[string]float64{}, coldRequests: -1,
	}
	maps.Copy(p.ready, input.ReplicasElsewhere)
	for i := range input.Servers {
		server := &input.Servers[i]
		for model := range server.Models {
			p.zones[modelZone{model, server.Zone}] = true
		}
		if server.UnconfirmedLoad != "" {
			p.unconfirmed[server.UnconfirmedLoad]++
		}
		if server.Draining || server.Suspect {
			continue
		}
		for model := range server.Models {
			p.ready[model]++
			if server.Limited {
				p.limited[model] = p.limited[model].with(server.MaxPerSecond)
			}
		}
		if server.Loading != "" {
			p.pending[server.Loading]++
			p.recordReadyIn(server.Loading, server.FreeIn)
		}
		if server.Intent != "" && server.Intent != server.Loading {
			p.pending[server.Intent]++
			p.recordIntentReadyIn(server)
		}
	}
	p.groupServers()
	return p
}

// desired returns how many replicas the demand calls for.
func (p *plan) desired(model string, demand *Demand) int {
	count, known := p.desiredByModel[model]
	if !known {
		count = p.countDesired(model, demand)
		p.desiredByModel[model] = count
	}
	return count
}

func (p *plan) countDesired(model string, demand *Demand) int {
	need := (demand.Running + demand.Waiting + runningPerReplica - 1) / runningPerReplica
	if demand.Rate >= redundancyRate {
		need = max(need, 2)
	}
	need = max(need, p.replicasForAdapters(demand))
	if demand.Waiting > 0 {
		need = max(need, 1)
	}
	need = min(need, max((len(p.Servers)+p.ServersElsewhere)/3, 1)) + p.saturatedReplicas(model, demand)
	return max(need, p.replicasWorthKeeping(model))
}

// limitedReplicas are a model's replicas on servers with a rate limit, with the sum of
// the limits in requests per second.
type limitedReplicas struct {
	count     int
	perSecond float64
}

func (l limitedReplicas) with(perSecond float64) limitedReplicas {
	return limitedReplicas{count: l.count + 1, perSecond: l.perSecond + perSecond}
}

// saturatedReplicas returns how many replicas are on rate-limited servers if these take fewer
// requests than arrive: as many others are needed beside them. For a model with 10 requests a
// second whose only server takes 0.5, 13 of 202 requests were served in 20 s without this, and
// 193 of 202 with it (virtual time, a load of 1 s).
func (p *plan) saturatedReplicas(model string, demand *Demand) int {
	limited := p.limited[model]
	if demand.Rate <= limited.perSecond {
		return 0
	}
	return limited.count
}

// replicasForAdapters returns how many replicas are needed to hold the adapters that are in
// use at the same time.
func (p *plan) replicasForAdapters(demand *Demand) int {
	inUse := 0
	for _, adapter := range demand.Adapters {
		if adapter.Running+adapter.Waiting > 0 {
			inUse++
		}
	}
	slots := maxActiveAdapterShare * float64(p.Engine.AdapterSlots)
	if slots < 1 || inUse == 0 {
		return 0
	}
	return int(float64(inUse)/slots) + 1
}

// wantedReplica is a replica that the demand calls for and that is missing.
type wantedReplica struct {
	model  *fleet.Model
	demand *Demand
	// cold is set if no replica of the model is ready or pending.
	cold bool
	// waiting is the number of waiting requests, weighted by priority if loads are known.
	waiting float64
}

// loadModels loads the models for which memory was freed, and then the replicas that the
// demand calls for: models without any replica first, and those that relieve full servers last.
func (p *plan) loadModels() {
	p.continueIntents()
	wanted := p.wantedReplicas()
	for _, replica := range wanted {
		p.place(replica)
	}
	p.relieveServers()
	if p.LoadAhead && len(wanted) == 0 {
		p.loadAhead()
	}
}

func (p *plan) wantedReplicas() []wantedReplica {
	var wanted []wantedReplica
	for name, demand := range p.Demand {
		model := p.Engine.Models[name]
		if model == nil {
			continue
		}
		have := p.ready[name] + p.pending[name]
		cold := have == 0
		if !cold {
			// A cold model must not depend on an unanswered order, which may never be carried
			// out.
			have += p.unconfirmed[name]
		}
		if have < p.desired(name, demand) {
			wanted = append(wanted, wantedReplica{model: model, demand: demand, cold: cold, waiting: p.waiting(demand)})
		}
	}
	sort.Slice(wanted, func(i, j int) bool { return wanted[i].before(wanted[j]) })
	return wanted
}

// before orders wanted replicas by the benefit of their loads: cold models first, then by
// waiting requests and by rate.
func (w wantedReplica) before(other wantedReplica) bool {
	if w.cold != other.cold {
		return w.cold
	}
	if w.waiting != other.waiting {
		return w.waiting > other.waiting
	}
	if w.demand.Rate != other.demand.Rate {
		return w.demand.Rate > other.demand.Rate
	}
	return w.model.Name < other.model.Name
}

// continueIntents loads the models for which memory was freed, if they are still needed.
func (p *plan) continueIntents() {
	for i := range p.Servers {
		server := &p.Servers[i]
		model := p.Engine.Models[server.Intent]
		if model == nil || server.Loading != "" || !p.usable(server) {
			continue
		}
		if _, holds := server.Models[model.Name]; holds || !p.stillNeeded(server, model.Name) {
			continue
		}
		p.loadOn(server, model, "room was made")
	}
}

// stillNeeded reports whether the model's demand calls for all its ready and pending replicas, or
// the one for which memory was freed on the server still relieves others.
func (p *plan) stillNeeded(server *Server, model string) bool {
	demand := p.Demand[model]
	return demand != nil && (p.ready[model]+p.pending[model] <= p.desired(model, demand) || p.intentGain(server, model) >= retainedLoss)
}

// usable reports whether the server may get an order in this plan.
func (p *plan) usable(server *Server) bool {
	return !server.Busy && !server.Draining && !server.Suspect && !server.RecordOnly && !p.assigned[server.ID]
}

// place finds the server where the replica has the lowest cost, which is mainly the time
// until it is ready. If that server can't begin now, it is reserved for the replica and no
// order is sent.
func (p *plan) place(w wantedReplica) {
	best := p.bestOption(w)
	if best == nil {
		return
	}
	if w.cold {
		p.recordReadyIn(w.model.Name, best.end)
	}
	if best.start > 0 {
		p.reserved[best.server.ID] = true
		return
	}
	if len(best.victims) == 0 {
		p.loadOn(best.server, w.model, w.reason())
		return
	}
	p.unloadFor(best.server, best.victims[0], w.model)
}

func (p *plan) bestOption(w wantedReplica) *option {
	var best *option
	for i := range p.Servers {
		server := &p.Servers[i]
		if _, holds := server.Models[w.model.Name]; holds || !p.mayWaitFor(server, w) {
			continue
		}
		if candidate := p.evaluate(server, w, best); candidate != nil {
			best = candidate
		}
	}
	return best
}

// mayWaitFor reports whether the server takes an order now or, for a model that no server
// holds, once the order under way has ended.
func (p *plan) mayWaitFor(server *Server, w wantedReplica) bool {
	if server.Draining || server.Suspect || server.RecordOnly || p.assigned[server.ID] || p.reserved[server.ID] || server.Intent == w.model.Name {
		return false
	}
	return w.cold || !server.Busy && server.Intent == ""
}

// recordReadyIn keeps the shortest time until the model is ready somewhere.
func (p *plan) recordReadyIn(model string, in time.Duration) {
	if earliest, known := p.readyIn[model]; !known || in < earliest {
		p.readyIn[model] = in
	}
}

// recordIntentReadyIn records the time until the model is ready for which the server is
// freeing memory.
func (p *plan) recordIntentReadyIn(server *Server) {
	if model := p.Engine.Models[server.Intent]; model != nil {
		_, load := SourceOf(server, model)
		p.recordReadyIn(server.Intent, server.FreeIn+load)
	}
}

// unloadFor unloads a victim to free memory for a model. The victim's count of replicas
// falls at once: otherwise one plan could evict all its replicas, since each of them may be
// evicted as long as the others stay.
func (p *plan) unloadFor(server *Server, victim string, model *fleet.Model) {
	p.assigned[server.ID] = true
	p.ready[victim]--
	p.actions = append(p.actions, Action{
		Kind: Unload, Server: server.ID, Model: victim, Intent: model.Name, Expected: unloadTime, Reason: "makes room",
	})
}

func (w wantedReplica) reason() string {
	if w.cold {
		return "cold"
	}
	return "more replicas"
}

// loadOn orders the load, or the first unload that it needs.
func (p *plan) loadOn(server *Server, model *fleet.Model, reason string) {
	if p.freeMemory(server) < model.SizeMB {
		victims := p.victims(server, wantedReplica{model: model, demand: &Demand{}, cold: true}, model.SizeMB-p.freeMemory(server))
		if len(victims) > 0 && victims[0].wait == 0 {
			p.unloadFor(server, victims[0].model, model)
		}
		return
	}
	source, expected := SourceOf(server, model)
	if source == FromStore {
		if p.storeLoads <= 0 {
			return
		}
		p.storeLoads--
	}
	p.assigned[server.ID] = true
	p.actions = append(p.actions, Action{
		Kind: Load, Server: server.ID, Model: model.Name, Source: source, Expected: expected, Reason: reason,
	})
}

// SourceOf returns where a server reads a model's weights from, and how long a load from
// there takes without contention.
func SourceOf(server *Server, model *fleet.Model) (Source, time.Duration) {
	load := model.LoadTime
	if load <= 0 {
		load = defaultLoadTime
	}
	if server.InMemory[model.Name] && model.WarmTime > 0 {
		return FromMemory, model.WarmTime
	}
	if server.OnDisk[model.Name] && model.DiskTime > 0 {
		return FromDisk, model.DiskTime
	}
	return FromStore, load
}

// freeMemory returns a server's free memory in MB; 0 if the server holds a model that is
// not configured.
func (p *plan) freeMemory(server *Server) float64 {
	used := 0.0
	for name, replica := range server.Models {
		model := p.Engine.Models[name]
		if model == nil {
			return 0
		}
		used += model.FootprintMB(len(replica.Adapters))
	}
	if loading := p.Engine.Models[server.Loading]; loading != nil {
		used += loading.SizeMB
	}
	return p.Engine.MemoryMB - used
}
