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

// gatewayEntry is what one gateway reported.
type gatewayEntry struct {
	id, address string
	sequence    uint64
	seenAt      time.Time
	// demands in order of row.
	demands []rowDemand
	// told is when the gateway was last told the endpoints of a model.
	told map[string]time.Time
	// interest is when the gateway last had demand for a model.
	interest map[string]time.Time
	// refreshed is when the gateway was last sent a model's load figures.
	refreshed map[string]time.Time
}

type rowDemand struct {
	directory.Demand
	receivedAt time.Time
}

// receiveDemand takes a report in and answers it with the endpoints of the
// models asked for.
func (o *Owner) receiveDemand(report directory.DemandReport) (directory.EndpointUpdate, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.ended {
		return directory.EndpointUpdate{}, errNotOwner
	}
	now := o.config.Clock.Now()
	gateway := o.gateway(report.Gateway)
	current := report.Sequence > gateway.sequence
	if current {
		gateway.sequence = report.Sequence
		gateway.address = report.PeerAddress
		gateway.seenAt = now
	}
	models := make([]string, 0, len(report.Demands))
	for _, demand := range report.Demands {
		model := o.baseOf(demand.Row)
		models = append(models, model)
		gateway.interest[model] = now
		if !current {
			continue
		}
		begins := gateway.take(demand, now)
		o.noteArrivals(demand, model, now)
		if begins && !o.serves(model) {
			o.wakeLocked()
		}
		o.dirty = o.dirty || demand.Waiting > 0
	}
	slices.Sort(models)
	models = slices.Compact(models)
	return o.updateFor(gateway, o.withoutKnown(gateway, models, report.Known, now), now), nil
}

// withoutKnown leaves out the models whose endpoints the gateway has, unless
// their load figures are due.
func (o *Owner) withoutKnown(gateway *gatewayEntry, models []string, known []directory.CachedRow, now time.Time) []string {
	return slices.DeleteFunc(models, func(model string) bool {
		at := slices.IndexFunc(known, func(row directory.CachedRow) bool { return row.Model == model })
		if at < 0 || now.Sub(gateway.refreshed[model]) >= o.config.Intervals.LoadRefresh {
			return false
		}
		if known[at].Digest != o.endpointsOf(model).Digest {
			return false
		}
		gateway.told[model] = now
		return true
	})
}

func (o *Owner) gateway(id string) *gatewayEntry {
	at, found := slices.BinarySearchFunc(o.gateways, id, func(entry *gatewayEntry, id string) int {
		return cmp.Compare(entry.id, id)
	})
	if !found {
		entry := &gatewayEntry{id: id, told: map[string]time.Time{}, interest: map[string]time.Time{}, refreshed: map[string]time.Time{}}
		o.gateways = slices.Insert(o.gateways, at, entry)
	}
	return o.gateways[at]
}

// take notes a row's demand and reports whether requests begin to wait.
func (g *gatewayEntry) take(demand directory.Demand, now time.Time) (begins bool) {
	at, found := slices.BinarySearchFunc(g.demands, demand.Row, func(entry rowDemand, row string) int {
		return cmp.Compare(entry.Row, row)
	})
	if !found {
		g.demands = slices.Insert(g.demands, at, rowDemand{})
	}
	begins = demand.Waiting > 0 && g.demands[at].Waiting == 0
	g.demands[at] = rowDemand{Demand: demand, receivedAt: now}
	return begins
}

func (o *Owner) noteArrivals(demand directory.Demand, model string, now time.Time) {
	if demand.Arrivals == 0 && demand.Waiting == 0 {
		return
	}
	o.lastArrivals[demand.Row] = now
	o.lastArrivals[model] = now
}

// baseOf returns the base model of a row.
func (o *Owner) baseOf(name string) string {
	row, known := o.config.Table.Row(name)
	if known && row.Kind == table.KindAdapter {
		return row.Base
	}
	return name
}

// serves reports whether a replica of the model is ready to be called.
func (o *Owner) serves(model string) bool {
	for _, server := range o.servers {
		if entry := server.replica(model); entry != nil && o.callable(server, entry) && entry.drain == nil {
			return true
		}
	}
	return false
}

// expireDemand drops demand that was not reported again.
func (o *Owner) expireDemand(now time.Time) {
	for _, gateway := range o.gateways {
		gateway.demands = slices.DeleteFunc(gateway.demands, func(demand rowDemand) bool {
			return now.Sub(demand.receivedAt) > o.config.Intervals.DemandExpiry
		})
	}
}

// countCompeting counts for each base model the gateways whose requests wait or
// run, so that each gateway can tell its part of the endpoints.
func (o *Owner) countCompeting() {
	counts := make(map[string]int, len(o.competing))
	counted := map[string]int{}
	for position, gateway := range o.gateways {
		for i := range gateway.demands {
			demand := &gateway.demands[i]
			if demand.Waiting+demand.Running == 0 {
				continue
			}
			model := o.baseOf(demand.Row)
			if counted[model] != position+1 {
				counted[model] = position + 1
				counts[model]++
			}
		}
	}
	o.competing = counts
}

// forgetGateways drops gateways that are silent and no members any more.
func (o *Owner) forgetGateways(now time.Time) {
	o.gateways = slices.DeleteFunc(o.gateways, func(gateway *gatewayEntry) bool {
		if now.Sub(gateway.seenAt) < o.config.Intervals.ForgetGateway {
			return false
		}
		return !slices.ContainsFunc(o.members, func(member membership.Member) bool { return member.ID() == gateway.id })
	})
}

// introduce counts every live member's gateway as told of a model that the
// owner before had loaded, since that owner may have told it: drains of the
// model are pushed to it and wait for it.
func (o *Owner) introduce(model string, now time.Time) {
	for _, member := range o.members {
		gateway := o.gateway(member.ID())
		if gateway.address == "" {
			gateway.address = member.PeerAddress
			gateway.seenAt = now
		}
		gateway.told[model] = now
	}
}

// demandByRow sums the gateways' demand up.
func (o *Owner) demandByRow() map[string]planner.Demand {
	demands := make(map[string]planner.Demand, len(o.lastArrivals))
	for _, gateway := range o.gateways {
		for i := range gateway.demands {
			reported := &gateway.demands[i]
			demands[reported.Row] = addDemand(demands[reported.Row], &reported.Demand)
		}
	}
	return demands
}

func addDemand(sum planner.Demand, reported *directory.Demand) planner.Demand {
	sum.Running += reported.Running
	sum.ArrivalsPerSecond += reported.ArrivalsPerSecond
	if reported.Waiting == 0 {
		return sum
	}
	sum.Waiting += reported.Waiting
	sum.HighestPriority = max(sum.HighestPriority, reported.HighestPriority)
	if sum.OldestWait.IsZero() || reported.OldestWait.Before(sum.OldestWait) {
		sum.OldestWait = reported.OldestWait
	}
	if sum.EarliestDeadline.IsZero() || reported.EarliestDeadline.Before(sum.EarliestDeadline) {
		sum.EarliestDeadline = reported.EarliestDeadline
	}
	return sum
}
