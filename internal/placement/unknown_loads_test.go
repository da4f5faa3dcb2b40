package placement_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/placement"
)

// digestOfPlans returns a digest of the plans of random inputs, with every field that a plan had
// before loads of servers were known.
func digestOfPlans(draws int) string {
	digest := fnv.New64a()
	for seed := range draws {
		planned := placement.Plan(randomInput(rand.New(rand.NewPCG(uint64(seed), 4))))
		for _, a := range planned.Actions {
			fmt.Fprintln(digest, a.Kind, a.Server, a.Model, a.Adapter, a.Source, a.Expected, a.Intent, a.Reason)
		}
		fmt.Fprintln(digest, planned.ReadyIn)
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

// randomInput returns the state of a pool without known loads.
func randomInput(random *rand.Rand) *placement.Input {
	in := input(map[string]*placement.Demand{})
	models := []string{"a", "b", "c", "d", "e", "f"}
	chance := func(percent int) bool { return random.IntN(100) < percent }
	for i := range 1 + random.IntN(9) {
		target := server(fmt.Sprint(i))
		for range 2 {
			since := now.Add(-time.Duration(random.IntN(9000)) * time.Millisecond)
			target.Models[models[random.IntN(6)]] = placement.Replica{Since: since}
		}
		target.Zone = fmt.Sprint(random.IntN(3))
		target.Draining, target.Suspect, target.RecordOnly = chance(5), chance(5), chance(5)
		target.Limited, target.MaxPerSecond = chance(10), random.Float64()*3
		target.OnDisk, target.InMemory = map[string]bool{models[random.IntN(6)]: true}, map[string]bool{models[random.IntN(6)]: chance(30)}
		if target.Busy = chance(30); target.Busy {
			target.FreeIn = time.Duration(random.IntN(3000)) * time.Millisecond
		}
		switch random.IntN(8) {
		case 0:
			target.Intent = models[random.IntN(6)]
		case 1:
			target.UnconfirmedLoad = models[random.IntN(6)]
		case 2:
			target.Loading, target.Busy = models[random.IntN(6)], true
			delete(target.Models, target.Loading)
		}
		in.Servers = append(in.Servers, target)
	}
	for _, model := range models {
		if chance(85) {
			demand := idle(random.Float64()*6, time.Duration(random.IntN(40000))*time.Millisecond)
			demand.Waiting, demand.Running, demand.Priority = random.IntN(4)*random.IntN(6), random.IntN(2)*random.IntN(40), random.IntN(10)
			in.Demand[model] = demand
		}
	}
	in.StoreLoads, in.LoadAhead = random.IntN(4), chance(50)
	in.NextStoreLoadIn = time.Duration(random.IntN(2000)) * time.Millisecond
	return in
}

// Guards against a change of the plans of deployments whose servers report no loads: the digest is
// that of the planner without loads.
func TestPlansWithoutKnownLoadsAreUnchanged(t *testing.T) {
	RegisterTestingT(t)
	Expect(digestOfPlans(20_000)).To(Equal("7140ebb8005f4c6f"))
}

// Guards against plans that still depend on loads after these have expired.
func TestRecentLossesAreIgnoredWithoutKnownLoads(t *testing.T) {
	RegisterTestingT(t)
	for seed := range 5000 {
		in := randomInput(rand.New(rand.NewPCG(uint64(seed), 4)))
		expected := fmt.Sprint(placement.Plan(in))
		in.RecentLosses = map[string]float64{"a": 0.5, "b": 0.5, "c": 0.5}
		Expect(fmt.Sprint(placement.Plan(in))).To(Equal(expected))
	}
}
