package applier

import (
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/table"
)

// planLocked runs the policy and takes over those of its decisions that keep
// the rules.
func (o *Owner) planLocked(now time.Time, store planner.Store) {
	o.dirty = false
	snapshot := o.snapshot(now, store)
	o.observe(snapshot)
	o.lastPlan = now
	o.plan = o.config.Policy.Plan(snapshot)
	o.takeRowPlans()
	verifier := planner.NewVerifier(snapshot)
	for i := range o.plan.Decisions {
		decision := &o.plan.Decisions[i]
		if err := verifier.Admit(*decision); err != nil {
			o.logger.Error().Err(err).Str("policy", o.config.Policy.Name()).Str("reason", "rule").Msg("decision not admitted")
			continue
		}
		o.apply(now, decision)
	}
}

func (o *Owner) snapshot(now time.Time, store planner.Store) *planner.Snapshot {
	snapshot := &planner.Snapshot{Now: now, Revision: o.revision, Statistics: o.statistics}
	demands := o.demandByRow()
	snapshot.Rows = o.rows
	snapshot.Index = o.index
	for i := range o.rows {
		demand := demands[o.rows[i].Name]
		demand.LastArrival = o.lastArrivals[o.rows[i].Name]
		o.rows[i].Demand = demand
	}
	snapshot.Servers = make([]planner.Server, len(o.servers))
	for i, server := range o.servers {
		snapshot.Servers[i] = o.serverView(server)
		if server.mayHold && o.config.Mechanisms.AdoptBeforeAct {
			snapshot.UnknownServers++
		}
	}
	snapshot.Store = o.storeView(now, store)
	return snapshot
}

func (o *Owner) serverView(server *serverEntry) planner.Server {
	view := planner.Server{
		ID: server.id, Zone: server.machine.Zone, MemoryBytes: server.state.MemoryBytes,
		CommittedBytes: server.committed(&o.config.Mechanisms), MaxBatch: server.state.MaxBatch,
		Usable:      server.usable() && o.listed,
		Unreachable: server.unreachable(), Leaving: server.leaving(),
		Cached: server.state.Cached,
	}
	view.Replicas = make([]planner.Replica, len(server.replicas))
	for i, entry := range server.replicas {
		view.Replicas[i] = entry.view()
	}
	for _, backoff := range server.backoffs {
		view.Backoffs = append(view.Backoffs, planner.Backoff{Model: backoff.name, Until: backoff.until})
	}
	return view
}

// storeView refills the cell's share of the store's rate of starts.
func (o *Owner) storeView(now time.Time, store planner.Store) planner.Store {
	burst := max(1, store.LoadsPerSecond)
	o.remoteTokens = min(burst, o.remoteTokens+now.Sub(o.tokensAt).Seconds()*store.LoadsPerSecond)
	o.tokensAt = now
	store.Starts = int(o.remoteTokens)
	for _, server := range o.servers {
		for _, entry := range server.replicas {
			if entry.Phase == outside.ReplicaLoading && entry.Source == outside.SourceRemote {
				store.InFlight++
			}
		}
	}
	return store
}

// observe feeds the statistics with the present demand.
func (o *Owner) observe(snapshot *planner.Snapshot) {
	batch := 0
	for i := range snapshot.Servers {
		batch = max(batch, snapshot.Servers[i].MaxBatch)
	}
	loads := make(map[string]int, len(snapshot.Rows))
	for i := range snapshot.Rows {
		row := &snapshot.Rows[i]
		load := row.Demand.Load()
		loads[row.Name] += load
		if row.Kind == table.KindAdapter {
			loads[row.Base] += load
		}
	}
	for i := range snapshot.Rows {
		row := &snapshot.Rows[i]
		arrived := row.Demand.LastArrival.After(o.lastPlan)
		if loads[row.Name] > 0 || arrived {
			needed := max(1, planner.NeededReplicas(loads[row.Name], batch))
			o.statistics.Observe(snapshot.Now, row.Name, row.Tenant, min(needed, max(1, row.Max)))
		}
	}
}

// takeRowPlans notes the outlook of each model and pushes what is news.
func (o *Owner) takeRowPlans() {
	for _, row := range o.plan.Rows {
		before := o.rowPlans[row.Model]
		if before.Refused != row.Refused || before.ReadyAt.IsZero() != row.ReadyAt.IsZero() {
			o.changed[row.Model] = true
		}
	}
	clear(o.rowPlans)
	for _, row := range o.plan.Rows {
		o.rowPlans[row.Model] = row
	}
}

// apply turns an admitted decision into commands and drains.
func (o *Owner) apply(now time.Time, decision *planner.Decision) {
	server := o.byID[decision.Server]
	switch decision.Action {
	case planner.ActionLoad:
		o.applyLoad(now, server, decision)
	case planner.ActionLoadAdapter:
		o.applyLoadAdapter(now, server, decision)
	case planner.ActionUnload:
		if entry := server.replica(decision.Model); entry.drain == nil {
			entry.drain = o.newDrain(decision.Model, decision.Reason.String(), decision.For, now)
			o.logDecision(decision)
		}
	case planner.ActionUnloadAdapter:
		adapter := server.replica(decision.Model).adapter(decision.Adapter)
		if adapter != nil && adapter.drain == nil {
			adapter.drain = o.newDrain(decision.Model, decision.Reason.String(), "", now)
			o.logDecision(decision)
		}
	case planner.ActionResume:
		server.replica(decision.Model).drain = nil
		o.changed[decision.Model] = true
		o.logDecision(decision)
	}
}

func (o *Owner) logDecision(decision *planner.Decision) {
	o.logger.Info().Str("server", string(decision.Server)).Str("action", decision.Action.String()).
		Str("model", decision.Model).Str("adapter", decision.Adapter).Int("slot", int(decision.Slot)).
		Str("for", decision.For).Int64("revision", int64(o.revision)).
		Str("reason", decision.Reason.String()).Msg("decided")
}

// attempt returns an identity that is never used again.
func (o *Owner) attempt() outside.AttemptID {
	o.attempts++
	return outside.AttemptID(fmt.Sprintf("load-%s-%d-%d", o.cell, o.epoch, o.attempts))
}

// applyLoad reserves memory and slot and prepares the command. While an order
// to the server is outstanding the decision is left to the next plan.
func (o *Owner) applyLoad(now time.Time, server *serverEntry, decision *planner.Decision) {
	if server.outstanding {
		return
	}
	attempt := o.attempt()
	if decision.Source == outside.SourceRemote {
		o.remoteTokens--
	}
	if o.config.Mechanisms.ReserveBeforeOrder {
		server.add(&replicaEntry{
			ReplicaState: outside.ReplicaState{
				Model: decision.Model, Version: decision.Version, Slot: decision.Slot, Attempt: attempt,
				Phase: outside.ReplicaLoading, MemoryBytes: decision.MemoryBytes, Source: decision.Source,
			},
			reason: decision.Reason.String(), since: now, orderedAt: now,
			readyAt: decision.ExpectedReady, weightBytes: decision.WeightBytes,
		})
	}
	server.commands = append(server.commands, outside.Command{
		Kind: outside.CommandLoadModel, Model: decision.Model, Version: decision.Version,
		Slot: decision.Slot, Attempt: attempt,
		MemoryBytes: decision.MemoryBytes, WeightBytes: decision.WeightBytes,
	})
	o.logDecision(decision)
}

func (o *Owner) applyLoadAdapter(now time.Time, server *serverEntry, decision *planner.Decision) {
	entry := server.replica(decision.Model)
	if server.outstanding || entry == nil || entry.drain != nil {
		return
	}
	attempt := o.attempt()
	if o.config.Mechanisms.ReserveBeforeOrder {
		entry.adapters = append(entry.adapters, &adapterEntry{
			AdapterState: outside.AdapterState{
				Adapter: decision.Adapter, Version: decision.Version, Attempt: attempt,
				Phase: outside.ReplicaLoading, MemoryBytes: decision.MemoryBytes,
			},
			reason: decision.Reason.String(), orderedAt: now,
		})
	}
	server.commands = append(server.commands, outside.Command{
		Kind: outside.CommandLoadAdapter, Model: decision.Model, Version: decision.Version,
		Adapter: decision.Adapter, Slot: entry.Slot, Attempt: attempt,
		MemoryBytes: decision.MemoryBytes, WeightBytes: decision.WeightBytes,
	})
	o.logDecision(decision)
}
