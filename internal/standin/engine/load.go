package engine

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Reasons for which a load fails.
const (
	reasonFetchFailed = "fetch_failed"
	reasonLoadFault   = "load_fault"
	reasonBaseGone    = "base_gone"
	reasonUnloaded    = "unloaded"
)

// loadModel begins the load of a replica. The same attempt again is accepted
// and changes nothing.
func (e *Engine) loadModel(command outside.Command) string {
	var held outside.AttemptID
	if present := e.replicaOf(command.Model); present != nil && present.load.phase != outside.ReplicaFailed {
		held = present.load.attempt
		if held == command.Attempt && present.load.phase != outside.ReplicaUnloading {
			return ""
		}
	}
	if reason := e.checkLoad(command, held); reason != "" {
		return reason
	}
	e.loads[command.Attempt] = struct{}{}
	added := &replica{
		model: command.Model, version: command.Version, slot: command.Slot,
		load:  newWeightLoad(command),
		meter: loadMeter{lag: e.config.LoadLag},
	}
	added.prefixes = newPrefixCache(e.prefixBlocks(command), func(hash uint64, stored bool) {
		e.publishCacheEvent(added.model, hash, stored)
	})
	added.usage = usageMeter{
		accelerators: float64(e.config.acceleratorsOf(command.MemoryBytes)),
		since:        e.clock.Now(), state: usageLoading, total: e.usageOf(command.Model),
	}
	e.addReplica(added)
	e.version++
	e.fetch(&added.load, checkpoint{added.model, added.version}, func(err error) { e.modelFetched(added, err) })
	e.logReplica(record.KindLoadStarted, added, nil, "")
	e.reserve(command.MemoryBytes)
	return ""
}

func newWeightLoad(command outside.Command) weightLoad {
	return weightLoad{
		attempt: command.Attempt, phase: outside.ReplicaLoading,
		memoryBytes: command.MemoryBytes, weightBytes: command.WeightBytes,
	}
}

// prefixBlocks is how many blocks fit into a replica's memory beside the
// weights.
func (e *Engine) prefixBlocks(command outside.Command) int {
	blockBytes := e.config.KVBytesPerToken * int64(e.config.PrefixBlockTokens)
	fitting := max(0, command.MemoryBytes-command.WeightBytes) / blockBytes
	return int(min(fitting, int64(e.config.MaxPrefixBlocks)))
}

// fetch brings the weights to the accelerators from the fastest source. A
// remote or disk fetch is pipelined with the copy to the accelerators, which
// is faster than either, so only the slowest part is modelled. Fetched is
// called under the engine's lock.
func (e *Engine) fetch(load *weightLoad, wanted checkpoint, fetched func(error)) {
	source := e.remote
	load.source = outside.SourceRemote
	switch {
	case e.hostCache.touch(wanted):
		e.diskCache.touch(wanted)
		source = e.host
		load.source = outside.SourceMemory
	case e.diskCache.touch(wanted):
		source = e.disk
		load.source = outside.SourceDisk
	}
	starts := e.starts
	load.transfer = source.Fetch(load.weightBytes, func(err error) {
		e.exclusive(func() {
			if !e.alive || e.starts != starts || load.phase != outside.ReplicaLoading {
				return
			}
			load.transfer = nil
			if err == nil {
				e.cache(wanted, load.weightBytes)
			}
			fetched(err)
		})
	})
}

// cache keeps a fetched checkpoint on disk and in host memory.
func (e *Engine) cache(fetched checkpoint, bytes int64) {
	onDisk := e.diskCache.add(fetched, bytes)
	inMemory := e.hostCache.add(fetched, bytes)
	if onDisk || inMemory {
		e.version++
	}
}

func (e *Engine) modelFetched(replica *replica, err error) {
	if reason := e.loadFailure(err); reason != "" {
		e.failModel(replica, reason)
		return
	}
	replica.load.fetched = true
	replica.load.timer = e.after(e.loadTime(e.config.InitTime), func() { e.modelReady(replica) })
}

// loadFailure decides whether a load fails after its fetch.
func (e *Engine) loadFailure(err error) string {
	switch {
	case err != nil:
		return reasonFetchFailed
	case e.happens(e.faults.LoadFailure):
		return reasonLoadFault
	default:
		return ""
	}
}

// loadTime applies the slow-down of loads on this machine.
func (e *Engine) loadTime(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * max(1, e.faults.LoadSlowDown))
}

func (e *Engine) modelReady(replica *replica) {
	if replica.load.phase != outside.ReplicaLoading {
		return
	}
	replica.load.phase = outside.ReplicaReady
	replica.load.timer = nil
	replica.usage.change(e.clock.Now(), usageIdle)
	e.version++
	e.logReplica(record.KindLoadReady, replica, nil, "")
	for _, adapter := range replica.adapters {
		e.adapterInitialized(replica, adapter)
	}
}

// failModel ends a load in failure: its memory is free at once, and so is that
// of adapters that waited for it.
func (e *Engine) failModel(replica *replica, reason string) {
	replica.load.phase = outside.ReplicaFailed
	replica.usage.change(e.clock.Now(), usageNone)
	e.version++
	e.logReplica(record.KindLoadFailed, replica, nil, reason)
	e.dropAdapters(replica)
	e.reserve(-replica.load.memoryBytes)
}

// unloadModel begins to unload the replica of an attempt. What it runs is cut
// off and what waits is refused: an owner drains first.
func (e *Engine) unloadModel(command outside.Command) string {
	replica := e.replicaOf(command.Model)
	if replica == nil || replica.load.attempt != command.Attempt {
		return ReasonNoSuchAttempt
	}
	switch replica.load.phase {
	case outside.ReplicaUnloading:
		return ""
	case outside.ReplicaFailed:
		e.removeReplica(replica)
		e.version++
		return ""
	}
	replica.load.stop()
	replica.load.phase = outside.ReplicaUnloading
	e.version++
	e.logReplica(record.KindUnloadStarted, replica, nil, "")
	e.endGenerations(replica, func(*generation) bool { return true }, reasonUnloaded)
	replica.usage.change(e.clock.Now(), usageNone)
	for _, adapter := range replica.adapters {
		adapter.load.stop()
		adapter.load.phase = outside.ReplicaUnloading
	}
	replica.load.timer = e.after(e.config.UnloadTime, func() { e.modelUnloaded(replica) })
	return ""
}

func (e *Engine) modelUnloaded(replica *replica) {
	e.removeReplica(replica)
	e.version++
	e.dropAdapters(replica)
	e.logReplica(record.KindUnloadFinished, replica, nil, "")
	e.reserve(-replica.load.memoryBytes)
}

// dropAdapters frees the adapters of a replica that is gone.
func (e *Engine) dropAdapters(replica *replica) {
	for _, adapter := range replica.adapters {
		adapter.load.stop()
		if adapter.load.phase == outside.ReplicaFailed {
			continue
		}
		kind := record.KindAdapterUnloadFinished
		if adapter.load.phase == outside.ReplicaLoading {
			kind = record.KindAdapterLoadFailed
		}
		adapter.load.phase = outside.ReplicaFailed
		e.logReplica(kind, replica, adapter, reasonBaseGone)
		e.reserve(-adapter.load.memoryBytes)
	}
	replica.adapters = nil
}
