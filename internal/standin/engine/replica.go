package engine

import (
	"slices"
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// replica is a model on the engine, in any phase.
type replica struct {
	model   string
	version string
	slot    outside.SlotID
	load    weightLoad
	// adapters in order of name.
	adapters []*adapter

	// Generation; see batch.go.
	queue, running []*generation
	stepTimer      clock.Timer
	stepping       bool
	// onStep ends a step; made once.
	onStep   func()
	prefixes *prefixCache
	meter    loadMeter
	usage    usageMeter
}

// adapter is an adapter on a replica.
type adapter struct {
	name    string
	version string
	load    weightLoad
}

// weightLoad is the loading and unloading of one set of weights.
type weightLoad struct {
	attempt     outside.AttemptID
	phase       outside.ReplicaPhase
	source      outside.CheckpointSource
	memoryBytes int64
	weightBytes int64
	transfer    weights.Transfer
	timer       clock.Timer
	// fetched: the bytes are there; only initialization is left.
	fetched bool
}

// stop cancels what is pending.
func (l *weightLoad) stop() {
	if l.transfer != nil {
		l.transfer.Cancel()
		l.transfer = nil
	}
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

func (l *weightLoad) progress() float64 {
	switch {
	case l.phase != outside.ReplicaLoading:
		return 1
	case l.fetched:
		return 1
	case l.transfer != nil:
		return l.transfer.Progress()
	default:
		return 0
	}
}

func (r *replica) stopTimers() {
	r.load.stop()
	for _, adapter := range r.adapters {
		adapter.load.stop()
	}
	if r.stepTimer != nil {
		r.stepTimer.Stop()
		r.stepTimer = nil
	}
	r.stepping = false
}

func (r *replica) adapterOf(name string) *adapter {
	position, found := r.adapterPosition(name)
	if !found {
		return nil
	}
	return r.adapters[position]
}

func (r *replica) adapterPosition(name string) (int, bool) {
	return slices.BinarySearchFunc(r.adapters, name, func(adapter *adapter, name string) int {
		return strings.Compare(adapter.name, name)
	})
}

func (r *replica) addAdapter(added *adapter) {
	position, found := r.adapterPosition(added.name)
	if found {
		r.adapters[position] = added
		return
	}
	r.adapters = slices.Insert(r.adapters, position, added)
}

func (r *replica) removeAdapter(removed *adapter) {
	position, found := r.adapterPosition(removed.name)
	if found && r.adapters[position] == removed {
		r.adapters = slices.Delete(r.adapters, position, position+1)
	}
}

// state describes the replica with lagging load figures and the time at which
// these were true.
func (r *replica) state(now time.Time) (outside.ReplicaState, time.Time) {
	figures, measuredAt := r.meter.read(now)
	state := outside.ReplicaState{
		Model: r.model, Version: r.version, Slot: r.slot, Attempt: r.load.attempt,
		Phase: r.load.phase, MemoryBytes: r.load.memoryBytes, Source: r.load.source,
		Progress: r.load.progress(), Running: figures.running, Queued: figures.queued,
	}
	if len(r.adapters) > 0 {
		state.Adapters = make([]outside.AdapterState, 0, len(r.adapters))
	}
	for _, adapter := range r.adapters {
		state.Adapters = append(state.Adapters, outside.AdapterState{
			Adapter: adapter.name, Version: adapter.version, Attempt: adapter.load.attempt,
			Phase: adapter.load.phase, MemoryBytes: adapter.load.memoryBytes,
		})
	}
	return state, measuredAt
}

// logReplica records an event of a replica or, with an adapter, of the latter.
func (e *Engine) logReplica(kind record.Kind, replica *replica, adapter *adapter, reason string) {
	event := record.Event{
		Kind: kind, Model: replica.model, Version: replica.version, Slot: replica.slot,
		Attempt: replica.load.attempt, Source: replica.load.source.String(), Reason: reason,
	}
	if adapter != nil {
		event.Adapter = adapter.name
		event.Version = adapter.version
		event.Attempt = adapter.load.attempt
		event.Source = adapter.load.source.String()
	}
	e.log(event)
}
