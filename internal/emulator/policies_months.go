package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// cachedCopy is a checkpoint on one machine.
type cachedCopy struct {
	server outside.ServerID
	row    *table.Row
	source outside.CheckpointSource
}

// diskCopies is the largest number of machines that have a model on disk.
const diskCopies = 3

// drawCopies spreads checkpoints unevenly over the machines: some models are in
// the host memory of one, some on the disks of a few, the others nowhere.
func drawCopies(deployment *Deployment, servers []outside.ServerID, random *rand.Rand) []cachedCopy {
	var copies []cachedCopy
	for index := range deployment.Rows {
		row := &deployment.Rows[index]
		if row.Kind != table.KindModel {
			continue
		}
		share, count, source := random.Float64(), 0, outside.SourceRemote
		switch {
		case share < deployment.MemoryCheckpoints:
			count, source = 1, outside.SourceMemory
		case share < deployment.MemoryCheckpoints+deployment.DiskCheckpoints:
			count, source = 1+random.IntN(diskCopies), outside.SourceDisk
		}
		for _, at := range random.Perm(len(servers))[:count] {
			copies = append(copies, cachedCopy{server: servers[at], row: row, source: source})
		}
	}
	return copies
}

// bestSources returns each model's fastest source; models without a copy are
// not in it.
func bestSources(copies []cachedCopy) map[string]outside.CheckpointSource {
	best := map[string]outside.CheckpointSource{}
	for _, held := range copies {
		if known, found := best[held.row.Name]; !found || held.source < known {
			best[held.row.Name] = held.source
		}
	}
	return best
}

// replaceMachines restarts every engine with nothing loaded and only the given
// checkpoints, one by one, as happens over months.
func (w *World) replaceMachines(copies []cachedCopy, pause time.Duration) {
	for index, server := range w.EngineServers {
		w.Loop.AfterFunc(time.Duration(index)*pause, func() {
			host := w.Fleet.Host(server)
			host.Restart(false)
			for _, held := range copies {
				if held.server == server {
					host.Engine.SeedCheckpoint(held.row.Name, held.row.Version, held.source, held.row.WeightBytes)
				}
			}
		})
	}
}
