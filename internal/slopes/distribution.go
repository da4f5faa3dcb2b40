package slopes

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// Distribution notes when each revision of the table was accepted and when it
// was in force on each node.
type Distribution struct {
	nodes     int
	revisions map[table.Revision]*revisionTimes
	newest    []table.Revision
	// away nodes have ended and not started again.
	away     []bool
	proposed int
	failed   int
}

type revisionTimes struct {
	acceptedAt time.Time
	inForceAt  []time.Time
	excused    []bool
}

// NewDistribution returns an empty note for that many nodes.
func NewDistribution(nodes int) *Distribution {
	return &Distribution{nodes: nodes, revisions: map[table.Revision]*revisionTimes{}, newest: make([]table.Revision, nodes), away: make([]bool, nodes)}
}

func (d *Distribution) revision(revision table.Revision) *revisionTimes {
	times := d.revisions[revision]
	if times == nil {
		times = &revisionTimes{inForceAt: make([]time.Time, d.nodes), excused: make([]bool, d.nodes)}
		d.revisions[revision] = times
	}
	return times
}

// Accepted notes that the operator was told of the acceptance.
func (d *Distribution) Accepted(revision table.Revision, at time.Time) {
	times := d.revision(revision)
	times.acceptedAt = at
	for node, away := range d.away {
		times.excused[node] = times.excused[node] || away
	}
}

// InForce notes that a node acts on a revision and on all before it.
func (d *Distribution) InForce(node int, newest table.Revision, at time.Time) {
	for revision := d.newest[node] + 1; revision <= newest; revision++ {
		d.revision(revision).inForceAt[node] = at
	}
	d.newest[node] = max(d.newest[node], newest)
}

// Back notes that a node has started again.
func (d *Distribution) Back(node int) { d.away[node] = false }

// Gone excuses a node from the revisions that it did not have when it ended,
// and from those accepted until it is back: its successor reads the table when
// it starts.
func (d *Distribution) Gone(node int, at time.Time) {
	d.away[node] = true
	for revision, times := range d.revisions {
		if revision > d.newest[node] && !times.acceptedAt.IsZero() && !times.acceptedAt.After(at) {
			times.excused[node] = true
		}
	}
}

// Delays of one period's revisions.
type Delays struct {
	// Accepted revisions, and the pairs of revision and node.
	Accepted, Pairs int
	// Missing pairs were never in force.
	Missing int
	// Median, P99 and Max from acceptance to being in force on a node;
	// EverywhereP99 from acceptance to being in force on all.
	Median, P99, Max, EverywhereP50, EverywhereP99 time.Duration
}

// Delays of the revisions accepted in a period.
func (d *Distribution) Delays(from, to time.Time) Delays {
	result := Delays{}
	var all, everywhere []time.Duration
	for _, times := range d.revisions {
		if times.acceptedAt.Before(from) || !times.acceptedAt.Before(to) {
			continue
		}
		result.Accepted++
		slowest := time.Duration(0)
		for node, at := range times.inForceAt {
			switch {
			case times.excused[node]:
			case at.IsZero():
				result.Missing++
			default:
				delay := max(0, at.Sub(times.acceptedAt))
				slowest = max(slowest, delay)
				all = append(all, delay)
			}
		}
		everywhere = append(everywhere, slowest)
	}
	result.Pairs = len(all)
	result.Median, result.P99, result.Max = quantile(all, 0.5), quantile(all, 0.99), quantile(all, 1)
	result.EverywhereP50, result.EverywhereP99 = quantile(everywhere, 0.5), quantile(everywhere, 0.99)
	return result
}

// quantile returns the smallest value that the share does not exceed.
func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	index := int(share*float64(len(values))+0.999999) - 1
	return values[min(max(index, 0), len(values)-1)]
}
