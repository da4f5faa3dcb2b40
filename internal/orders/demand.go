package orders

import (
	"iter"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	// reportPeriods is how many periods a node's report counts.
	reportPeriods = 6
	// rateTime over which arrivals are averaged.
	rateTime = 4 * time.Second
)

// demandBook sums the demand of all nodes.
type demandBook struct {
	mutex sync.Mutex
	nodes map[string]*nodeReport
	// usage by row, over all nodes.
	usage map[forward.DemandKey]*usage
}

type nodeReport struct {
	report DemandReport
	at     time.Time
	// arrived counts by row, as last told.
	arrived map[forward.DemandKey]uint64
}

// usage is how often a row was asked for.
type usage struct {
	// rate of arrivals a second, as of rateAt.
	rate   float64
	rateAt time.Time
	last   time.Time
}

func (u *usage) add(count uint64, now time.Time) {
	u.rate = u.rateNow(now) + float64(count)/rateTime.Seconds()
	u.rateAt = now
	if count > 0 {
		u.last = now
	}
}

func (u *usage) rateNow(now time.Time) float64 {
	if u.rateAt.IsZero() {
		return 0
	}
	return u.rate * math.Exp(-now.Sub(u.rateAt).Seconds()/rateTime.Seconds())
}

// reportPeriodOf is the time between a node's reports when nothing begins to wait.
// It grows with the nodes, so that the holder's work does not.
func reportPeriodOf(nodes int) time.Duration {
	return reportPeriod * time.Duration(max(1, (nodes+nodesPerPeriod-1)/nodesPerPeriod))
}

// lifetime is how long a report counts. It must be called with the lock held.
func (b *demandBook) lifetime() time.Duration { return reportPeriods * reportPeriodOf(len(b.nodes)) }

func newDemandBook() *demandBook {
	return &demandBook{nodes: map[string]*nodeReport{}, usage: map[forward.DemandKey]*usage{}}
}

// take takes a report over, unless a newer one of the node was.
func (b *demandBook) take(report DemandReport, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	node := b.nodes[report.Node]
	if node == nil || node.report.Started != report.Started {
		node = &nodeReport{arrived: map[forward.DemandKey]uint64{}}
		b.nodes[report.Node] = node
	} else if node.report.Sequence >= report.Sequence {
		return
	}
	for _, row := range report.Rows {
		b.count(node, row, now)
	}
	node.report, node.at = report, now
	b.forget(now)
}

// forgetNodeAfter this time without a report, a node has left.
const forgetNodeAfter = time.Minute

// forget drops the nodes that have left. It must be called with the lock held.
func (b *demandBook) forget(now time.Time) {
	for name, node := range b.nodes {
		if now.Sub(node.at) > forgetNodeAfter {
			delete(b.nodes, name)
		}
	}
}

func (b *demandBook) count(node *nodeReport, row DemandRow, now time.Time) {
	key := forward.DemandKey{Pool: row.Pool, Model: row.Model, Adapter: row.Adapter}
	found := b.usage[key]
	if found == nil {
		found = &usage{}
		b.usage[key] = found
	}
	before, known := node.arrived[key]
	if !known && row.Arrived > 0 {
		// What arrived before this holder's term says little of the rate.
		before = row.Arrived - 1
	}
	if row.Arrived > before {
		found.add(row.Arrived-before, now)
	}
	node.arrived[key] = row.Arrived
}

// nodeCount is the number of nodes that reported.
func (b *demandBook) nodeCount() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.nodes)
}

// counting are the nodes whose reports count, by name. The lock must be held while they
// are gone through.
func (b *demandBook) counting(now time.Time) iter.Seq2[string, *nodeReport] {
	lifetime := b.lifetime()
	return func(yield func(string, *nodeReport) bool) {
		for name, node := range b.nodes {
			if now.Sub(node.at) < lifetime && !yield(name, node) {
				return
			}
		}
	}
}

// live returns the nodes that reported lately, by address.
func (b *demandBook) live(now time.Time) map[string]string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	found := map[string]string{}
	for name, node := range b.counting(now) {
		found[node.report.Address] = name
	}
	return found
}

// waitingNodes returns, by the address of a node, those of the models that its
// callers wait for.
func (b *demandBook) waitingNodes(models []comingKey, now time.Time) map[string][]comingKey {
	asked := make(map[comingKey]bool, len(models))
	for _, key := range models {
		asked[key] = true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	waiting := map[string][]comingKey{}
	for _, node := range b.counting(now) {
		for _, key := range node.report.waitsFor() {
			if asked[key] {
				waiting[node.report.Address] = append(waiting[node.report.Address], key)
			}
		}
	}
	return waiting
}

// asking are the addresses of the nodes whose callers ask for the model.
func (b *demandBook) asking(model comingKey, now time.Time) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var addresses []string
	for _, node := range b.counting(now) {
		asks := func(row DemandRow) bool { return comingKey{row.Pool, row.Model} == model }
		if slices.ContainsFunc(node.report.Rows, asks) {
			addresses = append(addresses, node.report.Address)
		}
	}
	return addresses
}

// waited are the models that callers of any node wait for.
func (b *demandBook) waited(now time.Time) map[comingKey]bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	models := map[comingKey]bool{}
	for _, node := range b.counting(now) {
		for _, key := range node.report.waitsFor() {
			models[key] = true
		}
	}
	return models
}

// waitsFor returns the models that the node's callers wait for.
func (r *DemandReport) waitsFor() []comingKey {
	var models []comingKey
	for _, row := range r.Rows {
		key := comingKey{row.Pool, row.Model}
		if row.Waiting > 0 && !slices.Contains(models, key) {
			models = append(models, key)
		}
	}
	return models
}

// ofPool sums the demand for a pool's models.
func (b *demandBook) ofPool(pool string, now time.Time) map[string]*placement.Demand {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	models := map[string]*placement.Demand{}
	for key, found := range b.usage {
		if key.Pool == pool {
			addUsage(demandOf(models, key.Model), key.Adapter, found, now)
		}
	}
	for _, node := range b.counting(now) {
		for _, row := range node.report.Rows {
			if row.Pool == pool {
				addRow(demandOf(models, row.Model), row)
			}
		}
	}
	return models
}

func demandOf(models map[string]*placement.Demand, model string) *placement.Demand {
	found := models[model]
	if found == nil {
		found = &placement.Demand{Adapters: map[string]*placement.AdapterDemand{}}
		models[model] = found
	}
	return found
}

func adapterDemandOf(demand *placement.Demand, adapter string) *placement.AdapterDemand {
	found := demand.Adapters[adapter]
	if found == nil {
		found = &placement.AdapterDemand{}
		demand.Adapters[adapter] = found
	}
	return found
}

func addUsage(demand *placement.Demand, adapter string, used *usage, now time.Time) {
	rate := used.rateNow(now)
	demand.Rate += rate
	if used.last.After(demand.LastUsed) {
		demand.LastUsed = used.last
	}
	if adapter != "" {
		ofAdapter := adapterDemandOf(demand, adapter)
		ofAdapter.Rate, ofAdapter.LastUsed = rate, used.last
	}
}

func addRow(demand *placement.Demand, row DemandRow) {
	waiting := row.Waiting
	if row.Expected {
		waiting = max(waiting, 1)
	}
	if waiting > 0 && (demand.Waiting == 0 || row.Priority < demand.Priority) {
		demand.Priority = row.Priority
	}
	demand.Waiting += waiting
	demand.Running += row.Running
	if row.Adapter != "" {
		ofAdapter := adapterDemandOf(demand, row.Adapter)
		ofAdapter.Waiting += waiting
		ofAdapter.Running += row.Running
	}
}
