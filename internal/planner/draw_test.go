package planner_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
)

// drawSnapshot draws a cell in an arbitrary state, including states that break the limits.
func drawSnapshot(t *rapid.T) *planner.Snapshot {
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	snapshot := &planner.Snapshot{Now: start, Statistics: planner.NewStatistics(), UnknownServers: max(0, random.IntN(6)-3)}
	models := 1 + random.IntN(8)
	for i := range models {
		row := model(fmt.Sprintf("model-%d", i), random.IntN(4), int64(1+random.IntN(40))*gigabyte)
		row.Min = random.IntN(row.Max + 1)
		row.FirstSlot = outside.SlotID(random.IntN(3))
		row.Demand = drawDemand(random)
		snapshot.Rows = append(snapshot.Rows, row)
		if random.IntN(2) == 0 {
			snapshot.Statistics.Observe(start.Add(-time.Duration(random.IntN(3600))*time.Second), row.Name, row.Tenant, 1)
		}
	}
	for i := range random.IntN(5) {
		row := adapter(fmt.Sprintf("style-%d", i), fmt.Sprintf("model-%d", random.IntN(models+1)), random.IntN(3), gigabyte)
		row.Demand = drawDemand(random)
		snapshot.Rows = append(snapshot.Rows, row)
	}
	snapshot.Store = planner.Store{Known: random.IntN(2) == 0, Starts: random.IntN(3)}
	snapshot.Store.FullSpeedLoads = random.IntN(4)
	for i := range 1 + random.IntN(5) {
		snapshot.Servers = append(snapshot.Servers, drawServer(random, i, models))
	}
	return snapshot
}

func drawDemand(random *rand.Rand) planner.Demand {
	if random.IntN(2) == 0 {
		return planner.Demand{Running: random.IntN(2)}
	}
	return planner.Demand{Waiting: random.IntN(30), Running: random.IntN(5), OldestWait: start, EarliestDeadline: start.Add(time.Minute)}
}

func drawServer(random *rand.Rand, i, models int) planner.Server {
	result := server(fmt.Sprintf("lm-%d", i), int64(20+random.IntN(80))*gigabyte)
	result.Usable = random.IntN(5) > 0
	result.Leaving = random.IntN(5) == 0
	for m := range models + 1 {
		if random.IntN(3) > 0 {
			continue
		}
		replica := ready(fmt.Sprintf("model-%d", m), fmt.Sprint(1+random.IntN(2)), outside.SlotID(random.IntN(5)), int64(1+random.IntN(30))*gigabyte)
		replica.Phase = outside.ReplicaPhase(random.IntN(3))
		replica.Draining = random.IntN(4) == 0
		replica.Running = random.IntN(2)
		if result.CommittedBytes+replica.MemoryBytes <= result.MemoryBytes {
			result.CommittedBytes += replica.MemoryBytes
			result.Replicas = append(result.Replicas, replica)
		}
	}
	return result
}

// checkPlan checks a plan independently of the Verifier.
func checkPlan(t *rapid.T, snapshot *planner.Snapshot, plan planner.Plan) {
	held, committed, slots := map[string]int{}, map[outside.ServerID]int64{}, map[string]bool{}
	rows, servers := map[string]planner.Row{}, map[outside.ServerID]planner.Server{}
	for _, row := range snapshot.Rows {
		rows[row.Name] = row
	}
	for _, server := range snapshot.Servers {
		servers[server.ID] = server
		committed[server.ID] = server.CommittedBytes
		for _, replica := range server.Replicas {
			held[replica.Model]++
			slots[fmt.Sprint(replica.Model, replica.Slot)] = true
		}
	}
	for _, decision := range plan.Decisions {
		target := servers[decision.Server]
		if !target.Usable {
			t.Fatalf("decision on an unusable server: %+v", decision)
		}
		if decision.Action != planner.ActionLoad && decision.Action != planner.ActionLoadAdapter {
			continue
		}
		name := decision.Model + decision.Adapter
		if decision.Adapter != "" {
			name = decision.Adapter
		}
		held[name]++
		committed[decision.Server] += decision.MemoryBytes
		slot := fmt.Sprint(decision.Model, decision.Slot)
		switch {
		case target.Leaving:
			t.Fatalf("load on a leaving server: %+v", decision)
		case held[name]+snapshot.UnknownServers > rows[name].Max:
			t.Fatalf("%d of %s with %d unknown, allowed %d", held[name], name, snapshot.UnknownServers, rows[name].Max)
		case committed[decision.Server] > target.MemoryBytes:
			t.Fatalf("%s: %d bytes committed of %d", decision.Server, committed[decision.Server], target.MemoryBytes)
		case decision.Action == planner.ActionLoad && slots[slot]:
			t.Fatalf("slot %s is used twice", slot)
		}
		if decision.Action == planner.ActionLoad {
			slots[slot] = true
		}
	}
}
