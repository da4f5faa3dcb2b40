package applier

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// sendPolls polls the state of the adopted servers that are due and have no order in flight.
func (o *Owner) sendPolls(now time.Time) {
	for _, server := range o.servers {
		if server.polling || server.orderInFlight || server.outcomeUnknown || !server.adopted {
			continue
		}
		if now.Before(server.nextPoll) || now.Before(server.retryAt) {
			continue
		}
		o.poll(now, server)
	}
}

// pollPeriod returns the time from this poll of a server to the next one.
func (o *Owner) pollPeriod(server *serverEntry) time.Duration {
	switch {
	case server.inTransition():
		return o.config.Intervals.FastPoll
	case len(server.replicas) == 0:
		return o.config.Intervals.IdlePoll
	default:
		return o.config.Intervals.SlowPoll
	}
}

// poll requests the server's state, with load figures if these are needed.
func (o *Owner) poll(now time.Time, server *serverEntry) {
	server.nextPoll = now.Add(o.pollPeriod(server))
	server.polling = true
	since := server.state.Version
	if server.hasDrain() || now.Sub(server.loadFiguresReadAt) >= o.config.Intervals.IdlePoll && len(server.replicas) > 0 {
		// Only a full state includes load figures.
		since = 0
		server.loadFiguresReadAt = now
	}
	generation := server.generation
	o.config.Engines.State(server.id, since, o.config.Intervals.StateTimeout, func(state *outside.EngineState, err error) {
		o.pollDone(server, generation, now, state, err)
	})
}

// pollDone handles the result of a poll.
func (o *Owner) pollDone(server *serverEntry, generation uint64, requestedAt time.Time, state *outside.EngineState, err error) {
	o.mutex.Lock()
	released := o.pollDoneLocked(server, generation, requestedAt, state, err)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

// pollDoneLocked applies a polled state, unless the server was replaced or sent an order in the
// meantime. A nil state means that nothing but the load has changed. The caller must hold the lock,
// and call released, unless nil, without it.
func (o *Owner) pollDoneLocked(server *serverEntry, generation uint64, requestedAt time.Time, state *outside.EngineState, err error) (released func()) {
	if o.stopped || o.byID[server.id] != server {
		return nil
	}
	server.polling = false
	if generation != server.generation && o.config.Mechanisms.AttemptIdentity {
		// An order was sent in the meantime, and this state may be from before it was applied.
		return nil
	}
	switch {
	case err != nil:
		o.callFailed(server, err)
		return nil
	case state == nil:
		o.callAnswered(server)
		return nil
	case o.superseded(state):
		return o.stopLocked("superseded")
	case state.Incarnation != server.incarnation:
		o.serverRestarted(server)
		o.wakeLocked()
		return nil
	}
	o.callAnswered(server)
	if o.applyState(server, state, requestedAt) {
		o.wakeLocked()
	}
	return nil
}

// callAnswered ends the backoff after failed calls.
func (o *Owner) callAnswered(server *serverEntry) {
	if server.unreachable() {
		o.markModelsChanged(server)
	}
	server.failures = 0
	server.retryAt = time.Time{}
}

// applyState sets the server's ledger entry from a state that was read while no order was in
// flight, or that came with the reply to an order. It reports whether the state has changed.
func (o *Owner) applyState(server *serverEntry, state *outside.EngineState, requestedAt time.Time) bool {
	if o.config.Mechanisms.AttemptIdentity && state.Version < server.state.Version {
		return false
	}
	changed := state.Version != server.state.Version
	server.state = *state
	server.stateRequestedAt = requestedAt
	previous := server.replicas
	server.replicas = make([]*replicaEntry, 0, len(state.Replicas))
	for i := range state.Replicas {
		o.applyReplica(server, previous, &state.Replicas[i])
	}
	slices.SortFunc(server.replicas, func(a, b *replicaEntry) int { return cmp.Compare(a.Model, b.Model) })
	for _, entry := range previous {
		if server.replica(entry.Model) != entry {
			changed = true
			o.replicaRemoved(server, entry, state)
		}
	}
	return changed
}

// applyReplica adds a replica of the engine's state to the server, with its previous entry if it
// has one. Failed loads hold no slot and are left out.
func (o *Owner) applyReplica(server *serverEntry, previous []*replicaEntry, state *outside.ReplicaState) {
	mechanisms := &o.config.Mechanisms
	if state.Phase == outside.ReplicaFailed {
		return
	}
	if !mechanisms.ReleaseSlotOnConfirmation && state.Phase == outside.ReplicaUnloading {
		return
	}
	previousEntries := serverEntry{replicas: previous}
	entry := previousEntries.entryOf(state, mechanisms)
	if entry == nil {
		entry = o.newAdoptedReplica(state)
	}
	entry.drain.resetUnload(state.Phase)
	o.updateReplica(server, entry, state)
	server.replicas = append(server.replicas, entry)
}

// newAdoptedReplica returns an entry for a replica that a previous owner loaded, and presumes that
// gateways have cached the model's endpoints.
func (o *Owner) newAdoptedReplica(state *outside.ReplicaState) *replicaEntry {
	o.changedModels[state.Model] = true
	now := o.config.Clock.Now()
	o.presumeCached(state.Model, now)
	return &replicaEntry{ReplicaState: outside.ReplicaState{Phase: state.Phase}, reason: "adopted", since: now}
}

// updateReplica updates a replica's entry from the engine's state. While it loads, the time when it
// will be ready is extrapolated from the progress.
func (o *Owner) updateReplica(server *serverEntry, entry *replicaEntry, state *outside.ReplicaState) {
	now := o.config.Clock.Now()
	if entry.Phase != state.Phase {
		o.changedModels[state.Model] = true
		if entry.Phase == outside.ReplicaLoading && state.Phase == outside.ReplicaReady {
			o.replicaReady(server, entry, state)
		}
		entry.since = now
	}
	entry.reported = true
	entry.ReplicaState = *state
	if state.Phase == outside.ReplicaLoading && state.Progress > 0.05 && !entry.orderedAt.IsZero() {
		elapsed := now.Sub(entry.orderedAt)
		entry.readyAt = entry.orderedAt.Add(time.Duration(float64(elapsed) / state.Progress))
	}
	o.updateAdapters(server, entry, state.Adapters)
}

// replicaReady ends the model's load backoff on the server, and records how long the load took if
// this owner ordered it.
func (o *Owner) replicaReady(server *serverEntry, entry *replicaEntry, state *outside.ReplicaState) {
	server.clearBackoff(entry.Model)
	if entry.orderedAt.IsZero() {
		return
	}
	took := o.config.Clock.Now().Sub(entry.orderedAt)
	o.statistics.ObserveLoad(state.Source, entry.weightBytes, took)
	o.logger.Info().Str("server", string(server.id)).Str("model", entry.Model).Int("slot", int(entry.Slot)).
		Str("attempt", string(entry.Attempt)).Str("source", state.Source.String()).Dur("took", took).Msg("replica ready")
}

// replicaRemoved handles a replica that is missing from the engine's state or whose load failed, so
// that its slot is free.
func (o *Owner) replicaRemoved(server *serverEntry, entry *replicaEntry, state *outside.EngineState) {
	o.changedModels[entry.Model] = true
	reason := "unloaded"
	for i := range state.Replicas {
		replica := &state.Replicas[i]
		if replica.Attempt == entry.Attempt && replica.Phase == outside.ReplicaFailed {
			reason = "load_failed"
			o.loadFailed(server, entry.Model, entry.Attempt)
		}
	}
	o.logger.Info().Str("server", string(server.id)).Str("model", entry.Model).Int("slot", int(entry.Slot)).
		Str("attempt", string(entry.Attempt)).Str("reason", reason).Msg("replica gone")
}

// updateAdapters updates the adapters of a replica from the engine's state.
func (o *Owner) updateAdapters(server *serverEntry, entry *replicaEntry, states []outside.AdapterState) {
	previous := entry.adapters
	entry.adapters = make([]*adapterEntry, 0, len(states))
	for i := range states {
		state := &states[i]
		adapter := (&replicaEntry{adapters: previous}).adapter(state.Adapter)
		if state.Phase == outside.ReplicaFailed {
			if adapter != nil && adapter.Attempt == state.Attempt {
				o.loadFailed(server, state.Adapter, state.Attempt)
			}
			continue
		}
		if adapter == nil || (o.config.Mechanisms.AttemptIdentity && adapter.Attempt != state.Attempt) {
			adapter = &adapterEntry{reason: "adopted"}
			o.changedModels[entry.Model] = true
		}
		if adapter.Phase != state.Phase {
			o.changedModels[entry.Model] = true
		}
		adapter.drain.resetUnload(state.Phase)
		adapter.AdapterState = *state
		adapter.reported = true
		entry.adapters = append(entry.adapters, adapter)
	}
	if len(entry.adapters) != len(previous) {
		o.changedModels[entry.Model] = true
	}
}

// loadFailed backs off from loading a model or adapter on the server.
func (o *Owner) loadFailed(server *serverEntry, name string, attempt outside.AttemptID) {
	index, found := slices.BinarySearchFunc(server.backoffs, name, func(entry loadBackoff, name string) int {
		return cmp.Compare(entry.name, name)
	})
	if !found {
		server.backoffs = slices.Insert(server.backoffs, index, loadBackoff{name: name})
	}
	entry := &server.backoffs[index]
	entry.failures++
	pause := o.backoff(o.config.Intervals.LoadBackoffMin, o.config.Intervals.LoadBackoffMax, entry.failures)
	entry.until = o.config.Clock.Now().Add(pause)
	o.logger.Warn().Str("server", string(server.id)).Str("model", name).Str("attempt", string(attempt)).
		Int("failures", entry.failures).Dur("pause", pause).Str("reason", "load_failed").Msg("load failed")
}

// clearBackoff ends the backoff of a model or adapter.
func (s *serverEntry) clearBackoff(name string) {
	s.backoffs = slices.DeleteFunc(s.backoffs, func(entry loadBackoff) bool { return entry.name == name })
}
