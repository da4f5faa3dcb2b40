package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Placement Suite")
}

var now = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// testEngine returns an engine with six models of 70 GB for servers of 200 GB.
func testEngine() *fleet.Engine {
	engine := &fleet.Engine{Slots: 64, MemoryMB: 200_000, AdapterSlots: 2, LoadsPerSecond: 4, Models: map[string]*fleet.Model{}}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		engine.Models[name] = &fleet.Model{
			Name: name, SizeMB: 70_000, LoadTime: 2 * time.Second, WarmTime: 500 * time.Millisecond,
			DiskTime: 800 * time.Millisecond, Adapters: 3, AdapterMB: 66,
		}
	}
	return engine
}

func server(id string, models ...string) placement.Server {
	result := placement.Server{ID: id, Zone: "z", Models: map[string]placement.Replica{}}
	for _, model := range models {
		result.Models[model] = placement.Replica{Since: now.Add(-time.Minute), Adapters: map[string]bool{}}
	}
	return result
}

func waiting(count int) *placement.Demand {
	return &placement.Demand{Waiting: count, Rate: 0.1, LastUsed: now, Adapters: map[string]*placement.AdapterDemand{}}
}

func idle(rate float64, ago time.Duration) *placement.Demand {
	return &placement.Demand{Rate: rate, LastUsed: now.Add(-ago), Adapters: map[string]*placement.AdapterDemand{}}
}

func input(demand map[string]*placement.Demand, servers ...placement.Server) *placement.Input {
	return &placement.Input{Now: now, Engine: testEngine(), Servers: servers, Demand: demand, StoreLoads: 4}
}

var _ = Describe("loads", func() {
	It("go to a server with free memory", func() {
		actions := placement.Plan(input(map[string]*placement.Demand{"c": waiting(1)}, server("1", "a", "b"), server("2", "a"))).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.Load))
		Expect(actions[0].Server).To(Equal("2"))
		Expect(actions[0].Source).To(Equal(placement.FromStore))
	})

	It("prefer a copy in memory or on disk to the store", func() {
		disk, memory := server("2"), server("3")
		disk.OnDisk = map[string]bool{"c": true}
		memory.InMemory, memory.OnDisk = map[string]bool{"c": true}, map[string]bool{"c": true}
		actions := placement.Plan(input(map[string]*placement.Demand{"c": waiting(1)}, server("1"), disk, memory)).Actions
		Expect(actions[0].Server).To(Equal("3"))
		Expect(actions[0].Expected).To(Equal(500 * time.Millisecond))
	})

	It("that need evictions leave a model in use one replica within one plan", func() {
		used := &placement.Demand{Rate: 5, Running: 0, LastUsed: now, Adapters: map[string]*placement.AdapterDemand{}}
		busy := &placement.Demand{Rate: 5, Running: 30, LastUsed: now, Adapters: map[string]*placement.AdapterDemand{}}
		demand := map[string]*placement.Demand{"a": used, "b": busy, "c": waiting(1), "d": waiting(1), "e": waiting(1), "f": waiting(1)}
		unloads := 0
		for _, action := range placement.Plan(input(demand, server("1", "a", "b"), server("2", "a", "b"), server("3", "a", "b"), server("4", "a", "b"))).Actions {
			if action.Kind == placement.Unload && action.Model == "a" {
				unloads++
			}
		}
		Expect(unloads).To(BeNumerically("<=", 3), "one replica stays")
	})

	It("of further replicas are not repeated while an unanswered order may still be carried out", func() {
		crowded := &placement.Demand{Running: 12, Rate: 5, LastUsed: now, Adapters: map[string]*placement.AdapterDemand{}}
		servers := []placement.Server{server("1", "c"), server("2"), server("3"), server("4"), server("5"), server("6")}
		Expect(placement.Plan(input(map[string]*placement.Demand{"c": crowded}, servers...)).Actions).To(HaveLen(1))
		servers[1].UnconfirmedLoad = "c"
		Expect(placement.Plan(input(map[string]*placement.Demand{"c": crowded}, servers...)).Actions).To(BeEmpty())
		servers[0] = server("1")
		Expect(placement.Plan(input(map[string]*placement.Demand{"c": waiting(1)}, servers...)).Actions).NotTo(BeEmpty(), "a cold model does not rely on it")
	})

	DescribeTable("don't begin", func(change func(in *placement.Input)) {
		in := input(map[string]*placement.Demand{"c": waiting(1)}, server("1"))
		change(in)
		Expect(placement.Plan(in).Actions).To(BeEmpty())
	},
		Entry("twice", func(in *placement.Input) { in.Servers[0].Loading = "c" }),
		Entry("on a busy server", func(in *placement.Input) { in.Servers[0].Busy = true }),
		Entry("on a draining server", func(in *placement.Input) { in.Servers[0].Draining = true }),
		Entry("on a server that does not answer", func(in *placement.Input) { in.Servers[0].Suspect = true }),
		Entry("beyond the store's rate", func(in *placement.Input) { in.StoreLoads = 0 }),
		Entry("of a model that is not configured", func(in *placement.Input) {
			in.Demand = map[string]*placement.Demand{"unknown": waiting(1)}
		}),
	)

	It("load from a server's own copy when the store allows nothing", func() {
		disk := server("1")
		disk.OnDisk = map[string]bool{"c": true}
		in := input(map[string]*placement.Demand{"c": waiting(1)}, disk)
		in.StoreLoads = 0
		Expect(placement.Plan(in).Actions).To(HaveLen(1))
	})

	It("are ordered by cold models first, then by waiting requests", func() {
		in := input(map[string]*placement.Demand{"b": waiting(1), "c": waiting(5), "a": waiting(30)}, server("1", "a"), server("2"), server("3"))
		in.StoreLoads = 2
		actions := placement.Plan(in).Actions
		Expect(actions).To(HaveLen(2))
		Expect(actions[0].Model).To(Equal("c"))
		Expect(actions[1].Model).To(Equal("b"))
	})

	It("give a frequently requested model a second replica", func() {
		frequent := idle(2, 0)
		actions := placement.Plan(input(map[string]*placement.Demand{"a": frequent}, server("1", "a"), server("2"), server("3"), server("4"), server("5"), server("6"))).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Model).To(Equal("a"))
	})
})

var _ = Describe("room", func() {
	It("is freed by the model that is least likely to be requested", func() {
		demand := map[string]*placement.Demand{"c": waiting(1), "a": idle(0.5, time.Second), "b": idle(0.05, 20*time.Second)}
		actions := placement.Plan(input(demand, server("1", "a", "b"))).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.Unload))
		Expect(actions[0].Model).To(Equal("b"))
		Expect(actions[0].Intent).To(Equal("c"))
	})

	It("is kept for the model that it was freed for", func() {
		target := server("1", "a")
		target.Intent = "c"
		demand := map[string]*placement.Demand{"c": waiting(1), "d": waiting(9)}
		actions := placement.Plan(input(demand, target)).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.Load))
		Expect(actions[0].Model).To(Equal("c"))
	})

	DescribeTable("is not freed by", func(change func(in *placement.Input)) {
		in := input(map[string]*placement.Demand{"c": waiting(1), "a": idle(0.1, 0), "b": idle(0.1, 0)}, server("1", "a", "b"))
		change(in)
		Expect(placement.Plan(in).Actions).To(BeEmpty())
	},
		Entry("models with running requests", func(in *placement.Input) {
			in.Demand["a"].Running, in.Demand["b"].Running = 1, 1
		}),
		Entry("models that were just loaded", func(in *placement.Input) {
			for name := range in.Servers[0].Models {
				in.Servers[0].Models[name] = placement.Replica{Since: now}
			}
		}),
	)

	It("is not freed for further replicas by another model's only one", func() {
		demand := map[string]*placement.Demand{"a": {Waiting: 40, Rate: 5, LastUsed: now}, "b": idle(0.2, 0), "c": idle(0.2, 0)}
		Expect(placement.Plan(input(demand, server("1", "a"), server("2", "b", "c"))).Actions).To(HaveLen(0))
	})
})

var _ = Describe("adapters", func() {
	demandFor := func(adapter string) map[string]*placement.Demand {
		demand := waiting(1)
		demand.Adapters[adapter] = &placement.AdapterDemand{Waiting: 1, LastUsed: now}
		return map[string]*placement.Demand{"a": demand}
	}

	It("go to the holder of their model with the fewest adapters", func() {
		full := server("1", "a")
		full.Models["a"] = placement.Replica{Adapters: map[string]bool{"a1": true}}
		actions := placement.Plan(input(demandFor("a2"), full, server("2", "a"))).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.LoadAdapter))
		Expect(actions[0].Server).To(Equal("2"))
	})

	It("replace the least recently used one", func() {
		full := server("1", "a")
		full.Models["a"] = placement.Replica{Adapters: map[string]bool{"a1": true, "a3": true}}
		demand := demandFor("a2")
		demand["a"].Adapters["a1"] = &placement.AdapterDemand{LastUsed: now.Add(-time.Second)}
		demand["a"].Adapters["a3"] = &placement.AdapterDemand{LastUsed: now.Add(-time.Minute)}
		actions := placement.Plan(input(demand, full)).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.UnloadAdapter))
		Expect(actions[0].Adapter).To(Equal("a3"))
	})

	It("are not loaded again while a load is under way", func() {
		coming := server("1", "a")
		coming.Busy = true
		coming.LoadingAdapter = "a/a2"
		Expect(placement.Plan(input(demandFor("a2"), coming, server("2", "a"))).Actions).To(BeEmpty())
	})
})

// drawInput draws an arbitrary state, including states that should not occur.
func drawInput(t *rapid.T) *placement.Input {
	in := input(map[string]*placement.Demand{})
	models := []string{"a", "b", "c", "d", "e", "f"}
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		held := rapid.SliceOfNDistinct(rapid.SampledFrom(models), 0, 2, rapid.ID).Draw(t, "models")
		target := server(fmt.Sprint(i), held...)
		target.Busy, target.Draining, target.Suspect = rapid.Bool().Draw(t, "busy"), rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "suspect")
		target.Intent = rapid.SampledFrom(append(models, "")).Draw(t, "intent")
		if target.Busy {
			target.FreeIn = time.Duration(rapid.IntRange(0, 3000).Draw(t, "free in")) * time.Millisecond
		}
		target.OnDisk = map[string]bool{rapid.SampledFrom(models).Draw(t, "disk"): true}
		in.Servers = append(in.Servers, target)
	}
	for _, model := range models {
		demand := waiting(rapid.IntRange(0, 20).Draw(t, "waiting"))
		demand.Running = rapid.IntRange(0, 20).Draw(t, "running")
		demand.Rate = rapid.Float64Range(0, 5).Draw(t, "rate")
		adapter := rapid.SampledFrom([]string{"a1", "a2", "a3"}).Draw(t, "adapter")
		demand.Adapters[adapter] = &placement.AdapterDemand{Waiting: rapid.IntRange(0, 2).Draw(t, "adapter waiting")}
		in.Demand[model] = demand
	}
	in.StoreLoads = rapid.IntRange(0, 4).Draw(t, "store")
	return in
}

var _ = Describe("any plan", func() {
	It("fits, gives a server at most one order, and is deterministic", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := drawInput(t)
			actions := placement.Plan(in).Actions
			again := placement.Plan(in).Actions
			if fmt.Sprint(actions) != fmt.Sprint(again) {
				t.Fatalf("not repeatable: %v and %v", actions, again)
			}
			checkPlan(t, in, actions)
		})
	})
})

func checkPlan(t *rapid.T, in *placement.Input, actions []placement.Action) {
	ordered := map[string]bool{}
	storeLoads := 0
	for _, action := range actions {
		var target *placement.Server
		for i := range in.Servers {
			if in.Servers[i].ID == action.Server {
				target = &in.Servers[i]
			}
		}
		if ordered[action.Server] || target.Busy || target.Draining || target.Suspect {
			t.Fatalf("%v: the server takes no order in this plan", action)
		}
		ordered[action.Server] = true
		_, holds := target.Models[action.Model]
		if holds != (action.Kind != placement.Load) {
			t.Fatalf("%v: wrong action, since whether the server holds the model is %v", action, holds)
		}
		if action.Kind == placement.Load && len(target.Models) > 1 {
			t.Fatalf("%v: no free memory beside %v", action, target.Models)
		}
		if action.Kind == placement.Load && action.Source == placement.FromStore {
			storeLoads++
		}
	}
	if storeLoads > in.StoreLoads {
		t.Fatalf("%d loads from the store, %d allowed", storeLoads, in.StoreLoads)
	}
}

var _ = Describe("a plan with times", func() {
	It("waits for a busy server with a copy rather than load from the store", func() {
		busy := server("1")
		busy.OnDisk = map[string]bool{"c": true}
		busy.Busy, busy.FreeIn = true, 500*time.Millisecond
		in := input(map[string]*placement.Demand{"c": waiting(1)}, busy, server("2"))
		planned := placement.Plan(in)
		Expect(planned.Actions).To(BeEmpty())
		Expect(planned.ReadyIn["c"]).To(Equal(1300 * time.Millisecond))
	})

	It("loads from the store if a busy server with a copy would be ready later", func() {
		busy := server("1")
		busy.OnDisk = map[string]bool{"c": true}
		busy.Busy, busy.FreeIn = true, 5*time.Second
		planned := placement.Plan(input(map[string]*placement.Demand{"c": waiting(1)}, busy, server("2")))
		Expect(planned.Actions).To(HaveLen(1))
		Expect(planned.Actions[0].Server).To(Equal("2"))
		Expect(planned.ReadyIn["c"]).To(Equal(2 * time.Second))
	})

	It("returns when a model that is being loaded will be ready", func() {
		loading := server("1")
		loading.Busy, loading.Loading, loading.FreeIn = true, "c", 700*time.Millisecond
		planned := placement.Plan(input(map[string]*placement.Demand{"c": waiting(1)}, loading))
		Expect(planned.ReadyIn).To(Equal(map[string]time.Duration{"c": 700 * time.Millisecond}))
	})

	It("includes the time until the store allows a load", func() {
		in := input(map[string]*placement.Demand{"c": waiting(1)}, server("1"))
		in.StoreLoads, in.NextStoreLoadIn = 0, 400*time.Millisecond
		planned := placement.Plan(in)
		Expect(planned.Actions).To(BeEmpty())
		Expect(planned.ReadyIn["c"]).To(Equal(2400 * time.Millisecond))
	})

	It("expects no model sooner than its load takes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := drawInput(t)
			for model, ready := range placement.Plan(in).ReadyIn {
				minReadyIn := time.Hour
				for i := range in.Servers {
					server := &in.Servers[i]
					if server.Loading == model {
						minReadyIn = 0
					}
					_, load := placement.SourceOf(server, in.Engine.Models[model])
					minReadyIn = min(minReadyIn, server.FreeIn+load)
				}
				if ready < minReadyIn {
					t.Fatalf("%s is expected in %v, a load takes %v", model, ready, minReadyIn)
				}
			}
		})
	})
})

var _ = Describe("a server with a copy is waited for", func() {
	// The other server has free memory, but its load from the store takes 8 s.
	planFor := func(change func(in *placement.Input, copyHolder *placement.Server)) placement.Result {
		copyHolder := server("1", "a", "b")
		copyHolder.OnDisk = map[string]bool{"c": true}
		in := input(map[string]*placement.Demand{"c": waiting(1), "a": idle(0.5, 0), "b": idle(0.5, 0)}, copyHolder, server("2"))
		in.Engine.Models["c"].LoadTime = 8 * time.Second
		change(in, &in.Servers[0])
		return placement.Plan(in)
	}

	It("while its models have running requests, if they will be idle soon", func() {
		planned := planFor(func(in *placement.Input, _ *placement.Server) {
			in.Demand["a"].Running, in.Demand["a"].Rate = 1, 4
			in.Demand["b"].Running, in.Demand["b"].Rate = 2, 0.1
		})
		Expect(planned.Actions).To(BeEmpty())
		Expect(planned.ReadyIn["c"]).To(Equal(300*time.Millisecond + 950*time.Millisecond))
	})

	It("but not while its models have many running requests", func() {
		planned := planFor(func(in *placement.Input, _ *placement.Server) {
			in.Demand["a"].Running, in.Demand["a"].Rate = 9, 2
			in.Demand["b"].Running, in.Demand["b"].Rate = 9, 2
		})
		Expect(planned.Actions).To(HaveLen(1))
		Expect(planned.Actions[0].Server).To(Equal("2"))
	})

	It("while another model is loaded there", func() {
		planned := planFor(func(_ *placement.Input, copyHolder *placement.Server) {
			copyHolder.Busy, copyHolder.FreeIn, copyHolder.Loading = true, 300*time.Millisecond, "d"
			delete(copyHolder.Models, "b")
		})
		Expect(planned.Actions).To(BeEmpty())
		Expect(planned.ReadyIn["c"]).To(Equal(300*time.Millisecond + 950*time.Millisecond))
	})

	It("while memory is freed there for another model", func() {
		planned := planFor(func(in *placement.Input, copyHolder *placement.Server) {
			copyHolder.Busy, copyHolder.FreeIn, copyHolder.Intent = true, 100*time.Millisecond, "d"
			copyHolder.InMemory = map[string]bool{"d": true}
			delete(copyHolder.Models, "b")
			in.Demand["d"] = waiting(1)
		})
		Expect(planned.Actions).To(BeEmpty())
		Expect(planned.ReadyIn["d"]).To(Equal(600 * time.Millisecond))
		Expect(planned.ReadyIn["c"]).To(Equal(600*time.Millisecond + 950*time.Millisecond))
	})
})

var _ = Describe("adapters that are waited for", func() {
	It("come before a model's load on the same server", func() {
		// Found in sofrakod-yemekhane's scale-1, seed 13: a new server loaded three
		// models one after the other, which took 18 s; eight adapters that were
		// requested repeatedly had no server in that time.
		demand := map[string]*placement.Demand{"a": waiting(1), "c": waiting(5)}
		demand["a"].Adapters["a1"] = &placement.AdapterDemand{Waiting: 1}
		actions := placement.Plan(input(demand, server("1", "a"))).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.LoadAdapter))
	})

	It("are loaded on a server that a model's load has to wait for", func() {
		holder := server("1", "a", "b")
		holder.OnDisk = map[string]bool{"c": true}
		demand := map[string]*placement.Demand{"a": waiting(1), "b": idle(1, 0), "c": waiting(5)}
		demand["a"].Running, demand["b"].Running = 1, 1
		demand["a"].Adapters["a1"] = &placement.AdapterDemand{Waiting: 1}
		actions := placement.Plan(input(demand, holder)).Actions
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].Kind).To(Equal(placement.LoadAdapter))
	})

	It("are not evicted for each other", func() {
		full := server("1", "a")
		full.Models["a"] = placement.Replica{Adapters: map[string]bool{"a1": true, "a2": true}}
		demand := map[string]*placement.Demand{"a": waiting(3)}
		for _, adapter := range []string{"a1", "a2", "a3"} {
			demand["a"].Adapters[adapter] = &placement.AdapterDemand{Waiting: 1}
		}
		Expect(placement.Plan(input(demand, full)).Actions).To(BeEmpty())
	})
})

var _ = Describe("an implausible configuration", func() {
	DescribeTable("of one model does not affect others", func(change func(model *fleet.Model), mayLoad bool) {
		in := input(map[string]*placement.Demand{"c": waiting(9), "d": waiting(1)}, server("1"), server("2"))
		change(in.Engine.Models["c"])
		loaded := map[string]bool{}
		for _, action := range placement.Plan(in).Actions {
			Expect(action.Kind).To(Equal(placement.Load))
			loaded[action.Model] = true
			Expect(action.Expected).To(BeNumerically(">", 0))
		}
		Expect(loaded["d"]).To(BeTrue())
		Expect(loaded["c"]).To(Equal(mayLoad))
	},
		Entry("a model larger than any server", func(model *fleet.Model) { model.SizeMB = 500_000 }, false),
		Entry("a size of zero", func(model *fleet.Model) { model.SizeMB = 0 }, true),
		Entry("no load times", func(model *fleet.Model) { model.LoadTime, model.WarmTime, model.DiskTime = 0, 0, 0 }, true),
	)

	It("loads nothing on a server that holds a model that is not configured", func() {
		in := input(map[string]*placement.Demand{"c": waiting(1)}, server("1", "unknown"))
		Expect(placement.Plan(in).Actions).To(BeEmpty())
	})
})
