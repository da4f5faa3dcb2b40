package applier

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/table"
)

// gatewayEntry is the state kept about one gateway.
type gatewayEntry struct {
	id, address string
	// sequence is that of the newest report.
	sequence     uint64
	lastReportAt time.Time
	// demands are sorted by row.
	demands []rowDemand
	// cachedAt is when the gateway was last sent a model's endpoints, reported to have them, or was
	// presumed to have them. The gateway may send requests to replicas of these models.
	cachedAt map[string]time.Time
	// lastDemand is when the gateway last reported demand for a model.
	lastDemand map[string]time.Time
	// loadSentAt is when the gateway was last sent a model's load figures.
	loadSentAt map[string]time.Time
}

// rowDemand is a gateway's newest report of demand for a row.
type rowDemand struct {
	directory.Demand
	receivedAt time.Time
}

// receiveDemand processes a report and returns the endpoints of the models that it names, except
// those that the gateway has cached. It fails with errNotOwner once the owner has stopped.
func (o *Owner) receiveDemand(report directory.DemandReport) (directory.EndpointUpdate, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.stopped {
		return directory.EndpointUpdate{}, errNotOwner
	}
	now := o.config.Clock.Now()
	gateway := o.gateway(report.Gateway)
	current := report.Sequence > gateway.sequence
	if current {
		gateway.sequence = report.Sequence
		gateway.address = report.PeerAddress
		gateway.lastReportAt = now
	}
	models := make([]string, 0, len(report.Demands))
	for _, demand := range report.Demands {
		model := o.baseModel(demand.Row)
		models = append(models, model)
		gateway.lastDemand[model] = now
		if !current {
			continue
		}
		startsWaiting := gateway.setDemand(demand, now)
		o.recordArrivals(demand, model, now)
		if startsWaiting && !o.hasRoutableReplica(model) {
			o.wakeLocked()
		}
		o.planNeeded = o.planNeeded || demand.Waiting > 0
	}
	slices.Sort(models)
	models = slices.Compact(models)
	return o.buildUpdate(gateway, o.omitCached(gateway, models, report.Known, now), now), nil
}

// omitCached removes the models whose endpoints the gateway has cached unchanged, unless their load
// figures are due to be sent.
func (o *Owner) omitCached(gateway *gatewayEntry, models []string, cached []directory.CachedRow, now time.Time) []string {
	return slices.DeleteFunc(models, func(model string) bool {
		index := slices.IndexFunc(cached, func(row directory.CachedRow) bool { return row.Model == model })
		if index < 0 || now.Sub(gateway.loadSentAt[model]) >= o.config.Intervals.LoadRefresh {
			return false
		}
		if cached[index].Digest != o.endpointsOf(model).Digest {
			return false
		}
		gateway.cachedAt[model] = now
		return true
	})
}

// gateway returns the entry of a gateway, which it creates if there is none.
func (o *Owner) gateway(id string) *gatewayEntry {
	index, found := slices.BinarySearchFunc(o.gateways, id, func(entry *gatewayEntry, id string) int {
		return cmp.Compare(entry.id, id)
	})
	if !found {
		entry := &gatewayEntry{id: id, cachedAt: map[string]time.Time{}, lastDemand: map[string]time.Time{}, loadSentAt: map[string]time.Time{}}
		o.gateways = slices.Insert(o.gateways, index, entry)
	}
	return o.gateways[index]
}

// setDemand stores a row's demand and reports whether requests started to wait.
func (g *gatewayEntry) setDemand(demand directory.Demand, now time.Time) (startsWaiting bool) {
	index, found := slices.BinarySearchFunc(g.demands, demand.Row, func(entry rowDemand, row string) int {
		return cmp.Compare(entry.Row, row)
	})
	if !found {
		g.demands = slices.Insert(g.demands, index, rowDemand{})
	}
	startsWaiting = demand.Waiting > 0 && g.demands[index].Waiting == 0
	g.demands[index] = rowDemand{Demand: demand, receivedAt: now}
	return startsWaiting
}

// recordArrivals records that requests for a row, and for its base model, arrived or wait now.
func (o *Owner) recordArrivals(demand directory.Demand, model string, now time.Time) {
	if demand.Arrivals == 0 && demand.Waiting == 0 {
		return
	}
	o.lastArrivals[demand.Row] = now
	o.lastArrivals[model] = now
}

// baseModel returns the base model of an adapter's row, and the name itself for any other row.
func (o *Owner) baseModel(name string) string {
	row, found := o.config.Table.Row(name)
	if found && row.Kind == table.KindAdapter {
		return row.Base
	}
	return name
}

// hasRoutableReplica reports whether a replica of the model that is not draining can be sent
// requests.
func (o *Owner) hasRoutableReplica(model string) bool {
	for _, server := range o.servers {
		if entry := server.replica(model); entry != nil && o.routable(server, entry) && entry.drain == nil {
			return true
		}
	}
	return false
}

// expireDemand drops demand that was not reported again within DemandExpiry.
func (o *Owner) expireDemand(now time.Time) {
	for _, gateway := range o.gateways {
		gateway.demands = slices.DeleteFunc(gateway.demands, func(demand rowDemand) bool {
			return now.Sub(demand.receivedAt) > o.config.Intervals.DemandExpiry
		})
	}
}

// countActiveGateways counts, for each base model, the gateways with waiting or running requests,
// from which each gateway computes its share of the endpoints.
func (o *Owner) countActiveGateways() {
	counts := make(map[string]int, len(o.activeGateways))
	counted := map[string]int{}
	for position, gateway := range o.gateways {
		for i := range gateway.demands {
			demand := &gateway.demands[i]
			if demand.Waiting+demand.Running == 0 {
				continue
			}
			model := o.baseModel(demand.Row)
			if counted[model] != position+1 {
				counted[model] = position + 1
				counts[model]++
			}
		}
	}
	o.activeGateways = counts
}

// expireGateways drops gateways that have not reported within GatewayExpiry and are not members.
func (o *Owner) expireGateways(now time.Time) {
	o.gateways = slices.DeleteFunc(o.gateways, func(gateway *gatewayEntry) bool {
		if now.Sub(gateway.lastReportAt) < o.config.Intervals.GatewayExpiry {
			return false
		}
		return !slices.ContainsFunc(o.members, func(member membership.Member) bool { return member.ID() == gateway.id })
	})
}

// presumeCached records that the gateways of all live members have cached the endpoints of a model
// that a previous owner loaded, since that owner may have sent them. Drains of the model are then
// pushed to these gateways and wait for their acknowledgements.
func (o *Owner) presumeCached(model string, now time.Time) {
	for _, member := range o.members {
		gateway := o.gateway(member.ID())
		if gateway.address == "" {
			gateway.address = member.PeerAddress
			gateway.lastReportAt = now
		}
		gateway.cachedAt[model] = now
	}
}

// demandByRow returns the sum of all gateways' demand for each row.
func (o *Owner) demandByRow() map[string]planner.Demand {
	demands := make(map[string]planner.Demand, len(o.lastArrivals))
	for _, gateway := range o.gateways {
		for i := range gateway.demands {
			demand := &gateway.demands[i]
			demands[demand.Row] = addDemand(demands[demand.Row], &demand.Demand)
		}
	}
	return demands
}

// addDemand adds one gateway's demand for a row to the sum.
func addDemand(sum planner.Demand, demand *directory.Demand) planner.Demand {
	sum.Running += demand.Running
	sum.ArrivalsPerSecond += demand.ArrivalsPerSecond
	if demand.Waiting == 0 {
		return sum
	}
	sum.Waiting += demand.Waiting
	sum.HighestPriority = max(sum.HighestPriority, demand.HighestPriority)
	if sum.OldestWait.IsZero() || demand.OldestWait.Before(sum.OldestWait) {
		sum.OldestWait = demand.OldestWait
	}
	if sum.EarliestDeadline.IsZero() || demand.EarliestDeadline.Before(sum.EarliestDeadline) {
		sum.EarliestDeadline = demand.EarliestDeadline
	}
	return sum
}
