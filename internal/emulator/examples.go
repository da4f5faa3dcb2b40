package emulator

import (
	"fmt"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// Shares of an example's models whose checkpoint is cached on one machine at
// the start; the others are only in the weight store. No measurement gives
// them: they are assumptions that make all three sources matter.
const (
	exampleDiskCheckpoints   = 0.4
	exampleMemoryCheckpoints = 0.2
)

// exampleTokensPerChunk trades the detail of streams for speed of emulation.
const exampleTokensPerChunk = 16

// FromExample builds an example deployment at its full sizes and returns it
// with its workload.
func FromExample(name string) (Deployment, settings.Workload, error) {
	example, err := examples.Load(name)
	if err != nil {
		return Deployment{}, settings.Workload{}, err
	}
	workload := example.Workload
	if len(workload.Engines) != 1 || len(workload.BackEnds) > 1 {
		return Deployment{}, settings.Workload{}, fmt.Errorf("example %q: the emulator knows one pool of each kind", name)
	}
	engines := workload.Engines[0]
	deployment := Deployment{
		Name: name, Region: workload.Region, Zones: workload.Zones,
		ZoneDelay: workload.ZoneDelay, ClientDelay: workload.ClientDelay,
		EnginePool: engines.Pool, Engines: engines.Count, Engine: exampleEngine(engines),
		Store: weights.Config{
			LoadsPerSecond: workload.WeightStore.LoadsPerSecond, Burst: 1,
			FullSpeedLoads: workload.WeightStore.FullSpeedLoads,
			BytesPerSecond: float64(engines.RemoteSpeed),
		},
		Settings: example.Settings, Rows: example.Rows,
		DiskCheckpoints: exampleDiskCheckpoints, MemoryCheckpoints: exampleMemoryCheckpoints,
	}
	for _, group := range workload.BackEnds {
		deployment.BackEndPool, deployment.BackEnds = group.Pool, group.Count
	}
	for _, pool := range example.Settings.Pools.BackEnds {
		if pool.Name == deployment.BackEndPool {
			deployment.BackEndTimeLimit = pool.TimeLimit
		}
	}
	return deployment, workload, nil
}

func exampleEngine(group settings.EngineGroup) engine.Config {
	return engine.Config{
		Accelerators: group.Accelerators, MemoryBytes: group.MemoryBytes(),
		DiskBytesPerSecond: float64(group.DiskSpeed), HostBytesPerSecond: float64(group.MemorySpeed),
		DiskCacheBytes: int64(group.Disk), HostCacheBytes: int64(group.HostMemory),
		MaxBatch: group.Batch, TokensPerChunk: exampleTokensPerChunk,
	}
}
