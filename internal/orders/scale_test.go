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

// countingEngines answer questions after a while, and count those under way.
type countingEngines struct {
	mutex                    sync.Mutex
	underWay, most, answered int
	asked                    []string
}

func (e *countingEngines) Order(context.Context, Order) (Reply, error) { return ReplyAccepted, nil }

func (e *countingEngines) Report(_ context.Context, server *fleet.Server) (Report, error) {
	e.mutex.Lock()
	e.underWay++
	e.most = max(e.most, e.underWay)
	e.asked = append(e.asked, server.ID)
	e.mutex.Unlock()
	time.Sleep(5 * time.Millisecond)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.underWay--
	e.answered++
	return Report{Models: server.Recorded()}, nil
}

const largeFleet = 10000

// largeSnapshot has 300 models, each at 33 servers of 10,000.
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

// waitingReport is a node whose callers wait for an adapter.
func waitingReport(node string, sequence uint64, model, adapter string) DemandReport {
	return DemandReport{
		Node: node, Address: node + ":1", Sequence: sequence, Started: 1,
		Rows: []DemandRow{{Pool: "p", Model: model, Adapter: adapter, Waiting: 1, Arrived: 1}},
	}
}

// A new holder of a fleet of 10,000 servers asks few at once, and those first that hold
// what is waited for.
func TestNewHolderAsksFewServersAtOnce(t *testing.T) {
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
		g.Expect(engines.most).To(Equal(maxConcurrentReports))
		g.Expect(engines.answered).To(Equal(largeFleet))
	})
}

// Two waves that overlap, as when a plan follows soon, ask no server twice at once.
func TestServersAreAskedOnce(t *testing.T) {
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
		g.Expect(engines.most).To(Equal(maxConcurrentReports))
		g.Expect(holder.reports.workers).To(BeZero())
	})
}

// A term that ends while servers are asked leaves nothing to the next one.
func TestTermsAskApart(t *testing.T) {
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
		g.Expect(engines.most).To(BeNumerically("<=", 2*maxConcurrentReports), "the last questions of a term beside the first of the next")
	})
}

// reportedLedger is the ledger of a holder that has heard all servers.
func reportedLedger(snapshot *fleet.Snapshot) *serverTable {
	l := newServerTable()
	for _, found := range l.sync(snapshot, begin) {
		l.applyReport(found, Report{Models: found.server.Recorded()}, begin)
	}
	return l
}

// The sample has what a plan needs: it counts every replica, it has each server that
// holds an adapter that is waited for, and some holders of each model asked for.
func TestSampleOfALargePool(t *testing.T) {
	g := NewWithT(t)
	snapshot := largeSnapshot(largeFleet)
	l := reportedLedger(snapshot)
	l.entries["s00007"].models["m7"].adapters["a1"] = true
	l.entries["s04000"].busy = true
	demand := map[string]*placement.Demand{
		"m7": {Waiting: 1, Adapters: map[string]*placement.AdapterDemand{"a1": {Waiting: 1}}},
		"m8": {Rate: 1},
	}
	for range 100 {
		found := l.sample("p", demand, begin)
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

func TestSmallPoolIsPlannedWhole(t *testing.T) {
	g := NewWithT(t)
	l := reportedLedger(largeSnapshot(maxWholePool))
	found := l.sample("p", map[string]*placement.Demand{}, begin)
	g.Expect(found.servers).To(HaveLen(maxWholePool))
	g.Expect(found.leftOut).To(BeZero())
}

// Callers at many nodes ask for many adapters that no server holds, all at once: the
// worst that a round of admissions does to a holder. Each adapter is ordered once, at a
// server that holds its model, and its places are not taken twice.
func TestEachAdapterIsOrderedOnce(t *testing.T) {
	g := NewWithT(t)
	l := reportedLedger(largeSnapshot(largeFleet))
	engine := largeSnapshot(1).Configuration.Pools["p"].Engine
	demand := map[string]*placement.Demand{}
	for i := range 40 {
		asked := &placement.Demand{Waiting: 5, Adapters: map[string]*placement.AdapterDemand{}}
		for adapter := range 5 {
			asked.Adapters[fmt.Sprint("a", adapter)] = &placement.AdapterDemand{Waiting: 1}
		}
		demand[fmt.Sprint("m", i)] = asked
	}
	ordered := map[string]int{}
	for range 30 {
		chosen := l.sample("p", demand, begin)
		planned := placement.Plan(&placement.Input{
			Now: begin, Engine: engine, Servers: chosen.servers, Elsewhere: chosen.elsewhere, ServersElsewhere: chosen.leftOut, Demand: demand,
		})
		for _, action := range planned.Actions {
			g.Expect(action.Kind).To(Equal(placement.LoadAdapter))
			held := l.entries[action.Server].models[action.Model]
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

// Of many nodes those that wait are told at once what is there.
func TestWaitingNodesAreToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		told := map[string]int{}
		holder := holderOf(largeSnapshot(600), &countingEngines{}, func(address string, update Update) {
			if len(update.Servers) == 1 {
				told[address]++
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
		holder.servers = reportedLedger(holder.config.View.Load())
		holder.pushedAt = time.Now()
		target := holder.servers.entries["s00007"]
		target.models["m7"].adapters["a1"] = true
		holder.servers.markChanged(target)
		holder.pushChange(target, "m7")
		g.Expect(told).To(HaveLen(3))
		time.Sleep(time.Duration(1000) * pushPausePerNode)
		holder.push(time.Now())
		g.Expect(told).To(HaveLen(3), "nobody else is told of what he doesn't ask for")
		for i := 3; i < 1000; i++ {
			report := waitingReport(fmt.Sprint("n", i), 2, "m9", "")
			report.Token = 5
			update, holds := holder.HandleReport(report)
			g.Expect(holds).To(BeTrue())
			g.Expect(update.Servers).To(HaveLen(1), "the next report brings it")
		}
	})
}

// One tick's work on 10,000 servers without the plan: 2.5 ms.
func BenchmarkSample(b *testing.B) {
	snapshot := largeSnapshot(largeFleet)
	l := reportedLedger(snapshot)
	demand := map[string]*placement.Demand{}
	for i := range 100 {
		demand[fmt.Sprint("m", i)] = &placement.Demand{Rate: 1, Waiting: i % 2}
	}
	engine := snapshot.Configuration.Pools["p"].Engine
	b.Run("sync", func(b *testing.B) {
		for b.Loop() {
			l.sync(snapshot, begin)
		}
	})
	b.Run("plan", func(b *testing.B) {
		for b.Loop() {
			chosen := l.sample("p", demand, begin)
			placement.Plan(&placement.Input{
				Now: begin, Engine: engine, Servers: chosen.servers, Elsewhere: chosen.elsewhere, ServersElsewhere: chosen.leftOut, Demand: demand, StoreLoads: 100,
			})
		}
	})
}
