package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// busyInput returns a pool in which most servers are full and most models are requested;
// requests wait for one model in twenty, which has no replica.
func busyInput(servers, models int) *placement.Input {
	in := &placement.Input{
		Now: now, StoreLoads: 4, Demand: map[string]*placement.Demand{},
		Engine: &fleet.Engine{Slots: 64, MemoryMB: 220_000, AdapterSlots: 8, LoadsPerSecond: 4, Models: map[string]*fleet.Model{}},
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		in.Engine.Models[name] = &fleet.Model{
			Name: name, SizeMB: 70_000, LoadTime: 6 * time.Second, WarmTime: 400 * time.Millisecond, DiskTime: 840 * time.Millisecond,
		}
		demand := idle(0.4, time.Duration(i%7)*time.Second)
		demand.Running = i % 3
		if i%20 == 0 {
			demand.Waiting = 1 + i%5
		}
		in.Demand[name] = demand
	}
	const held, copies = 3, 12
	for i := range servers {
		result := server(fmt.Sprintf("s%04d", i))
		result.OnDisk = map[string]bool{}
		for j := range held {
			model := (i*held + j) % models
			if model%20 != 0 {
				result.Models[fmt.Sprintf("m%d", model)] = placement.Replica{Since: now.Add(-time.Minute)}
			}
		}
		for j := range copies {
			result.OnDisk[fmt.Sprintf("m%d", (i*5+j*37)%models)] = true
		}
		result.Busy = i%4 == 0
		if result.Busy {
			result.FreeIn = time.Duration(i%9) * 100 * time.Millisecond
		}
		in.Servers = append(in.Servers, result)
	}
	return in
}

// BenchmarkPlan measures one plan. The limits are 2 ms for 60 servers and 200 models, and
// 50 ms for 1,000 servers and 1,100 models.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, models int }{{10, 30}, {60, 200}, {250, 400}, {1000, 1100}} {
		b.Run(fmt.Sprintf("servers=%d/models=%d", size.servers, size.models), func(b *testing.B) {
			in := busyInput(size.servers, size.models)
			b.ReportAllocs()
			for b.Loop() {
				placement.Plan(in)
			}
		})
	}
}
