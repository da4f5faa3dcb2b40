package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// loadAheadInput returns a pool of servers that have memory for two models each. The models
// are of 70 GB; the first ones are held, each by one server.
func loadAheadInput(servers, held, models int) *placement.Input {
	in := &placement.Input{
		Now: now, LoadAhead: true, StoreLoads: 4, Demand: map[string]*placement.Demand{},
		Engine: &fleet.Engine{Slots: 64, MemoryMB: 200_000, AdapterSlots: 8, LoadsPerSecond: 4, Models: map[string]*fleet.Model{}},
	}
	for i := range models {
		name := fmt.Sprintf("m%02d", i)
		in.Engine.Models[name] = &fleet.Model{Name: name, SizeMB: 70_000, LoadTime: 6 * time.Second}
	}
	for i := range servers {
		result := server(fmt.Sprintf("s%02d", i))
		for j := i; j < held; j += servers {
			result.Models[fmt.Sprintf("m%02d", j)] = placement.Replica{Since: now.Add(-time.Minute)}
		}
		in.Servers = append(in.Servers, result)
	}
	return in
}

// loadsAhead returns the models that the plan loads, which must all be loads ahead.
func loadsAhead(in *placement.Input) []string {
	var models []string
	for _, action := range placement.Plan(in).Actions {
		Expect(action.Kind).To(Equal(placement.Load), "nothing is unloaded")
		Expect(action.Reason).To(Equal("ahead of need"))
		models = append(models, action.Model)
	}
	return models
}

// Without any request, models that no server holds are loaded into free memory, a few at a
// time.
func TestModelsWithoutReplicaAreLoadedAhead(t *testing.T) {
	RegisterTestingT(t)
	Expect(loadsAhead(loadAheadInput(16, 20, 24))).To(Equal([]string{"m20", "m21"}), "at most an eighth of the servers load")
	Expect(loadsAhead(loadAheadInput(16, 24, 24))).To(BeEmpty(), "all are held")
	Expect(loadsAhead(loadAheadInput(16, 20, 29))).To(BeEmpty(), "12 servers with free memory for 9 models are too few")
	Expect(loadsAhead(loadAheadInput(16, 32, 40))).To(BeEmpty(), "no memory is free")
}

func TestLoadsAheadLeaveStoreLoadsToWaitingRequests(t *testing.T) {
	RegisterTestingT(t)
	in := loadAheadInput(16, 20, 24)
	in.StoreLoads = 1
	Expect(loadsAhead(in)).To(BeEmpty(), "the last store load is reserved")
	in = loadAheadInput(16, 20, 24)
	in.Demand["m22"] = &placement.Demand{Waiting: 1}
	actions := placement.Plan(in).Actions
	Expect(actions).To(HaveLen(1))
	Expect(actions[0].Model).To(Equal("m22"))
	Expect(actions[0].Reason).To(Equal("cold"))
	in = loadAheadInput(16, 20, 24)
	in.Servers[0].Busy, in.Servers[0].Loading = true, "m21"
	in.Servers[1].Busy, in.Servers[1].Loading = true, "m20"
	Expect(loadsAhead(in)).To(BeEmpty(), "an eighth of the servers is loading already")
}

// In a pool of which only a sample is planned, replicas outside the sample count as held.
func TestReplicasElsewhereCount(t *testing.T) {
	RegisterTestingT(t)
	in := loadAheadInput(16, 20, 24)
	in.ReplicasElsewhere, in.ServersElsewhere = map[string]int{"m20": 1, "m21": 3}, 1000
	Expect(loadsAhead(in)).To(Equal([]string{"m22", "m23"}))
}
