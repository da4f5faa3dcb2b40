package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
)

const (
	// rateWindow is the time constant of the arrival rate.
	rateWindow = 5 * time.Second
	// activeWindow is how long after its last request a row has traffic.
	activeWindow = 10 * time.Second
	// wantInterval is the shortest time between two urgent reports of a row.
	wantInterval = 100 * time.Millisecond
)

// rowDemand counts the traffic for one row as it changes.
type rowDemand struct {
	// demand holds the row's name and the arrivals since the last report.
	demand   directory.Demand
	pool     bool
	flows    []*flow
	waiting  int
	running  int
	arrivals arrivals
	wantedAt time.Time
}

// arrivals is a rate of arrivals per second, as of the last one.
type arrivals struct {
	rate float64
	last time.Time
}

func (a *arrivals) note(now time.Time) {
	a.rate = a.rateAt(now) + 1/rateWindow.Seconds()
	a.last = now
}

// rateAt is the rate now, fading since the last arrival.
func (a *arrivals) rateAt(now time.Time) float64 {
	if a.rate == 0 {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.last).Seconds()/rateWindow.Seconds())
}

// noteArrival counts a request. A row whose traffic begins is reported at once,
// so that its owner sends updates from now on.
func (s *shard) noteArrival(d *rowDemand, now time.Time) {
	if d.pool {
		return
	}
	d.arrivals.note(now)
	d.demand.Arrivals++
	if !s.active[d] {
		s.active[d] = true
		s.want(d, now)
	}
}

// want reports a row's demand at once, but not too often.
func (s *shard) want(d *rowDemand, now time.Time) {
	if d.pool || now.Sub(d.wantedAt) < wantInterval {
		return
	}
	d.wantedAt = now
	s.gateway.config.Directory.ReportDemand(d.demand.Row)
}

// wantIfCold reports a row whose request was refused for want of an endpoint.
func (s *shard) wantIfCold(e *entry, turn *turn) {
	if !e.isPool() && e.group.router.Capacity(e.group.name).Usable == 0 {
		s.want(e.flow.demand, turn.now)
	}
}

// collect returns the demand and starts a new count of arrivals.
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

// addTo adds the extremes of the flow's waiting requests.
func (f *flow) addTo(demand *directory.Demand) {
	demand.HighestPriority = max(demand.HighestPriority, f.top())
	earliest := f.earliest().request.Deadline
	if demand.EarliestDeadline.IsZero() || earliest.Before(demand.EarliestDeadline) {
		demand.EarliestDeadline = earliest
	}
	oldest := f.oldest.request.Accepted
	if demand.OldestWait.IsZero() || oldest.Before(demand.OldestWait) {
		demand.OldestWait = oldest
	}
}

// DemandOf implements directory.DemandSource.
func (g *Gateway) DemandOf(row string, now time.Time) (directory.Demand, bool) {
	base := row
	if known, found := g.config.Table.Row(row); found {
		base = baseOf(known)
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

// Demands implements directory.DemandSource.
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
