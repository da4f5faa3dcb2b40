package applier

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
)

// serverEntry is the ledger entry of one server.
type serverEntry struct {
	id      outside.ServerID
	machine outside.Machine
	// listed is false once the server is missing from the machine list.
	listed bool
	// contentsUnknown is true until the server's state is read for the first time, unless it is
	// known to hold nothing. Until then it counts as holding one replica of every model.
	contentsUnknown bool

	// adopted: in its current incarnation the engine accepted the fence of this epoch, and its
	// state was read. confirmed: the epoch was still current after that.
	adopted, confirmed bool
	incarnation        outside.Incarnation
	// state is the newest state that was accepted, and stateRequestedAt when it was requested.
	state            outside.EngineState
	stateRequestedAt time.Time
	// loadFiguresReadAt is when load figures were last requested.
	loadFiguresReadAt time.Time

	// sequence is that of the newest order, and orderInFlight is true until its reply arrives or it
	// times out.
	sequence      uint64
	orderInFlight bool
	// outcomeUnknown: it is unknown whether the newest order was applied. The reply to the next
	// order resolves this.
	outcomeUnknown bool
	// polling is true while a state request is in flight. generation changes with each order sent
	// and with each restart; a state that was requested in an earlier one is discarded.
	polling    bool
	generation uint64
	nextPoll   time.Time
	// failures counts consecutive failed calls; before retryAt there is no further call.
	failures int
	retryAt  time.Time

	// replicas are sorted by model.
	replicas []*replicaEntry
	// backoffs are sorted by name.
	backoffs []loadBackoff
	// commands will be sent by the current tick, in one order.
	commands []outside.Command
}

// loadBackoff keeps a model or adapter whose load failed from being loaded again for a while.
type loadBackoff struct {
	name     string
	failures int
	until    time.Time
}

// replicaEntry is a replica in any phase, which occupies a slot.
type replicaEntry struct {
	outside.ReplicaState
	// reported: the engine has reported this load attempt.
	reported bool
	reason   string
	// since is when the phase was entered. orderedAt is when the load was ordered, zero if by
	// another owner. readyAt is an estimate of when the load completes.
	since, orderedAt, readyAt time.Time
	weightBytes               int64
	drain                     *drain
	adapters                  []*adapterEntry
}

// adapterEntry is an adapter on a replica.
type adapterEntry struct {
	outside.AdapterState
	reported  bool
	reason    string
	orderedAt time.Time
	drain     *drain
}

// unreachableFailures is the number of consecutive failed calls that make a server unreachable.
const unreachableFailures = 3

func (s *serverEntry) leaving() bool {
	return s.machine.Phase == outside.MachineLeaving || s.state.Leaving
}

// usable reports whether the server can be sent commands.
func (s *serverEntry) usable() bool {
	return s.adopted && s.confirmed && !s.outcomeUnknown && s.failures == 0 && s.listed
}

func (s *serverEntry) unreachable() bool { return s.failures >= unreachableFailures }

// search returns the position of a model's replica, or where it would be inserted.
func (s *serverEntry) search(model string) (int, bool) {
	return slices.BinarySearchFunc(s.replicas, model, func(entry *replicaEntry, model string) int {
		return cmp.Compare(entry.Model, model)
	})
}

// replica returns the model's replica, or nil.
func (s *serverEntry) replica(model string) *replicaEntry {
	index, found := s.search(model)
	if !found {
		return nil
	}
	return s.replicas[index]
}

func (s *serverEntry) add(entry *replicaEntry) {
	index, _ := s.search(entry.Model)
	s.replicas = slices.Insert(s.replicas, index, entry)
}

// committed returns the memory reserved by replicas and adapters in any phase, in bytes. If the
// engine reports that more is in use, it returns that.
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

// reset discards the state of an incarnation that has ended.
func (s *serverEntry) reset() {
	s.replicas = nil
	s.adopted = false
	s.confirmed = false
	s.outcomeUnknown = false
	s.incarnation = ""
	s.state = outside.EngineState{}
	s.generation++
}

// entryOf returns the entry that a replica reported by the engine belongs to, or nil.
func (s *serverEntry) entryOf(state *outside.ReplicaState, mechanisms *Mechanisms) *replicaEntry {
	entry := s.replica(state.Model)
	if entry == nil || (mechanisms.AttemptIdentity && entry.Attempt != state.Attempt) {
		return nil
	}
	return entry
}

// adapter returns the adapter with this name, or nil.
func (e *replicaEntry) adapter(name string) *adapterEntry {
	for _, adapter := range e.adapters {
		if adapter.Adapter == name {
			return adapter
		}
	}
	return nil
}

// inTransition reports whether a load, unload or drain is in progress, so that the server is polled
// at FastPoll.
func (s *serverEntry) inTransition() bool {
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

// hasDrain reports whether a replica or adapter is draining, so that each poll has to read the load
// figures.
func (s *serverEntry) hasDrain() bool {
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

// view returns the replica as the planner sees it.
func (e *replicaEntry) view() planner.Replica {
	view := planner.Replica{
		Model: e.Model, Version: e.Version, Slot: e.Slot, Attempt: e.Attempt, Phase: e.Phase,
		Draining: e.drain != nil, UnloadOrdered: e.drain != nil && e.drain.unloadOrdered,
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
