package orders

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/placement"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

// Elections, orders and links are tested in package platform, with stand-ins for the store and
// the servers.

func TestOrders(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Orders Suite")
}

var testStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

var _ = ginkgo.Describe("ceiling", func() {
	limits := LoadRateLimits{Window: 5 * time.Second, Overage: 1.1}

	ginkgo.It("is kept in every window, whenever loads are requested", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
			bucket := newLoadLimiter(limits)
			now := testStart
			var starts []time.Time
			for range 300 {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				for range min(bucket.available(rate, storeLoads{}, now), rapid.IntRange(0, 50).Draw(t, "wanted")) {
					bucket.take()
					starts = append(starts, now)
				}
			}
			limit := rate*limits.Window.Seconds()*limits.Overage + 3
			for i := range starts {
				inWindow := 0
				for _, start := range starts[i:] {
					if start.Sub(starts[i]) < limits.Window {
						inWindow++
					}
				}
				if float64(inWindow) > limit {
					t.Fatalf("%d loads in a window, at most %v", inWindow, limit)
				}
			}
		})
	})

	ginkgo.It("is kept when holders follow each other immediately", func() {
		limits := LoadRateLimits{Window: 5 * time.Second, Overage: 1.1}
		const rate = 4.0
		var begun []time.Time
		now := time.Now()
		current := newLoadLimiter(limits)
		for step := range 1000 {
			if step%50 == 0 {
				current = newLoadLimiter(limits)
			}
			for range current.available(rate, storeLoads{}, now) {
				current.take()
				begun = append(begun, now)
			}
			now = now.Add(20 * time.Millisecond)
		}
		for i, first := range begun {
			within := 0
			for _, at := range begun[i:] {
				if at.Sub(first) < limits.Window {
					within++
				}
			}
			Expect(float64(within)).To(BeNumerically("<=", rate*limits.Window.Seconds()*limits.Overage+3))
		}
	})

	ginkgo.It("bounds the concurrent loads", func() {
		bucket := newLoadLimiter(limits)
		bucket.available(4, storeLoads{}, testStart)
		Expect(bucket.available(4, storeLoads{count: initialConcurrency}, testStart.Add(time.Minute))).To(BeZero())
		Expect(bucket.available(4, storeLoads{count: initialConcurrency - 1}, testStart.Add(time.Minute))).To(Equal(1))
		Expect(bucket.nextIn(4, storeLoads{count: initialConcurrency, nextEnd: 3 * time.Second})).To(Equal(3 * time.Second))
	})

	ginkgo.DescribeTable("measures how many loads the store serves at full speed", func(concurrent int) {
		bucket := newLoadLimiter(limits)
		for range 100 {
			// The store serves this many loads at full speed, and slows down more of them
			// in proportion.
			bucket.observe(max(1, float64(bucket.maxConcurrent)/float64(concurrent)), bucket.maxConcurrent)
		}
		Expect(bucket.maxConcurrent).To(BeNumerically(">=", concurrent*3/4))
		Expect(bucket.maxConcurrent).To(BeNumerically("<=", concurrent*5/4+1))
	},
		ginkgo.Entry("one", 1), ginkgo.Entry("as many as initially assumed", 4), ginkgo.Entry("more", 13), ginkgo.Entry("many", 60))

	ginkgo.DescribeTable("starts with as many loads as complete in time if the store serves one", func(loadTime time.Duration, concurrent int) {
		bucket := newLoadLimiter(limits)
		bucket.limitInitialConcurrency(loadTime)
		Expect(bucket.maxConcurrent).To(Equal(concurrent))
		bucket.observe(1, concurrent)
		measured := bucket.maxConcurrent
		bucket.limitInitialConcurrency(loadTime)
		Expect(bucket.maxConcurrent).To(Equal(measured), "the measured bound stays")
	},
		ginkgo.Entry("short loads", 1500*time.Millisecond, initialConcurrency), ginkgo.Entry("loads of 6 s", 6*time.Second, initialConcurrency),
		ginkgo.Entry("long loads", 13200*time.Millisecond, 1), ginkgo.Entry("very long loads", time.Minute, 1), ginkgo.Entry("unknown load time", time.Duration(0), initialConcurrency))

	ginkgo.It("does not raise the bound after loads that ran with few others", func() {
		bucket := newLoadLimiter(limits)
		bucket.observe(1, 1)
		Expect(bucket.maxConcurrent).To(Equal(initialConcurrency))
	})
})

var _ = ginkgo.Describe("demand", func() {
	report := func(node string, sequence uint64, rows ...DemandRow) DemandReport {
		return DemandReport{Node: node, Address: node + ":1", Sequence: sequence, Started: 1, Rows: rows}
	}
	row := func(waiting, running int, arrived uint64) DemandRow {
		return DemandRow{Pool: "p", Model: "m", Adapter: "a1", Waiting: waiting, Running: running, Arrived: arrived}
	}

	ginkgo.It("is summed over nodes, and expires with their reports", func() {
		tracker := newDemandTracker()
		tracker.add(report("x", 1, row(1, 2, 5)), testStart)
		tracker.add(report("y", 1, row(3, 0, 5)), testStart)
		found := tracker.poolDemand("p", testStart)["m"]
		Expect(found.Waiting).To(Equal(4))
		Expect(found.Running).To(Equal(2))
		Expect(found.Adapters["a1"].Waiting).To(Equal(4))
		Expect(tracker.liveNodes(testStart)).To(HaveLen(2))
		later := testStart.Add(10 * time.Second)
		Expect(tracker.poolDemand("p", later)["m"].Waiting).To(BeZero())
		Expect(tracker.liveNodes(later)).To(BeEmpty())
	})

	ginkgo.It("ignores reports that are older than the last one, except those of a new process", func() {
		tracker := newDemandTracker()
		tracker.add(report("x", 5, row(1, 0, 1)), testStart)
		tracker.add(report("x", 4, row(9, 0, 1)), testStart)
		Expect(tracker.poolDemand("p", testStart)["m"].Waiting).To(Equal(1))
		restarted := report("x", 1, row(2, 0, 1))
		restarted.Started = 2
		tracker.add(restarted, testStart)
		Expect(tracker.poolDemand("p", testStart)["m"].Waiting).To(Equal(2))
	})

	ginkgo.It("counts each arrival once, and lets the rate decay", func() {
		tracker := newDemandTracker()
		tracker.add(report("x", 1, row(0, 0, 100)), testStart)
		for i := range uint64(40) {
			tracker.add(report("x", 2+i, row(0, 0, 101+i)), testStart.Add(time.Duration(i)*100*time.Millisecond))
		}
		at := testStart.Add(4 * time.Second)
		Expect(tracker.poolDemand("p", at)["m"].Rate).To(BeNumerically("~", 6.5, 1.5))
		Expect(tracker.poolDemand("p", at.Add(40*time.Second))["m"].Rate).To(BeNumerically("<", 0.01))
	})

	ginkgo.It("includes refused requests that may be retried", func() {
		tracker := newDemandTracker()
		expected := row(0, 0, 1)
		expected.Expected = true
		tracker.add(report("x", 1, expected), testStart)
		Expect(tracker.poolDemand("p", testStart)["m"].Waiting).To(Equal(1))
	})
})

var _ = ginkgo.Describe("an action", func() {
	engine := &fleet.Engine{MemoryMB: 200, AdapterSlots: 1, Models: map[string]*fleet.Model{
		"a": {Name: "a", SizeMB: 70, AdapterMB: 1}, "b": {Name: "b", SizeMB: 70}, "c": {Name: "c", SizeMB: 70},
	}}
	holding := func(names ...string) *entry {
		made := &entry{reported: true, models: map[string]*heldModel{}}
		for _, name := range names {
			made.models[name] = &heldModel{adapters: map[string]bool{}}
		}
		return made
	}
	load := func(model string) placement.Action { return placement.Action{Kind: placement.Load, Model: model} }

	ginkgo.DescribeTable("is checked against the server's capacity, independently of the planner", func(target *entry, change func(e *entry), action placement.Action, allowed bool) {
		if change != nil {
			change(target)
		}
		Expect((&Holder{}).allowed(target, engine, action)).To(Equal(allowed))
	},
		ginkgo.Entry("room", holding("a"), nil, load("b"), true),
		ginkgo.Entry("not enough memory", holding("a", "b"), nil, load("c"), false),
		ginkgo.Entry("held already", holding("a"), nil, load("a"), false),
		ginkgo.Entry("memory taken by a load", holding("a"), func(e *entry) { e.loading = "b" }, load("c"), false),
		ginkgo.Entry("memory not freed yet", holding("a"), func(e *entry) { e.unloading = "b" }, load("c"), false),
		ginkgo.Entry("an unknown model fills the server", holding("x"), nil, load("c"), false),
		ginkgo.Entry("an order is in progress", holding(), func(e *entry) { e.busy = true }, load("c"), false),
		ginkgo.Entry("a server that has not reported", holding(), func(e *entry) { e.reported = false }, load("c"), false),
		ginkgo.Entry("no server", nil, nil, load("c"), false),
		ginkgo.Entry("free adapter slot", holding("a"), nil, placement.Action{Kind: placement.LoadAdapter, Model: "a", Adapter: "a1"}, true),
		ginkgo.Entry("no free adapter slot", holding("a"), func(e *entry) { e.models["a"].adapters["a2"] = true },
			placement.Action{Kind: placement.LoadAdapter, Model: "a", Adapter: "a1"}, false),
		ginkgo.Entry("adapter without its model", holding("b"), nil, placement.Action{Kind: placement.LoadAdapter, Model: "a", Adapter: "a1"}, false),
	)
})

var _ = ginkgo.Describe("an order in progress", func() {
	at := func(after time.Duration) time.Duration {
		found := entry{server: &fleet.Server{ID: "s"}, busy: true, busyUntil: testStart}
		return found.forPlanner("s", testStart.Add(after)).FreeIn
	}

	ginkgo.It("is expected to end in time", func() {
		Expect(at(-time.Second)).To(Equal(time.Second))
	})

	ginkgo.It("is expected to take as long again as it is overdue", func() {
		// Otherwise a plan would wait for a server that does not answer until its order
		// times out, although other servers could load the model.
		Expect(at(3 * time.Second)).To(Equal(3 * time.Second))
	})
})

var _ = ginkgo.Describe("promises", func() {
	key := func(model string) modelKey { return modelKey{pool: "p", model: model} }

	ginkgo.It("are sent only to the nodes that wait for the model", func() {
		tracker := newDemandTracker()
		tracker.add(DemandReport{Node: "a", Address: "a:1", Sequence: 1, Rows: []DemandRow{
			{Pool: "p", Model: "m", Waiting: 1}, {Pool: "p", Model: "m", Adapter: "x", Waiting: 1}, {Pool: "p", Model: "n", Running: 3},
		}}, testStart)
		tracker.add(DemandReport{Node: "b", Address: "b:1", Sequence: 1, Rows: []DemandRow{{Pool: "p", Model: "n", Waiting: 2}}}, testStart)
		tracker.add(DemandReport{Node: "c", Address: "c:1", Sequence: 1, Rows: []DemandRow{{Pool: "p", Model: "m", Running: 2}}}, testStart)
		// Sent to all nodes, they took 10 Mbit/s of the holder's link with 86 nodes.
		Expect(tracker.waitingNodes([]modelKey{key("m")}, testStart)).To(Equal(map[string][]modelKey{"a:1": {key("m")}}))
		Expect(tracker.waitingNodes([]modelKey{key("m"), key("n")}, testStart)).To(HaveLen(2))
	})

	ginkgo.It("are sent again when they change by more than a share of the remaining time", func() {
		estimates := newReadyEstimates()
		estimates.update("p", map[string]time.Duration{"m": time.Second, "n": 6 * time.Second}, testStart)
		Expect(estimates.takeChanged()).To(ConsistOf(key("m"), key("n")))
		estimates.update("p", map[string]time.Duration{"m": 1200 * time.Millisecond, "n": 6500 * time.Millisecond}, testStart)
		Expect(estimates.takeChanged()).To(ConsistOf(key("m")))
		estimates.update("p", map[string]time.Duration{"n": 6500 * time.Millisecond}, testStart)
		Expect(estimates.takeChanged()).To(BeEmpty())
		Expect(estimates.states([]modelKey{key("m"), key("n")}, testStart.Add(time.Second))).To(Equal([]ExpectedModel{
			{Pool: "p", Model: "n", Remaining: 5500 * time.Millisecond},
		}))
	})

	ginkgo.It("are used for a while after their time has passed", func() {
		row := forward.DemandKey{Pool: "p", Model: "m"}
		link := &Link{readyTimes: map[forward.DemandKey]time.Time{row: time.Now().Add(-estimateGrace / 2)}}
		_, expected := link.ReadyAt(row)
		Expect(expected).To(BeTrue())
		link.readyTimes[row] = time.Now().Add(-2 * estimateGrace)
		_, expected = link.ReadyAt(row)
		Expect(expected).To(BeFalse())
	})
})
