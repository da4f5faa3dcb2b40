package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// countingEngines replies to calls for reports after 5 ms, and counts the calls in progress.
type countingEngines struct {
	mutex                               sync.Mutex
	inProgress, maxInProgress, answered int
	asked                               []string
}

func (e *countingEngines) Order(context.Context, Order) (Reply, error) { return ReplyAccepted, nil }

func (e *countingEngines) Report(_ context.Context, server *fleet.Server) (Report, error) {
	e.mutex.Lock()
	e.inProgress++
	e.maxInProgress = max(e.maxInProgress, e.inProgress)
	e.asked = append(e.asked, server.ID)
	e.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inProgress--
	e.answered++
	return Report{Models: server.Recorded()}, nil
}

const largeFleet = 10000

// largeSnapshot has 300 models, each at 33 servers if there are 10,000.
func largeSnapshot(servers int) *fleet.Snapshot {
	view := fleet.NewView()
	engine := &fleet.Engine{Slots: 64, MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 2800, Models: map[string]*fleet.Model{}}
	for i := range 300 {
		name := fmt.Sprint("m", i)
		engine.Models[name] = &fleet.Model{Name: name, SizeMB: 70_000, AdapterMB: 66, LoadTime: 6 * time.Second}
	}
	configuration := fleet.NewConfiguration(1, 1, nil, []*fleet.Pool{{Name: "p", Engine: engine}}, fleet.Limits{})
	view.SetConfiguration(configuration)
	records := map[string]*fleet.Server{}
	for i := range servers {
		id := fmt.Sprintf("s%05d", i)
		records[id] = &fleet.Server{ID: id, Pool: "p", Zone: fmt.Sprint("z", i%6), Created: 1, Models: map[string]fleet.LoadedModel{fmt.Sprint("m", i%300): {}}}
	}
	view.ReplaceServers(records)
	return view.Load()
}

func holderOf(snapshot *fleet.Snapshot, engines Engines, push func(string, Update)) *Holder {
	view := fleet.NewView()
	view.SetConfiguration(snapshot.Configuration)
	view.ReplaceServers(snapshot.Servers)
	return NewHolder(HolderConfig{View: view, Notices: notice.NewRegistry(notice.Config{View: view}), Limits: forward.NoLimits{}, Engines: engines, Name: "h", Push: push, LoadRate: LoadRateLimits{Window: 5 * time.Second, Overage: 1.1}, Logger: zerolog.Nop()})
}

// waitingReport is the report of a node with a caller that waits for an adapter.
func waitingReport(node string, sequence uint64, model, adapter string) DemandReport {
	return DemandReport{
		Node: node, Address: node + ":1", Sequence: sequence, Started: 1,
		Rows: []DemandRow{{Pool: "p", Model: model, Adapter: adapter, Waiting: 1, Arrived: 1}},
	}
}

// A new holder of a fleet of 10,000 servers asks for few reports at a time, and first asks the
// servers that hold awaited models.
func TestNewHolderBoundsConcurrentReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engines := &countingEngines{}
		holder := holderOf(largeSnapshot(largeFleet), engines, func(string, Update) {})
		holder.demand.add(waitingReport("n", 1, "m7", ""), time.Now())
		snapshot := holder.config.View.Load()
		holder.mutex.Lock()
		holder.requestReports(t.Context(), holder.servers.sync(snapshot, time.Now()), time.Now())
		holder.mutex.Unlock()
		time.Sleep(20 * time.Millisecond)
		engines.mutex.Lock()
		for _, id := range engines.asked[:maxConcurrentReports] {
			g.Expect(snapshot.Servers[id].Holds("m7", "")).To(BeTrue(), id)
		}
		engines.mutex.Unlock()
		time.Sleep(3 * time.Second)
		engines.mutex.Lock()
		defer engines.mutex.Unlock()
		g.Expect(engines.maxInProgress).To(Equal(maxConcurrentReports))
		g.Expect(engines.answered).To(Equal(largeFleet))
	})
}

// Guards against a new holder of 10,000 servers that asks for reports as fast as it can, which takes
// the processor from everything else that it does.
func TestNewHolderSpacesItsCallsForReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engines := &countingEngines{}
		holder := holderOf(largeSnapshot(largeFleet), engines, func(string, Update) {})
		const perSecond = 800
		holder.reportLimiter = newReportLimiter(perSecond)
		holder.mutex.Lock()
		holder.requestReports(t.Context(), holder.servers.sync(holder.config.View.Load(), time.Now()), time.Now())
		holder.mutex.Unlock()
		time.Sleep(3 * time.Second)
		engines.mutex.Lock()
		g.Expect(engines.answered).To(BeNumerically("~", 3*perSecond, 2*maxConcurrentReports))
		engines.mutex.Unlock()
		time.Sleep(largeFleet / perSecond * time.Second)
		engines.mutex.Lock()
		defer engines.mutex.Unlock()
		g.Expect(engines.answered).To(Equal(largeFleet))
	})
}

// Rounds of requests for reports may overlap, when one plan follows soon after another. No server
// is then asked twice.
func TestOverlappingRoundsAskEachServerOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engines := &countingEngines{}
		holder := holderOf(largeSnapshot(1000), engines, func(string, Update) {})
		for range 20 {
			holder.mutex.Lock()
			holder.requestReports(t.Context(), holder.servers.sync(holder.config.View.Load(), time.Now()), time.Now())
			holder.mutex.Unlock()
			time.Sleep(11 * time.Millisecond)
		}
		time.Sleep(time.Second)
		g.Expect(engines.answered).To(Equal(1000))
		g.Expect(engines.maxInProgress).To(Equal(maxConcurrentReports))
		g.Expect(holder.reports.workers).To(BeZero())
	})
}

// A term that ends while servers are being asked leaves no queue or workers to the next one.
func TestTermsHaveSeparateReportQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		engines := &countingEngines{}
		holder := holderOf(largeSnapshot(1000), engines, func(string, Update) {})
		for range 5 {
			ctx, cancel := context.WithCancel(t.Context())
			holder.mutex.Lock()
			holder.servers, holder.reports = newServerTable(), &reportQueue{}
			holder.requestReports(ctx, holder.servers.sync(holder.config.View.Load(), time.Now()), time.Now())
			holder.mutex.Unlock()
			time.Sleep(12 * time.Millisecond)
			cancel()
		}
		time.Sleep(20 * time.Millisecond)
		holder.mutex.Lock()
		g.Expect(holder.reports.workers).To(BeZero())
		holder.mutex.Unlock()
		g.Expect(engines.maxInProgress).To(BeNumerically("<=", 2*maxConcurrentReports), "the last calls of a term overlap with the first of the next")
	})
}

// reportedServers is the server table of a holder to which all servers have reported.
func reportedServers(snapshot *fleet.Snapshot) *serverTable {
	table := newServerTable()
	for _, found := range table.sync(snapshot, testStart) {
		table.applyReport(found, Report{Models: found.server.Recorded()}, testStart)
	}
	return table
}

// The sample has what a plan needs: it counts every replica, and contains each server that holds
// an awaited adapter and some servers that hold each requested model.
func TestSampleOfALargePool(t *testing.T) {
	g := NewWithT(t)
	snapshot := largeSnapshot(largeFleet)
	table := reportedServers(snapshot)
	table.entries["s00007"].models["m7"].adapters["a1"] = true
	table.entries["s04000"].busy = true
	demand := map[string]*placement.Demand{
		"m7": {Waiting: 1, Adapters: map[string]*placement.AdapterDemand{"a1": {Waiting: 1}}},
		"m8": {Rate: 1},
	}
	for range 100 {
		found := table.sample("p", demand, testStart)
		g.Expect(len(found.servers)).To(BeNumerically("<=", spareServers+2*holdersPerModel+2))
		g.Expect(len(found.servers) + found.leftOut).To(Equal(largeFleet))
		replicas := map[string]int{}
		var ids []string
		for _, server := range found.servers {
			ids = append(ids, server.ID)
			for name := range server.Models {
				replicas[name]++
			}
		}
		g.Expect(ids).To(ContainElements("s00007", "s04000"))
		g.Expect(replicas["m7"]).To(BeNumerically(">=", holdersPerModel))
		g.Expect(replicas["m8"]).To(BeNumerically(">=", holdersPerModel))
		for name, count := range found.elsewhere {
			replicas[name] += count
		}
		g.Expect(replicas).To(HaveLen(300))
		g.Expect(replicas["m7"]).To(Equal(34))
		g.Expect(replicas["m299"]).To(Equal(33))
	}
}

func TestSmallPoolIsPlannedAsAWhole(t *testing.T) {
	g := NewWithT(t)
	table := reportedServers(largeSnapshot(maxWholePool))
	found := table.sample("p", map[string]*placement.Demand{}, testStart)
	g.Expect(found.servers).To(HaveLen(maxWholePool))
	g.Expect(found.leftOut).To(BeZero())
}

// Callers at many nodes request many adapters that no server holds, all at the same time: the
// worst load that a round of admissions puts on a holder. Each adapter is ordered once, at a
// server that holds its model, and takes no more than one adapter slot.
func TestEachAdapterIsOrderedOnce(t *testing.T) {
	g := NewWithT(t)
	table := reportedServers(largeSnapshot(largeFleet))
	engine := largeSnapshot(1).Configuration.Pools["p"].Engine
	demand := map[string]*placement.Demand{}
	for i := range 40 {
		modelDemand := &placement.Demand{Waiting: 5, Adapters: map[string]*placement.AdapterDemand{}}
		for adapter := range 5 {
			modelDemand.Adapters[fmt.Sprint("a", adapter)] = &placement.AdapterDemand{Waiting: 1}
		}
		demand[fmt.Sprint("m", i)] = modelDemand
	}
	ordered := map[string]int{}
	for range 30 {
		chosen := table.sample("p", demand, testStart)
		planned := placement.Plan(&placement.Input{
			Now: testStart, Engine: engine, Servers: chosen.servers, ReplicasElsewhere: chosen.elsewhere, ServersElsewhere: chosen.leftOut, Demand: demand,
		})
		for _, action := range planned.Actions {
			g.Expect(action.Kind).To(Equal(placement.LoadAdapter))
			held := table.entries[action.Server].models[action.Model]
			g.Expect(held).NotTo(BeNil())
			held.adapters[action.Adapter] = true
			ordered[action.Model+"/"+action.Adapter]++
		}
	}
	g.Expect(ordered).To(HaveLen(200))
	for key, times := range ordered {
		g.Expect(times).To(Equal(1), key)
	}
}

// With many nodes, a change is sent immediately to those that wait for it, and to the others in
// the reply to their next report.
func TestWaitingNodesAreNotifiedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		notified := map[string]int{}
		holder := holderOf(largeSnapshot(600), &countingEngines{}, func(address string, update Update) {
			if len(update.Servers) == 1 {
				notified[address]++
			}
		})
		holder.term = newTerm(5, time.Now(), time.Now().Add(time.Minute), true)
		for i := range 1000 {
			report := waitingReport(fmt.Sprint("n", i), 1, "m7", "a1")
			if i >= 3 {
				report.Rows = nil
			}
			holder.demand.add(report, time.Now())
		}
		holder.servers = reportedServers(holder.config.View.Load())
		holder.pushedAt = time.Now()
		target := holder.servers.entries["s00007"]
		target.models["m7"].adapters["a1"] = true
		holder.servers.markChanged(target)
		holder.pushChange(target, "m7")
		g.Expect(notified).To(HaveLen(3))
		time.Sleep(time.Duration(1000) * pushPausePerNode)
		holder.push(time.Now())
		g.Expect(notified).To(HaveLen(3), "nodes that don't request the model are not notified")
		for i := 3; i < 1000; i++ {
			report := waitingReport(fmt.Sprint("n", i), 2, "m9", "")
			report.Token = 5
			update, holds := holder.HandleReport(report)
			g.Expect(holds).To(BeTrue())
			g.Expect(update.Servers).To(HaveLen(1), "the reply to the next report has it")
		}
	})
}

// BenchmarkSample measures the work of one tick on 10,000 servers: 2.5 ms without the plan.
func BenchmarkSample(b *testing.B) {
	snapshot := largeSnapshot(largeFleet)
	table := reportedServers(snapshot)
	demand := map[string]*placement.Demand{}
	for i := range 100 {
		demand[fmt.Sprint("m", i)] = &placement.Demand{Rate: 1, Waiting: i % 2}
	}
	engine := snapshot.Configuration.Pools["p"].Engine
	b.Run("sync", func(b *testing.B) {
		for b.Loop() {
			table.sync(snapshot, testStart)
		}
	})
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			chosen := table.sample("p", demand, testStart)
			placement.Plan(&placement.Input{
				Now: testStart, Engine: engine, Servers: chosen.servers, ReplicasElsewhere: chosen.elsewhere, ServersElsewhere: chosen.leftOut, Demand: demand, StoreLoads: 100,
			})
		}
	})
}
