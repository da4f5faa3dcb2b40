package orders

import (
	"iter"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	// reportLifetimePeriods is for how many report periods a node's report is valid.
	reportLifetimePeriods = 6
	// rateTime is the time constant of the average over arrivals.
	rateTime = 4 * time.Second
)

// demandTracker sums the demand that all nodes report.
type demandTracker struct {
	mutex sync.Mutex
	nodes map[string]*nodeReport
	// expiredAt is when nodes that no longer report were removed last.
	expiredAt time.Time
	// usage by row, over all nodes; poolUsage of pools without models, by pool.
	usage     map[forward.DemandKey]*usage
	poolUsage map[string]*usage
}

// nodeReport is the latest report of a node.
type nodeReport struct {
	report     DemandReport
	receivedAt time.Time
	// arrived is the reported count of arrivals by row, and poolArrived by pool without models.
	arrived     map[forward.DemandKey]uint64
	poolArrived map[string]uint64
	// requestedAt is when the node last reported demand for a model.
	requestedAt map[modelKey]time.Time
	// pushed is what the node was sent of the servers' loads.
	pushed *pushedLoads
}

// usage is how often a row was requested.
type usage struct {
	// rate is the number of arrivals a second, as of rateAt.
	rate     float64
	rateAt   time.Time
	lastUsed time.Time
}

func (u *usage) add(count uint64, now time.Time) {
	u.rate = u.rateNow(now) + float64(count)/rateTime.Seconds()
	u.rateAt = now
	if count > 0 {
		u.lastUsed = now
	}
}

func (u *usage) rateNow(now time.Time) float64 {
	if u.rateAt.IsZero() {
		return 0
	}
	return u.rate * math.Exp(-now.Sub(u.rateAt).Seconds()/rateTime.Seconds())
}

// reportPeriodOf returns the time between a node's reports when no requests begin to wait.
// It grows with the number of nodes, so that the holder's load stays constant.
func reportPeriodOf(nodes int) time.Duration {
	return reportPeriod * time.Duration(max(1, (nodes+nodesPerPeriod-1)/nodesPerPeriod))
}

// lifetime is how long a report is valid. It must be called with the lock held.
func (t *demandTracker) lifetime() time.Duration {
	return reportLifetimePeriods * reportPeriodOf(len(t.nodes))
}

func newDemandTracker() *demandTracker {
	return &demandTracker{nodes: map[string]*nodeReport{}, usage: map[forward.DemandKey]*usage{}, poolUsage: map[string]*usage{}}
}

// add stores a report, unless a newer one of the same process is stored.
func (t *demandTracker) add(report DemandReport, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	node := t.nodes[report.Node]
	if node == nil || node.report.Started != report.Started {
		node = &nodeReport{
			arrived: map[forward.DemandKey]uint64{}, poolArrived: map[string]uint64{},
			requestedAt: map[modelKey]time.Time{}, pushed: &pushedLoads{received: observation.Received{}},
		}
		t.nodes[report.Node] = node
	} else if node.report.Sequence >= report.Sequence {
		return
	}
	for _, row := range report.Rows {
		t.countArrivals(node, row, now)
		node.requestedAt[modelKey{row.Pool, row.Model}] = now
	}
	for _, pool := range report.PoolArrivals {
		countNew(node.poolArrived, t.poolUsage, pool.Pool, pool.Arrived, now)
	}
	node.report, node.receivedAt = report, now
	if now.Sub(t.expiredAt) >= expiryPeriod {
		t.expiredAt = now
		t.removeExpired(now)
	}
}

const (
	// nodeExpiry is the time without a report after which a node is removed.
	nodeExpiry = time.Minute
	// expiryPeriod is the time between checks for such nodes.
	expiryPeriod = time.Second
)

// removeExpired removes the nodes that no longer report. It must be called with the lock held.
func (t *demandTracker) removeExpired(now time.Time) {
	for name, node := range t.nodes {
		if now.Sub(node.receivedAt) > nodeExpiry {
			delete(t.nodes, name)
		}
	}
}

// countArrivals adds a row's new arrivals to its usage. It must be called with the lock held.
func (t *demandTracker) countArrivals(node *nodeReport, row DemandRow, now time.Time) {
	key := forward.DemandKey{Pool: row.Pool, Model: row.Model, Adapter: row.Adapter}
	countNew(node.arrived, t.usage, key, row.Arrived, now)
}

// countNew adds the arrivals since a node's last report to the usage of a key.
func countNew[K comparable](reported map[K]uint64, usages map[K]*usage, key K, arrived uint64, now time.Time) {
	found := usages[key]
	if found == nil {
		found = &usage{}
		usages[key] = found
	}
	before, known := reported[key]
	if !known && arrived > 0 {
		// Arrivals from before this holder's term say little about the current rate.
		before = arrived - 1
	}
	if arrived > before {
		found.add(arrived-before, now)
	}
	reported[key] = arrived
}

// nodeCount returns the number of nodes that have reported and not expired.
func (t *demandTracker) nodeCount() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.nodes)
}

// validReports iterates over the nodes whose reports are still valid, by name. The lock must
// be held during the iteration.
func (t *demandTracker) validReports(now time.Time) iter.Seq2[string, *nodeReport] {
	lifetime := t.lifetime()
	return func(yield func(string, *nodeReport) bool) {
		for name, node := range t.nodes {
			if now.Sub(node.receivedAt) < lifetime && !yield(name, node) {
				return
			}
		}
	}
}

// liveCount returns the number of nodes with a valid report. It allocates nothing, since it is called
// for each report.
func (t *demandTracker) liveCount(now time.Time) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	count := 0
	for range t.validReports(now) {
		count++
	}
	return count
}

// liveNodes returns the names of the nodes with a valid report, by address.
func (t *demandTracker) liveNodes(now time.Time) map[string]string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := map[string]string{}
	for name, node := range t.validReports(now) {
		found[node.report.Address] = name
	}
	return found
}

// waitingNodes returns, by node address, those of the models that the node's callers wait
// for.
func (t *demandTracker) waitingNodes(models []modelKey, now time.Time) map[string][]modelKey {
	requested := make(map[modelKey]bool, len(models))
	for _, key := range models {
		requested[key] = true
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	waiting := map[string][]modelKey{}
	for _, node := range t.validReports(now) {
		for _, key := range node.report.awaitedModels() {
			if requested[key] {
				waiting[node.report.Address] = append(waiting[node.report.Address], key)
			}
		}
	}
	return waiting
}

// nodesRequesting returns the addresses of the nodes whose callers request the model.
func (t *demandTracker) nodesRequesting(model modelKey, now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var addresses []string
	for _, node := range t.validReports(now) {
		requests := func(row DemandRow) bool { return modelKey{row.Pool, row.Model} == model }
		if slices.ContainsFunc(node.report.Rows, requests) {
			addresses = append(addresses, node.report.Address)
		}
	}
	return addresses
}

// awaitedModels returns the models that callers of any node wait for.
func (t *demandTracker) awaitedModels(now time.Time) map[modelKey]bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	models := map[modelKey]bool{}
	for _, node := range t.validReports(now) {
		for _, key := range node.report.awaitedModels() {
			models[key] = true
		}
	}
	return models
}

// awaitedModels returns the models that the node's callers wait for.
func (r *DemandReport) awaitedModels() []modelKey {
	var models []modelKey
	for _, row := range r.Rows {
		key := modelKey{row.Pool, row.Model}
		if row.Waiting > 0 && !slices.Contains(models, key) {
			models = append(models, key)
		}
	}
	return models
}

// poolDemand sums the demand for a pool's models, by model.
func (t *demandTracker) poolDemand(pool string, now time.Time) map[string]*placement.Demand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	models := map[string]*placement.Demand{}
	for key, found := range t.usage {
		if key.Pool == pool {
			addUsage(demandOf(models, key.Model), key.Adapter, found, now)
		}
	}
	for _, node := range t.validReports(now) {
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
	if used.lastUsed.After(demand.LastUsed) {
		demand.LastUsed = used.lastUsed
	}
	if adapter != "" {
		ofAdapter := adapterDemandOf(demand, adapter)
		ofAdapter.Rate, ofAdapter.LastUsed = rate, used.lastUsed
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
