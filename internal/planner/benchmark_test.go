package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
)

// largeSnapshot returns a cell in which requests wait for a quarter of the rows.
func largeSnapshot(servers, rows int) *planner.Snapshot {
	random := rand.New(rand.NewPCG(1, 2))
	snapshot := &planner.Snapshot{Now: start, Statistics: planner.NewStatistics()}
	for i := range rows {
		row := model(fmt.Sprintf("model-%05d", i), 4, int64(10+random.IntN(60))*gigabyte)
		if random.IntN(4) == 0 {
			row = waiting(row, 1+random.IntN(20))
		}
		snapshot.Rows = append(snapshot.Rows, row)
		snapshot.Statistics.Observe(start.Add(-time.Duration(random.IntN(7200))*time.Second), row.Name, row.Tenant, 1)
	}
	for i := range servers {
		result := server(fmt.Sprintf("lm-%05d", i), 320*gigabyte)
		for m := random.IntN(rows); m < rows && len(result.Replicas) < 4; m += 1 + random.IntN(9) {
			replica := ready(snapshot.Rows[m].Name, "1", outside.SlotID(random.IntN(4)), snapshot.Rows[m].MemoryBytes)
			result.Replicas = append(result.Replicas, replica)
			result.CommittedBytes += replica.MemoryBytes
		}
		for m := random.IntN(5); m < rows && len(result.Cached) < 40; m += 1 + random.IntN(2*rows/40) {
			result = withCache(result, snapshot.Rows[m].Name, outside.SourceDisk)
		}
		snapshot.Servers = append(snapshot.Servers, result)
	}
	return snapshot
}

func benchmarkPlan(b *testing.B, servers, rows int) {
	snapshot := largeSnapshot(servers, rows)
	for _, name := range planner.PolicyNames {
		policy, err := planner.New(name, planner.Parameters{ColdStartWeight: 0.5})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				policy.Plan(snapshot)
			}
		})
	}
}

func BenchmarkPlanOwnedCell(b *testing.B) { benchmarkPlan(b, 18, 160) }

func BenchmarkPlanLargeFleet(b *testing.B) { benchmarkPlan(b, 10_000, 2_400) }
