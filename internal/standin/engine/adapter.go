package engine

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// loadAdapter begins the load of an adapter on a base that is ready or still
// loading; it becomes ready after its base.
func (e *Engine) loadAdapter(command outside.Command) string {
	replica := e.replicaOf(command.Model)
	if replica == nil || (replica.load.phase != outside.ReplicaLoading && replica.load.phase != outside.ReplicaReady) {
		return ReasonNoBase
	}
	if command.Adapter == "" {
		return ReasonBadCommand
	}
	var held outside.AttemptID
	if present := replica.adapterOf(command.Adapter); present != nil && present.load.phase != outside.ReplicaFailed {
		held = present.load.attempt
		if held == command.Attempt && present.load.phase != outside.ReplicaUnloading {
			return ""
		}
	}
	if reason := e.checkLoad(command, held); reason != "" {
		return reason
	}
	e.loads[command.Attempt] = struct{}{}
	added := &adapter{name: command.Adapter, version: command.Version, load: newWeightLoad(command)}
	replica.addAdapter(added)
	e.version++
	e.fetch(&added.load, checkpoint{added.name, added.version}, func(err error) { e.adapterFetched(replica, added, err) })
	e.logReplica(record.KindAdapterLoadStarted, replica, added, "")
	e.reserve(command.MemoryBytes)
	return ""
}

func (e *Engine) adapterFetched(replica *replica, adapter *adapter, err error) {
	if reason := e.loadFailure(err); reason != "" {
		e.failAdapter(replica, adapter, reason)
		return
	}
	adapter.load.timer = e.after(e.loadTime(e.config.AdapterInitTime), func() {
		adapter.load.timer = nil
		adapter.load.fetched = true
		e.adapterInitialized(replica, adapter)
	})
}

// adapterInitialized makes an adapter ready once both it and its base are.
func (e *Engine) adapterInitialized(replica *replica, adapter *adapter) {
	if replica.load.phase != outside.ReplicaReady {
		return
	}
	if adapter.load.phase != outside.ReplicaLoading || !adapter.load.fetched {
		return
	}
	adapter.load.phase = outside.ReplicaReady
	e.version++
	e.logReplica(record.KindAdapterLoadReady, replica, adapter, "")
}

func (e *Engine) failAdapter(replica *replica, adapter *adapter, reason string) {
	adapter.load.phase = outside.ReplicaFailed
	e.version++
	e.logReplica(record.KindAdapterLoadFailed, replica, adapter, reason)
	e.reserve(-adapter.load.memoryBytes)
}

// unloadAdapter begins to unload the adapter of an attempt.
func (e *Engine) unloadAdapter(command outside.Command) string {
	replica := e.replicaOf(command.Model)
	if replica == nil {
		return ReasonNoSuchAttempt
	}
	adapter := replica.adapterOf(command.Adapter)
	if adapter == nil || adapter.load.attempt != command.Attempt {
		return ReasonNoSuchAttempt
	}
	switch adapter.load.phase {
	case outside.ReplicaUnloading:
		return ""
	case outside.ReplicaFailed:
		replica.removeAdapter(adapter)
		e.version++
		return ""
	}
	adapter.load.stop()
	adapter.load.phase = outside.ReplicaUnloading
	e.version++
	e.logReplica(record.KindAdapterUnloadStarted, replica, adapter, "")
	e.endGenerations(replica, func(generation *generation) bool {
		return generation.request.Adapter == adapter.name
	}, reasonUnloaded)
	adapter.load.timer = e.after(e.config.UnloadTime, func() {
		if replica.adapterOf(adapter.name) != adapter {
			return
		}
		replica.removeAdapter(adapter)
		e.version++
		e.logReplica(record.KindAdapterUnloadFinished, replica, adapter, "")
		e.reserve(-adapter.load.memoryBytes)
	})
	return ""
}
