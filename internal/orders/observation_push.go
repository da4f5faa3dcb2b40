package orders

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
)

const (
	// reachPausePerNode times the number of nodes passes between messages to all nodes about
	// servers that became unreachable or answer again, as for rate limits.
	reachPausePerNode = limitPausePerNode
	// requestedTime is how long after a request a node is sent the loads of the model's servers.
	requestedTime = 10 * time.Second
	// ratePeriod is the minimum time between a node's updates of arrival rates. They are
	// averages over some seconds, and expire after three of these periods.
	ratePeriod = time.Second
	// maxRates bounds the arrival rates in a message.
	maxRates = 64
	// maxServersLookedAt bounds the servers of a model, or of a pool without models, that an update
	// looks at; the next one looks at the next of them. A look takes some 50 ns, and a holder
	// with 985 nodes makes 400 updates per second.
	maxServersLookedAt = 512
	// minRate is the arrival rate, in requests per second, below which a model's is not sent: over
	// all nodes, less than one request while loads are in force.
	minRate = 0.1
)

// observationPushes is the state of a holder that sends observations to nodes.
type observationPushes struct {
	// reachPushed is the version up to which all nodes were sent which servers are unreachable,
	// at reachPushedAt.
	reachPushed   uint64
	reachPushedAt time.Time
	// loadsPushedAt is when nodes were last looked for whose update of loads is due.
	loadsPushedAt time.Time
	// rates of all models, computed at ratesAt.
	rates   map[modelKey]float64
	ratesAt time.Time
}

// pushedLoads is what a process of a node was sent of the servers' loads.
type pushedLoads struct {
	received observation.Received
	// updates counts the updates of loads.
	updates int
	// at and ratesAt are when loads and rates were last sent.
	at, ratesAt time.Time
}

// pushReachChanges sends all nodes which servers became unreachable, or answer again. Otherwise each
// node would discover a crashed server by a refused connection of its own.
func (h *Holder) pushReachChanges(term *Term, now time.Time) {
	table, state := h.config.Observations, &h.observations
	if table.ReachVersion() == state.reachPushed {
		return
	}
	live := h.demand.liveNodes(now)
	if now.Sub(state.reachPushedAt) < time.Duration(len(live))*reachPausePerNode {
		return
	}
	changes, senders, version := table.ReachChanges(state.reachPushed, now)
	state.reachPushed = version
	if len(changes) == 0 {
		return
	}
	state.reachPushedAt = now
	for address, name := range live {
		update := Update{HolderToken: term.Token, Observations: withoutOwn(changes, senders, address)}
		if name != h.config.Name && len(update.Observations) > 0 {
			h.config.Push(address, update)
		}
	}
}

// withoutOwn returns the observations that the node at the address did not send itself.
func withoutOwn(observations []observation.Observation, senders []string, address string) []observation.Observation {
	if !slices.Contains(senders, address) {
		return observations
	}
	var others []observation.Observation
	for i, sender := range senders {
		if sender != address {
			others = append(others, observations[i])
		}
	}
	return others
}

// pushLoads sends the nodes whose update is due the loads of the servers that their callers' requests
// may be sent to, and the arrival rates of the models.
func (h *Holder) pushLoads(term *Term, snapshot *fleet.Snapshot, now time.Time) {
	table, state := h.config.Observations, &h.observations
	if !table.HasSharedLoads(now) {
		return
	}
	due := h.demand.dueForLoads(table.UpdatePeriod(), now.Sub(state.loadsPushedAt), now)
	state.loadsPushedAt = now
	if len(due) == 0 {
		return
	}
	if now.Sub(state.ratesAt) >= observation.UpdatePeriod(0) {
		state.rates, state.ratesAt = h.demand.rates(now), now
	}
	poolsWithoutModels := poolsWithoutModels(snapshot)
	for i := range due {
		node := &due[i]
		node.pushed.at = now
		node.models = append(node.models, poolsWithoutModels...)
		update := h.loadsFor(node, snapshot, now)
		if len(update.Observations) > 0 || len(update.Rates) > 0 {
			update.HolderToken = term.Token
			h.config.Push(node.address, update)
		}
	}
}

// loadsFor returns the loads and arrival rates that a node is sent.
func (h *Holder) loadsFor(node *dueNode, snapshot *fleet.Snapshot, now time.Time) Update {
	lists := make([][]*fleet.Server, len(node.models))
	for i, model := range node.models {
		lists[i] = window(snapshot.Holders(model.pool, model.model), node.pushed.updates)
	}
	node.pushed.updates++
	loads, shared := h.config.Observations.LoadsFor(node.address, lists, node.pushed.received, now)
	update := Update{Observations: loads}
	if node.name == h.config.Name {
		update.Observations = nil
	}
	if shared && now.Sub(node.pushed.ratesAt) >= ratePeriod {
		node.pushed.ratesAt = now
		update.Rates = ratesOf(node.models, h.observations.rates)
	}
	return update
}

// window returns the part of a long list that the update with a number looks at.
func window(servers []*fleet.Server, number int) []*fleet.Server {
	if len(servers) <= maxServersLookedAt {
		return servers
	}
	windows := (len(servers) + maxServersLookedAt - 1) / maxServersLookedAt
	first := number % windows * maxServersLookedAt
	return servers[first:min(first+maxServersLookedAt, len(servers))]
}

// ratesOf returns the arrival rates of the models that have one, the highest ones if there are too
// many.
func ratesOf(models []modelKey, rates map[modelKey]float64) []observation.Rate {
	var found []observation.Rate
	for _, model := range models {
		if rate := rates[model]; rate >= minRate {
			found = append(found, observation.Rate{Pool: model.pool, Model: model.model, PerSecond: observation.RoundForMessage(rate)})
		}
	}
	slices.SortFunc(found, func(a, b observation.Rate) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	return found[:min(len(found), maxRates)]
}

// poolsWithoutModels returns the pools whose servers any request may be sent to, in order.
func poolsWithoutModels(snapshot *fleet.Snapshot) []modelKey {
	var pools []modelKey
	for _, name := range slices.Sorted(maps.Keys(snapshot.Configuration.Pools)) {
		if snapshot.Configuration.Pools[name].Engine == nil {
			pools = append(pools, modelKey{pool: name})
		}
	}
	return pools
}

// dueNode is a node whose next update of loads is due.
type dueNode struct {
	name, address string
	// models are those that its callers requested within requestedTime, in order.
	models []modelKey
	pushed *pushedLoads
}

// dueForLoads returns nodes that were sent no loads for a period, longest first. Elapsed is the time
// since the last call, which bounds their number to twice the average. So the updates spread
// over the period, although all nodes report to a new holder at about the same time.
func (t *demandTracker) dueForLoads(period, elapsed time.Duration, now time.Time) []dueNode {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var due []*nodeReport
	for _, node := range t.validReports(now) {
		if now.Sub(node.pushed.at) >= period {
			due = append(due, node)
		}
	}
	slices.SortFunc(due, func(a, b *nodeReport) int {
		return cmp.Or(a.pushed.at.Compare(b.pushed.at), cmp.Compare(a.report.Node, b.report.Node))
	})
	share := min(float64(elapsed)/float64(period), 1)
	due = due[:min(len(due), 1+int(2*share*float64(len(t.nodes))))]
	nodes := make([]dueNode, 0, len(due))
	for _, node := range due {
		maps.DeleteFunc(node.requestedAt, func(_ modelKey, at time.Time) bool { return now.Sub(at) > requestedTime })
		nodes = append(nodes, dueNode{
			name: node.report.Node, address: node.report.Address, pushed: node.pushed,
			models: slices.SortedFunc(maps.Keys(node.requestedAt), modelKey.compare),
		})
	}
	return nodes
}

// rates returns the arrival rates of all models and of pools without models.
func (t *demandTracker) rates(now time.Time) map[modelKey]float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rates := map[modelKey]float64{}
	for key, found := range t.usage {
		rates[modelKey{key.Pool, key.Model}] += found.rateNow(now)
	}
	for pool, found := range t.poolUsage {
		rates[modelKey{pool: pool}] += found.rateNow(now)
	}
	return rates
}
