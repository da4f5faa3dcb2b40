package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// aheadInput has models of 70 GB, of which the first ones are held by a server each, and
// servers with room for two.
func aheadInput(servers, held, models int) *placement.Input {
	in := &placement.Input{
		Now: now, LoadAhead: true, StoreLoads: 4, Demand: map[string]*placement.Demand{},
		Engine: &fleet.Engine{Slots: 64, MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 4, Models: map[string]*fleet.Model{}},
	}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		in.Engine.Models[name] = &fleet.Model{Name: name, SizeMB: 70_000, LoadTime: 6 * time.Second}
	}
	for i := range servers {
		made := server(fmt.Sprintf("s%02d", i))
		for j := i; j < held; j += servers {
			made.Models[fmt.Sprintf("m%02d", j)] = placement.Replica{Since: now.Add(-time.Minute)}
		}
		in.Servers = append(in.Servers, made)
	}
	return in
}

func loadsAhead(in *placement.Input) []string {
	var models []string
	for _, action := range placement.Plan(in).Actions {
		Expect(action.Kind).To(Equal(placement.Load), "nothing is unloaded")
		Expect(action.Reason).To(Equal("ahead of need"))
		models = append(models, action.Model)
	}
	return models
}

// A morning without requests: what nobody holds is loaded where memory is free, a few
// models at a time.
func TestModelsThatNobodyHoldsAreLoadedAhead(t *testing.T) {
	RegisterTestingT(t)
	Expect(loadsAhead(aheadInput(16, 20, 24))).To(Equal([]string{"m20", "m21"}), "an eighth of the servers")
	Expect(loadsAhead(aheadInput(16, 24, 24))).To(BeEmpty(), "all are held")
	Expect(loadsAhead(aheadInput(16, 20, 29))).To(BeEmpty(), "12 places are free for 9 models, most of which nobody may ask for")
	Expect(loadsAhead(aheadInput(16, 32, 40))).To(BeEmpty(), "no memory is free")
}

func TestLoadsAheadLeaveTheStoreToWhoWaits(t *testing.T) {
	RegisterTestingT(t)
	in := aheadInput(16, 20, 24)
	in.StoreLoads = 1
	Expect(loadsAhead(in)).To(BeEmpty(), "the last load stays")
	in = aheadInput(16, 20, 24)
	in.Demand["m22"] = &placement.Demand{Waiting: 1}
	actions := placement.Plan(in).Actions
	Expect(actions).To(HaveLen(1))
	Expect(actions[0].Model).To(Equal("m22"))
	Expect(actions[0].Reason).To(Equal("cold"))
	in = aheadInput(16, 20, 24)
	in.Servers[0].Busy, in.Servers[0].Loading = true, "m21"
	in.Servers[1].Busy, in.Servers[1].Loading = true, "m20"
	Expect(loadsAhead(in)).To(BeEmpty(), "an eighth of the servers loads already")
}

// In a pool that is planned with a sample, what is held elsewhere is held.
func TestReplicasElsewhereCount(t *testing.T) {
	RegisterTestingT(t)
	in := aheadInput(16, 20, 24)
	in.ReplicasElsewhere, in.ServersElsewhere = map[string]int{"m20": 1, "m21": 3}, 1000
	Expect(loadsAhead(in)).To(Equal([]string{"m22", "m23"}))
}
