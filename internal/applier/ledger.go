package applier

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
)

// serverEntry is the ledger of one server.
type serverEntry struct {
	id      outside.ServerID
	machine outside.Machine
	// listed is false once the machine list no longer shows the server.
	listed bool
	// mayHold is true until the server was heard: it counts as holding one
	// replica of every model.
	mayHold bool

	// adopted: the fence of this epoch was raised and the state read, in the
	// present incarnation. Confirmed: the epoch was still current after that.
	adopted, confirmed bool
	incarnation        outside.Incarnation
	// state as last accepted; requestedAt is when it was asked for.
	state       outside.EngineState
	requestedAt time.Time
	// loadsReadAt is when load figures were last asked for.
	loadsReadAt time.Time

	// sequence of the newest order; outstanding while its reply is awaited.
	sequence    uint64
	outstanding bool
	// unknown: the newest order's outcome is not known; the next settles it.
	unknown bool
	// polling while a state reply is awaited that was asked for in generation.
	polling    bool
	generation uint64
	nextPoll   time.Time
	// failures of calls in a row, and when to try again.
	failures int
	retryAt  time.Time

	// replicas in order of model.
	replicas []*replicaEntry
	// backoffs in order of model or adapter.
	backoffs []loadBackoff
	// commands to be sent by this tick.
	commands []outside.Command
}

// loadBackoff follows a failed load of a model or adapter.
type loadBackoff struct {
	name     string
	failures int
	until    time.Time
}

// replicaEntry is one held slot.
type replicaEntry struct {
	outside.ReplicaState
	// seen: the engine has shown this attempt.
	seen   bool
	reason string
	// since is when the phase was entered; orderedAt when the load was sent.
	since, orderedAt, readyAt time.Time
	weightBytes               int64
	drain                     *drain
	adapters                  []*adapterEntry
}

// adapterEntry is an adapter on a replica.
type adapterEntry struct {
	outside.AdapterState
	seen      bool
	reason    string
	orderedAt time.Time
	drain     *drain
}

// unreachableFailures in a row make a server unreachable.
const unreachableFailures = 3

func (s *serverEntry) leaving() bool {
	return s.machine.Phase == outside.MachineLeaving || s.state.Leaving
}

// usable servers can be given commands.
func (s *serverEntry) usable() bool {
	return s.adopted && s.confirmed && !s.unknown && s.failures == 0 && s.listed
}

func (s *serverEntry) unreachable() bool { return s.failures >= unreachableFailures }

func (s *serverEntry) find(model string) (int, bool) {
	return slices.BinarySearchFunc(s.replicas, model, func(entry *replicaEntry, model string) int {
		return cmp.Compare(entry.Model, model)
	})
}

func (s *serverEntry) replica(model string) *replicaEntry {
	at, found := s.find(model)
	if !found {
		return nil
	}
	return s.replicas[at]
}

func (s *serverEntry) add(entry *replicaEntry) {
	at, _ := s.find(entry.Model)
	s.replicas = slices.Insert(s.replicas, at, entry)
}

// committed is the memory held by replicas and adapters in any phase.
func (s *serverEntry) committed(mechanisms *Mechanisms) int64 {
	total := int64(0)
	for _, entry := range s.replicas {
		if !mechanisms.ReserveBeforeOrder && entry.Phase == outside.ReplicaLoading {
			continue
		}
		total += entry.MemoryBytes
		for _, adapter := range entry.adapters {
			total += adapter.MemoryBytes
		}
	}
	if mechanisms.ReserveBeforeOrder && mechanisms.ReleaseSlotOnConfirmation {
		total = max(total, s.state.UsedBytes)
	}
	return total
}

// forget drops everything that a dead incarnation held.
func (s *serverEntry) forget() {
	s.replicas = nil
	s.adopted = false
	s.confirmed = false
	s.unknown = false
	s.incarnation = ""
	s.state = outside.EngineState{}
	s.generation++
}

// entryOf returns the entry that a reported replica belongs to, or nil.
func (s *serverEntry) entryOf(state *outside.ReplicaState, mechanisms *Mechanisms) *replicaEntry {
	entry := s.replica(state.Model)
	if entry == nil || (mechanisms.AttemptIdentity && entry.Attempt != state.Attempt) {
		return nil
	}
	return entry
}

func (e *replicaEntry) adapter(name string) *adapterEntry {
	for _, adapter := range e.adapters {
		if adapter.Adapter == name {
			return adapter
		}
	}
	return nil
}

// changing reports whether the server has to be polled fast.
func (s *serverEntry) changing() bool {
	for _, entry := range s.replicas {
		if entry.Phase != outside.ReplicaReady || entry.drain != nil {
			return true
		}
		for _, adapter := range entry.adapters {
			if adapter.Phase != outside.ReplicaReady || adapter.drain != nil {
				return true
			}
		}
	}
	return false
}

// draining reports whether a drain waits for load figures.
func (s *serverEntry) draining() bool {
	for _, entry := range s.replicas {
		if entry.drain != nil {
			return true
		}
		for _, adapter := range entry.adapters {
			if adapter.drain != nil {
				return true
			}
		}
	}
	return false
}

// view is the planner's picture of the replica.
func (e *replicaEntry) view() planner.Replica {
	view := planner.Replica{
		Model: e.Model, Version: e.Version, Slot: e.Slot, Attempt: e.Attempt, Phase: e.Phase,
		Draining: e.drain != nil, UnloadOrdered: e.drain != nil && e.drain.ordered,
		Running: e.Running + e.Queued, MemoryBytes: e.MemoryBytes, Source: e.Source,
		Since: e.since, ReadyAt: e.readyAt,
	}
	for _, adapter := range e.adapters {
		view.Adapters = append(view.Adapters, planner.Adapter{
			Name: adapter.Adapter, Version: adapter.Version, Attempt: adapter.Attempt, Phase: adapter.Phase,
			Draining: adapter.drain != nil, MemoryBytes: adapter.MemoryBytes,
		})
	}
	return view
}
