package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
)

const (
	// rateWindow is the time constant of the arrival rate's exponential decay.
	rateWindow = 5 * time.Second
	// activeWindow is how long after its last request an idle row stays active.
	activeWindow = 10 * time.Second
	// minReportInterval is the minimum time between two immediate demand reports
	// of a row.
	minReportInterval = 100 * time.Millisecond
)

// rowDemand tracks the requests for one row.
type rowDemand struct {
	// demand holds the row's name and the arrivals since the last report; the
	// other fields are filled in by collect.
	demand     directory.Demand
	pool       bool
	flows      []*flow
	waiting    int
	running    int
	arrivals   arrivals
	reportedAt time.Time
}

// arrivals is an exponentially decaying rate of arrivals per second, as of the
// last arrival.
type arrivals struct {
	rate float64
	last time.Time
}

func (a *arrivals) record(now time.Time) {
	a.rate = a.rateAt(now) + 1/rateWindow.Seconds()
	a.last = now
}

// rateAt returns the rate at a time, decayed since the last arrival.
func (a *arrivals) rateAt(now time.Time) float64 {
	if a.rate == 0 {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.last).Seconds()/rateWindow.Seconds())
}

// recordArrival counts a request. A row that becomes active is reported at once,
// so that its owner starts to send endpoint updates.
func (s *shard) recordArrival(d *rowDemand, now time.Time) {
	if d.pool {
		return
	}
	d.arrivals.record(now)
	d.demand.Arrivals++
	if !s.active[d] {
		s.active[d] = true
		s.reportDemand(d, now)
	}
}

// reportDemand reports a row's demand immediately, at most once in
// minReportInterval.
func (s *shard) reportDemand(d *rowDemand, now time.Time) {
	if d.pool || now.Sub(d.reportedAt) < minReportInterval {
		return
	}
	d.reportedAt = now
	s.gateway.config.Directory.ReportDemand(d.demand.Row)
}

// reportDemandIfCold reports the demand of a refused request's row if the group
// has no usable endpoint.
func (s *shard) reportDemandIfCold(e *entry, section *criticalSection) {
	if !e.isPool() && e.group.router.Capacity(e.group.name).Usable == 0 {
		s.reportDemand(e.flow.demand, section.now)
	}
}

// collect returns the demand and resets the count of arrivals.
func (d *rowDemand) collect(now time.Time) directory.Demand {
	collected := d.demand
	d.demand.Arrivals = 0
	collected.Waiting = d.waiting
	collected.Running = d.running
	collected.ArrivalsPerSecond = d.arrivals.rateAt(now)
	for _, flow := range d.flows {
		if flow.waiting > 0 {
			flow.addTo(&collected)
		}
	}
	return collected
}

// addTo merges the highest priority, the earliest deadline and the longest wait
// of the flow's waiting requests into the demand.
func (f *flow) addTo(demand *directory.Demand) {
	demand.HighestPriority = max(demand.HighestPriority, f.topPriority())
	earliest := f.earliest().request.Deadline
	if demand.EarliestDeadline.IsZero() || earliest.Before(demand.EarliestDeadline) {
		demand.EarliestDeadline = earliest
	}
	oldest := f.oldest.request.Accepted
	if demand.OldestWait.IsZero() || oldest.Before(demand.OldestWait) {
		demand.OldestWait = oldest
	}
}

// DemandOf implements directory.DemandSource. It returns false if this node has
// no record of requests for the row.
func (g *Gateway) DemandOf(row string, now time.Time) (directory.Demand, bool) {
	base := row
	if tableRow, found := g.config.Table.Row(row); found {
		base = baseOf(tableRow)
	}
	shard := g.shardOf(base)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	group := shard.groups[base]
	if group == nil || group.rows[row] == nil {
		return directory.Demand{}, false
	}
	return group.rows[row].collect(now), true
}

// Demands implements directory.DemandSource. It returns the demand of all active
// rows, or only of those with waiting requests, sorted by row.
func (g *Gateway) Demands(now time.Time, all bool) []directory.Demand {
	var demands []directory.Demand
	for _, shard := range g.shards {
		demands = shard.appendDemands(demands, now, all)
	}
	slices.SortFunc(demands, func(a, b directory.Demand) int { return cmp.Compare(a.Row, b.Row) })
	return demands
}

func (s *shard) appendDemands(demands []directory.Demand, now time.Time, all bool) []directory.Demand {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for row := range s.active {
		idle := row.waiting == 0 && row.running == 0 && now.Sub(row.arrivals.last) > activeWindow
		if idle {
			delete(s.active, row)
			continue
		}
		if all || row.waiting > 0 {
			demands = append(demands, row.collect(now))
		}
	}
	return demands
}
