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

// Elections, orders and links are tested against the platform's stand-ins, in
// package platform.

func TestOrders(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Orders Suite")
}

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

var _ = ginkgo.Describe("ceiling", func() {
	limits := LoadRateLimits{Window: 5 * time.Second, Overage: 1.1}

	ginkgo.It("is kept in every window, whenever loads are asked for", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			rate := rapid.Float64Range(0.5, 40).Draw(t, "rate")
			bucket := newLoadLimiter(limits)
			now := begin
			var starts []time.Time
			for range 300 {
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
				for range min(bucket.available(rate, storeLoads{}, now), rapid.IntRange(0, 50).Draw(t, "wanted")) {
					bucket.take()
					starts = append(starts, now)
				}
			}
			most := rate*limits.Window.Seconds()*limits.Overage + 3
			for i := range starts {
				inWindow := 0
				for _, start := range starts[i:] {
					if start.Sub(starts[i]) < limits.Window {
						inWindow++
					}
				}
				if float64(inWindow) > most {
					t.Fatalf("%d loads in a window, at most %v", inWindow, most)
				}
			}
		})
	})

	ginkgo.It("is kept by holders that follow each other at once", func() {
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

	ginkgo.It("bounds the loads under way", func() {
		bucket := newLoadLimiter(limits)
		bucket.available(4, storeLoads{}, begin)
		Expect(bucket.available(4, storeLoads{count: initialConcurrency}, begin.Add(time.Minute))).To(BeZero())
		Expect(bucket.available(4, storeLoads{count: initialConcurrency - 1}, begin.Add(time.Minute))).To(Equal(1))
		Expect(bucket.nextIn(4, storeLoads{count: initialConcurrency, nextEnd: 3 * time.Second})).To(Equal(3 * time.Second))
	})

	ginkgo.DescribeTable("learns how many loads the store serves at full speed", func(atOnce int) {
		bucket := newLoadLimiter(limits)
		for range 100 {
			// A store that serves atOnce loads at full speed slows more of them down
			// in proportion.
			bucket.observe(max(1, float64(bucket.maxConcurrent)/float64(atOnce)), bucket.maxConcurrent)
		}
		Expect(bucket.maxConcurrent).To(BeNumerically(">=", atOnce*3/4))
		Expect(bucket.maxConcurrent).To(BeNumerically("<=", atOnce*5/4+1))
	},
		ginkgo.Entry("one", 1), ginkgo.Entry("as many as are assumed", 4), ginkgo.Entry("more", 13), ginkgo.Entry("many", 60))

	ginkgo.DescribeTable("begins with as many loads as end in time if the store serves one", func(loadTime time.Duration, atOnce int) {
		bucket := newLoadLimiter(limits)
		bucket.limitInitialConcurrency(loadTime)
		Expect(bucket.maxConcurrent).To(Equal(atOnce))
		bucket.observe(1, atOnce)
		learned := bucket.maxConcurrent
		bucket.limitInitialConcurrency(loadTime)
		Expect(bucket.maxConcurrent).To(Equal(learned), "what was learned stays")
	},
		ginkgo.Entry("short loads", 1500*time.Millisecond, initialConcurrency), ginkgo.Entry("loads of 6 s", 6*time.Second, initialConcurrency),
		ginkgo.Entry("long loads", 13200*time.Millisecond, 1), ginkgo.Entry("very long loads", time.Minute, 1), ginkgo.Entry("not told", time.Duration(0), initialConcurrency))

	ginkgo.It("does not grow by loads that ran with few others", func() {
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

	ginkgo.It("is summed over nodes and expires with their reports", func() {
		book := newDemandTracker()
		book.add(report("x", 1, row(1, 2, 5)), begin)
		book.add(report("y", 1, row(3, 0, 5)), begin)
		found := book.poolDemand("p", begin)["m"]
		Expect(found.Waiting).To(Equal(4))
		Expect(found.Running).To(Equal(2))
		Expect(found.Adapters["a1"].Waiting).To(Equal(4))
		Expect(book.liveNodes(begin)).To(HaveLen(2))
		later := begin.Add(10 * time.Second)
		Expect(book.poolDemand("p", later)["m"].Waiting).To(BeZero())
		Expect(book.liveNodes(later)).To(BeEmpty())
	})

	ginkgo.It("takes no report that is older than the one before, and each of a new process", func() {
		book := newDemandTracker()
		book.add(report("x", 5, row(1, 0, 1)), begin)
		book.add(report("x", 4, row(9, 0, 1)), begin)
		Expect(book.poolDemand("p", begin)["m"].Waiting).To(Equal(1))
		restarted := report("x", 1, row(2, 0, 1))
		restarted.Started = 2
		book.add(restarted, begin)
		Expect(book.poolDemand("p", begin)["m"].Waiting).To(Equal(2))
	})

	ginkgo.It("counts arrivals once, and forgets their rate", func() {
		book := newDemandTracker()
		book.add(report("x", 1, row(0, 0, 100)), begin)
		for i := range uint64(40) {
			book.add(report("x", 2+i, row(0, 0, 101+i)), begin.Add(time.Duration(i)*100*time.Millisecond))
		}
		at := begin.Add(4 * time.Second)
		Expect(book.poolDemand("p", at)["m"].Rate).To(BeNumerically("~", 6.5, 1.5))
		Expect(book.poolDemand("p", at.Add(40*time.Second))["m"].Rate).To(BeNumerically("<", 0.01))
	})

	ginkgo.It("keeps a model wanted while refused requests may come back", func() {
		book := newDemandTracker()
		expected := row(0, 0, 1)
		expected.Expected = true
		book.add(report("x", 1, expected), begin)
		Expect(book.poolDemand("p", begin)["m"].Waiting).To(Equal(1))
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

	ginkgo.DescribeTable("is checked again, whatever the plan says", func(target *entry, change func(e *entry), action placement.Action, allowed bool) {
		if change != nil {
			change(target)
		}
		Expect((&Holder{}).allowed(target, engine, action)).To(Equal(allowed))
	},
		ginkgo.Entry("room", holding("a"), nil, load("b"), true),
		ginkgo.Entry("no room", holding("a", "b"), nil, load("c"), false),
		ginkgo.Entry("held already", holding("a"), nil, load("a"), false),
		ginkgo.Entry("room taken by a load", holding("a"), func(e *entry) { e.loading = "b" }, load("c"), false),
		ginkgo.Entry("room not given back yet", holding("a"), func(e *entry) { e.unloading = "b" }, load("c"), false),
		ginkgo.Entry("a model that nobody knows takes all", holding("x"), nil, load("c"), false),
		ginkgo.Entry("an order is under way", holding(), func(e *entry) { e.busy = true }, load("c"), false),
		ginkgo.Entry("a server that was not heard", holding(), func(e *entry) { e.reported = false }, load("c"), false),
		ginkgo.Entry("no server", nil, nil, load("c"), false),
		ginkgo.Entry("place for an adapter", holding("a"), nil, placement.Action{Kind: placement.LoadAdapter, Model: "a", Adapter: "a1"}, true),
		ginkgo.Entry("no place for an adapter", holding("a"), func(e *entry) { e.models["a"].adapters["a2"] = true },
			placement.Action{Kind: placement.LoadAdapter, Model: "a", Adapter: "a1"}, false),
		ginkgo.Entry("adapter without its model", holding("b"), nil, placement.Action{Kind: placement.LoadAdapter, Model: "a", Adapter: "a1"}, false),
	)
})

var _ = ginkgo.Describe("an order under way", func() {
	at := func(after time.Duration) time.Duration {
		found := entry{server: &fleet.Server{ID: "s"}, busy: true, busyUntil: begin}
		return found.forPlanner("s", begin.Add(after)).FreeIn
	}

	ginkgo.It("is expected to end in time", func() {
		Expect(at(-time.Second)).To(Equal(time.Second))
	})

	ginkgo.It("is expected to take as long again as it is overdue", func() {
		// Else a plan waits for a server that does not answer for as long as its
		// order is waited for, while others could load the model.
		Expect(at(3 * time.Second)).To(Equal(3 * time.Second))
	})
})

var _ = ginkgo.Describe("promises", func() {
	key := func(model string) modelKey { return modelKey{pool: "p", model: model} }

	ginkgo.It("are told to the nodes that wait for the model, and to no others", func() {
		book := newDemandTracker()
		book.add(DemandReport{Node: "a", Address: "a:1", Sequence: 1, Rows: []DemandRow{
			{Pool: "p", Model: "m", Waiting: 1}, {Pool: "p", Model: "m", Adapter: "x", Waiting: 1}, {Pool: "p", Model: "n", Running: 3},
		}}, begin)
		book.add(DemandReport{Node: "b", Address: "b:1", Sequence: 1, Rows: []DemandRow{{Pool: "p", Model: "n", Waiting: 2}}}, begin)
		book.add(DemandReport{Node: "c", Address: "c:1", Sequence: 1, Rows: []DemandRow{{Pool: "p", Model: "m", Running: 2}}}, begin)
		// Told to all, they took 10 Mbit/s of the holder's link with 86 nodes.
		Expect(book.waitingNodes([]modelKey{key("m")}, begin)).To(Equal(map[string][]modelKey{"a:1": {key("m")}}))
		Expect(book.waitingNodes([]modelKey{key("m"), key("n")}, begin)).To(HaveLen(2))
	})

	ginkgo.It("are told again when they move, by more than a share of what is left", func() {
		told := newReadyEstimates()
		told.update("p", map[string]time.Duration{"m": time.Second, "n": 6 * time.Second}, begin)
		Expect(told.takeChanged()).To(ConsistOf(key("m"), key("n")))
		told.update("p", map[string]time.Duration{"m": 1200 * time.Millisecond, "n": 6500 * time.Millisecond}, begin)
		Expect(told.takeChanged()).To(ConsistOf(key("m")))
		told.update("p", map[string]time.Duration{"n": 6500 * time.Millisecond}, begin)
		Expect(told.takeChanged()).To(BeEmpty())
		Expect(told.states([]modelKey{key("m"), key("n")}, begin.Add(time.Second))).To(Equal([]ExpectedModel{
			{Pool: "p", Model: "n", Remaining: 5500 * time.Millisecond},
		}))
	})

	ginkgo.It("count for a while after they were not kept", func() {
		row := forward.DemandKey{Pool: "p", Model: "m"}
		link := &Link{readyTimes: map[forward.DemandKey]time.Time{row: time.Now().Add(-estimateGrace / 2)}}
		_, coming := link.ReadyAt(row)
		Expect(coming).To(BeTrue())
		link.readyTimes[row] = time.Now().Add(-2 * estimateGrace)
		_, coming = link.ReadyAt(row)
		Expect(coming).To(BeFalse())
	})
})
