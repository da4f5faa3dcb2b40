package placement_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/placement"
)

var _ = Describe("any plan with known loads", func() {
	// Guards against further replicas that overfill a server, exceed the store's rate, or give a
	// server two orders; and against ones that cost more than they gain, or take the place of a
	// model with requests.
	It("fits, is deterministic, and gains more than it costs", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := drawInput(t)
			in.Servers = in.Servers[:rapid.IntRange(1, len(in.Servers)).Draw(t, "count")]
			for i := range in.Servers {
				in.Servers[i].Slots = rapid.SampledFrom([]int{0, 8, 24}).Draw(t, "slots")
				in.Servers[i].Load = float64(rapid.IntRange(0, 60).Draw(t, "load"))
				in.Servers[i].Speed = rapid.SampledFrom([]float64{0, 0.6, 1.4}).Draw(t, "speed")
			}
			for _, demand := range in.Demand {
				demand.Running *= rapid.IntRange(0, 4).Draw(t, "running factor")
			}
			actions := placement.Plan(in).Actions
			if again := placement.Plan(in).Actions; fmt.Sprint(actions) != fmt.Sprint(again) {
				t.Fatalf("not repeatable: %v and %v", actions, again)
			}
			checkPlan(t, in, actions)
			for _, action := range actions {
				if action.Value == 0 {
					continue
				}
				demand := in.Demand[action.Model]
				if action.Cost > action.Value || action.Kind == placement.Unload && demand.Running+demand.Waiting > 0 {
					t.Fatalf("%v is not worth it", action)
				}
			}
		})
	})

	// Guards against urgent requests that wait behind more requests of low priority.
	It("orders cold models by the priority of their waiting requests", func() {
		in := input(map[string]*placement.Demand{"c": waiting(3), "d": waiting(2)}, server("1"), server("2"))
		in.Demand["c"].Priority, in.StoreLoads = 9, 1
		Expect(placement.Plan(in).Actions[0].Model).To(Equal("c"), "without known loads as before")
		in.Servers[0].Slots = 24
		Expect(placement.Plan(in).Actions[0].Model).To(Equal("d"))
	})
})

// Guards against a third replica by the count of requests, on servers with room, that takes the only
// load from the weight store before the next cold model.
func TestStoreIsKeptForColdModels(t *testing.T) {
	RegisterTestingT(t)
	planFor := func(load float64, coldRate float64) []placement.Action {
		in := input(map[string]*placement.Demand{"a": {Running: 20, Rate: 5, LastUsed: now}, "c": idle(coldRate, time.Second), "d": idle(coldRate, time.Second)})
		for i := range 9 {
			in.Servers = append(in.Servers, server(fmt.Sprint(i)))
		}
		for i := range 2 {
			in.Servers[i] = server(fmt.Sprint(i), "a")
			in.Servers[i].Load, in.Servers[i].Slots = load, 24
		}
		in.StoreLoads = 1
		return placement.Plan(in).Actions
	}
	Expect(planFor(10, 0.9)).To(BeEmpty())
	Expect(planFor(10, 0.1)).To(HaveLen(1), "no request for a cold model is expected")
	Expect(planFor(20, 0.9)).To(HaveLen(1), "the servers are full")
}

// Guards against replicas that were needed a moment ago and go to a model that gets them by count,
// and come back as soon as the load does.
func TestRecentlyNeededReplicasDontGoByCount(t *testing.T) {
	RegisterTestingT(t)
	in := input(map[string]*placement.Demand{"a": idle(0.5, 5*time.Second), "b": {Running: 20, Rate: 5, LastUsed: now}, "d": {Running: 1}})
	for i := range 9 {
		held := []string{"a", "d"}
		if i == 0 {
			held[0] = "b"
		}
		in.Servers = append(in.Servers, server(fmt.Sprint(i), held...))
		in.Servers[i].Load, in.Servers[i].Slots = 3, 24
	}
	Expect(placement.Plan(in).Actions).NotTo(BeEmpty())
	in.RecentLosses = map[string]float64{"a": 0.5, "d": 0.5}
	Expect(placement.Plan(in).Actions).To(BeEmpty())
	in.Demand["c"] = waiting(1)
	Expect(placement.Plan(in).Actions).To(HaveLen(1), "but to a model without replica")
}

// Guards against a successor that leaves memory empty which the last holder freed before it died,
// and against one that fills it with a replica that is no longer needed.
func TestNextHolderUsesFreedMemory(t *testing.T) {
	RegisterTestingT(t)
	planFor := func(load float64) []placement.Action {
		crowded, freed := server("1", "a", "b"), server("2", "d")
		crowded.Load, crowded.Slots, freed.Slots = load, 24, 24
		in := input(map[string]*placement.Demand{"a": {Running: 30, Rate: 10, LastUsed: now}, "b": {}, "d": {}}, crowded, freed)
		in.CountedSince = now
		return placement.Plan(in).Actions
	}
	actions := planFor(30)
	Expect(actions).To(HaveLen(1))
	Expect(actions[0].Kind).To(Equal(placement.Load))
	Expect(actions[0].Reason).To(Equal(placement.ReasonRelief))
	Expect(planFor(9)).To(BeEmpty())
}

// Guards against a recent worth that lasts for ever, or that is another number of replicas'.
func TestRecentLossesDecay(t *testing.T) {
	RegisterTestingT(t)
	recent := placement.NewRecentLosses()
	record := func(servers int, loss float64, after time.Duration) {
		recent.Record(map[string]placement.RemovalLoss{"a": {Servers: servers, PerSecond: loss}}, now.Add(after))
	}
	record(2, 2, 0)
	record(2, 1, time.Second)
	Expect(recent.At(now)["a"]).To(Equal(2.0))
	Expect(recent.At(now.Add(time.Minute))["a"]).To(BeNumerically("~", 2/2.718, 0.01))
	record(3, 0.5, 2*time.Second)
	Expect(recent.At(now.Add(2 * time.Second))["a"]).To(Equal(0.5))
	record(2, 0.4, 3*time.Second)
	Expect(recent.At(now.Add(3 * time.Second))["a"]).To(BeNumerically(">", 0.4))
	Expect(recent.At(now.Add(10 * time.Minute))).To(BeEmpty())
}

// loadedInput is busyInput with known loads: every sixth model fills its servers.
func loadedInput(servers, models int) *placement.Input {
	in := busyInput(servers, models)
	for i := range in.Servers {
		in.Servers[i].Slots, in.Servers[i].Load = 24, float64(i*7%40)
	}
	for i := 1; i < models; i += 6 {
		if demand := in.Demand[fmt.Sprintf("m%d", i)]; demand.Waiting == 0 {
			demand.Running, demand.Rate = 40, 20
		}
	}
	return in
}

// BenchmarkPlanWithLoads measures one plan with known loads. The limit is 10 ms for 60 servers and
// 400 models.
func BenchmarkPlanWithLoads(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{60, 200}, {60, 400}, {512, 1100}} {
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			in := loadedInput(size.servers, size.models)
			b.ReportAllocs()
			for b.Loop() {
				placement.Plan(in)
			}
		})
	}
}

// Guards against plans that differ from run to run with the order in which a map's values are summed.
func TestPlansAreRepeatableWhereExpectedRequestsAddUpToOne(t *testing.T) {
	RegisterTestingT(t)
	in := input(map[string]*placement.Demand{
		"a": {Running: 20, Rate: 5, LastUsed: now}, "c": idle(0.1, time.Second), "d": idle(0.2, time.Second), "e": idle(0.7, time.Second),
	})
	for _, model := range []string{"c", "d", "e"} {
		in.Engine.Models[model].LoadTime = time.Second
	}
	for i := range 9 {
		in.Servers = append(in.Servers, server(fmt.Sprint(i)))
	}
	for i := range 2 {
		in.Servers[i] = server(fmt.Sprint(i), "a")
		in.Servers[i].Load, in.Servers[i].Slots = 10, 24
	}
	in.StoreLoads = 1
	plans := map[string]bool{}
	for range 300 {
		plans[fmt.Sprint(placement.Plan(in).Actions)] = true
	}
	Expect(plans).To(HaveLen(1))
}

// Guards against a third replica that is withheld, as if the servers had room, since two models fill
// them together.
func TestThirdReplicaOnServersThatTwoModelsFill(t *testing.T) {
	RegisterTestingT(t)
	in := input(map[string]*placement.Demand{
		"a": {Running: 30, Rate: 5, LastUsed: now}, "b": {Running: 30, Rate: 5, LastUsed: now}, "c": idle(0.9, time.Second), "d": idle(0.9, time.Second),
	})
	for i := range 9 {
		in.Servers = append(in.Servers, server(fmt.Sprint(i)))
	}
	for i := range 2 {
		in.Servers[i] = server(fmt.Sprint(i), "a", "b")
		in.Servers[i].Load, in.Servers[i].Slots = 30, 24
	}
	in.StoreLoads = 1
	Expect(placement.Plan(in).Actions).To(HaveLen(1))
}

// Guards against full servers that are never relieved, since two models fill them together and neither
// does alone.
func TestTwoModelsThatFillAServerTogetherAreRelieved(t *testing.T) {
	for _, own := range []int{40, 24, 20} {
		RegisterTestingT(t)
		full, empty := server("1", "a", "b"), server("2", "d", "e")
		full.Load, full.Slots, empty.Slots = 40, 24, 24
		in := input(map[string]*placement.Demand{
			"a": {Running: own, Rate: 20, LastUsed: now}, "b": {Running: 40 - own, Rate: 20, LastUsed: now}, "d": {}, "e": {},
		}, full, empty)
		in.CountedSince = now.Add(-time.Minute)
		actions := placement.Plan(in).Actions
		Expect(actions).To(HaveLen(1), "%d requests of one of them", own)
		Expect(actions[0].Reason).To(Equal(placement.ReasonRelief))
	}
}

// Guards against a model that is evicted in vain, since the next plan drops the replica for which its
// place was freed.
func TestUnloadForReliefIsFollowedByTheLoad(t *testing.T) {
	RegisterTestingT(t)
	reliefs := 0
	for seed := range 20_000 {
		random := rand.New(rand.NewPCG(uint64(seed), 9))
		in := randomInput(random)
		for i := range in.Servers {
			in.Servers[i].Slots, in.Servers[i].Load = 24, float64(random.IntN(50))
		}
		for _, name := range slices.Sorted(maps.Keys(in.Demand)) {
			in.Demand[name].Running *= 1 + random.IntN(3)
			in.Demand[name].Rate *= 3
		}
		for _, action := range placement.Plan(in).Actions {
			if action.Kind != placement.Unload || action.Reason != placement.ReasonRelief {
				continue
			}
			reliefs++
			next := *in
			next.StoreLoads = 4
			next.Servers = slices.Clone(in.Servers)
			freed := &next.Servers[slices.IndexFunc(next.Servers, func(s placement.Server) bool { return s.ID == action.Server })]
			freed.Models, freed.Intent = maps.Clone(freed.Models), action.Intent
			delete(freed.Models, action.Model)
			Expect(placement.Plan(&next).Actions).To(ContainElement(And(
				HaveField("Kind", placement.Load), HaveField("Server", action.Server), HaveField("Model", action.Intent),
			)), "seed %d", seed)
		}
	}
	Expect(reliefs).To(BeNumerically(">", 20), "such unloads occur")
}
