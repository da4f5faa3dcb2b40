package applier

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// sendPolls reads the state of servers on which no order is under way.
func (o *Owner) sendPolls(now time.Time) {
	for _, server := range o.servers {
		if server.polling || server.outstanding || server.unknown || !server.adopted {
			continue
		}
		if now.Before(server.nextPoll) || now.Before(server.retryAt) {
			continue
		}
		o.poll(now, server)
	}
}

// pollPeriod is how long after this poll of a server the next one comes.
func (o *Owner) pollPeriod(server *serverEntry) time.Duration {
	switch {
	case server.changing():
		return o.config.Intervals.FastPoll
	case len(server.replicas) == 0:
		return o.config.Intervals.IdlePoll
	default:
		return o.config.Intervals.SlowPoll
	}
}

func (o *Owner) poll(now time.Time, server *serverEntry) {
	server.nextPoll = now.Add(o.pollPeriod(server))
	server.polling = true
	since := server.state.Version
	if server.draining() || now.Sub(server.loadsReadAt) >= o.config.Intervals.IdlePoll && len(server.replicas) > 0 {
		// Load figures are only part of a full state.
		since = 0
		server.loadsReadAt = now
	}
	generation := server.generation
	o.config.Engines.State(server.id, since, o.config.Intervals.StateTimeout, func(state *outside.EngineState, err error) {
		o.polled(server, generation, now, state, err)
	})
}

func (o *Owner) polled(server *serverEntry, generation uint64, askedAt time.Time, state *outside.EngineState, err error) {
	o.mutex.Lock()
	released := o.polledLocked(server, generation, askedAt, state, err)
	o.mutex.Unlock()
	if released != nil {
		released()
	}
}

func (o *Owner) polledLocked(server *serverEntry, generation uint64, askedAt time.Time, state *outside.EngineState, err error) (released func()) {
	if o.ended || o.byID[server.id] != server {
		return nil
	}
	server.polling = false
	if generation != server.generation && o.config.Mechanisms.AttemptIdentity {
		// An order went out meanwhile: this state may be from before it.
		return nil
	}
	switch {
	case err != nil:
		o.failed(server, err)
		return nil
	case state == nil:
		o.answered(server)
		return nil
	case o.superseded(state):
		return o.endLocked("superseded")
	case state.Incarnation != server.incarnation:
		o.restarted(server)
		o.wakeLocked()
		return nil
	}
	o.answered(server)
	if o.takeState(server, state, askedAt) {
		o.wakeLocked()
	}
	return nil
}

func (o *Owner) answered(server *serverEntry) {
	if server.unreachable() {
		o.changedServer(server)
	}
	server.failures = 0
	server.retryAt = time.Time{}
}

// takeState makes the ledger equal to a state that was read while no order was
// under way, or by an order itself. It reports whether anything changed.
func (o *Owner) takeState(server *serverEntry, state *outside.EngineState, askedAt time.Time) bool {
	if o.config.Mechanisms.AttemptIdentity && state.Version < server.state.Version {
		return false
	}
	changed := state.Version != server.state.Version
	server.state = *state
	server.requestedAt = askedAt
	before := server.replicas
	server.replicas = make([]*replicaEntry, 0, len(state.Replicas))
	for i := range state.Replicas {
		o.takeReplica(server, before, &state.Replicas[i])
	}
	slices.SortFunc(server.replicas, func(a, b *replicaEntry) int { return cmp.Compare(a.Model, b.Model) })
	for _, entry := range before {
		if server.replica(entry.Model) != entry {
			changed = true
			o.replicaGone(server, entry, state)
		}
	}
	return changed
}

func (o *Owner) takeReplica(server *serverEntry, before []*replicaEntry, state *outside.ReplicaState) {
	mechanisms := &o.config.Mechanisms
	if state.Phase == outside.ReplicaFailed {
		return
	}
	if !mechanisms.ReleaseSlotOnConfirmation && state.Phase == outside.ReplicaUnloading {
		return
	}
	known := serverEntry{replicas: before}
	entry := known.entryOf(state, mechanisms)
	if entry == nil {
		entry = o.discovered(state)
	}
	entry.drain.reorder(state.Phase)
	o.updateReplica(server, entry, state)
	server.replicas = append(server.replicas, entry)
}

// discovered makes an entry of a replica that another owner loaded.
func (o *Owner) discovered(state *outside.ReplicaState) *replicaEntry {
	o.changed[state.Model] = true
	now := o.config.Clock.Now()
	o.introduce(state.Model, now)
	return &replicaEntry{ReplicaState: outside.ReplicaState{Phase: state.Phase}, reason: "adopted", since: now}
}

func (o *Owner) updateReplica(server *serverEntry, entry *replicaEntry, state *outside.ReplicaState) {
	now := o.config.Clock.Now()
	if entry.Phase != state.Phase {
		o.changed[state.Model] = true
		if entry.Phase == outside.ReplicaLoading && state.Phase == outside.ReplicaReady {
			o.replicaReady(server, entry, state)
		}
		entry.since = now
	}
	entry.seen = true
	entry.ReplicaState = *state
	if state.Phase == outside.ReplicaLoading && state.Progress > 0.05 && !entry.orderedAt.IsZero() {
		taken := now.Sub(entry.orderedAt)
		entry.readyAt = entry.orderedAt.Add(time.Duration(float64(taken) / state.Progress))
	}
	o.updateAdapters(server, entry, state.Adapters)
}

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

// replicaGone notes that an entry is no longer held: its slot is free.
func (o *Owner) replicaGone(server *serverEntry, entry *replicaEntry, state *outside.EngineState) {
	o.changed[entry.Model] = true
	reason := "unloaded"
	for i := range state.Replicas {
		reported := &state.Replicas[i]
		if reported.Attempt == entry.Attempt && reported.Phase == outside.ReplicaFailed {
			reason = "load_failed"
			o.loadFailed(server, entry.Model, entry.Attempt)
		}
	}
	o.logger.Info().Str("server", string(server.id)).Str("model", entry.Model).Int("slot", int(entry.Slot)).
		Str("attempt", string(entry.Attempt)).Str("reason", reason).Msg("replica gone")
}

func (o *Owner) updateAdapters(server *serverEntry, entry *replicaEntry, states []outside.AdapterState) {
	before := entry.adapters
	entry.adapters = make([]*adapterEntry, 0, len(states))
	for i := range states {
		state := &states[i]
		known := (&replicaEntry{adapters: before}).adapter(state.Adapter)
		if state.Phase == outside.ReplicaFailed {
			if known != nil && known.Attempt == state.Attempt {
				o.loadFailed(server, state.Adapter, state.Attempt)
			}
			continue
		}
		if known == nil || (o.config.Mechanisms.AttemptIdentity && known.Attempt != state.Attempt) {
			known = &adapterEntry{reason: "adopted"}
			o.changed[entry.Model] = true
		}
		if known.Phase != state.Phase {
			o.changed[entry.Model] = true
		}
		known.drain.reorder(state.Phase)
		known.AdapterState = *state
		known.seen = true
		entry.adapters = append(entry.adapters, known)
	}
	if len(entry.adapters) != len(before) {
		o.changed[entry.Model] = true
	}
}

// loadFailed keeps a model or adapter off the server for a while.
func (o *Owner) loadFailed(server *serverEntry, name string, attempt outside.AttemptID) {
	at, found := slices.BinarySearchFunc(server.backoffs, name, func(entry loadBackoff, name string) int {
		return cmp.Compare(entry.name, name)
	})
	if !found {
		server.backoffs = slices.Insert(server.backoffs, at, loadBackoff{name: name})
	}
	entry := &server.backoffs[at]
	entry.failures++
	pause := o.backoff(o.config.Intervals.LoadBackoffMin, o.config.Intervals.LoadBackoffMax, entry.failures)
	entry.until = o.config.Clock.Now().Add(pause)
	o.logger.Warn().Str("server", string(server.id)).Str("model", name).Str("attempt", string(attempt)).
		Int("failures", entry.failures).Dur("pause", pause).Str("reason", "load_failed").Msg("load failed")
}

func (s *serverEntry) clearBackoff(name string) {
	s.backoffs = slices.DeleteFunc(s.backoffs, func(entry loadBackoff) bool { return entry.name == name })
}
