package applier

import (
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/table"
)

// planLocked runs the policy and applies those of its decisions that the verifier admits. It must
// be called with the lock held.
func (o *Owner) planLocked(now time.Time, store planner.Store) {
	o.planNeeded = false
	snapshot := o.snapshot(now, store)
	o.observeDemand(snapshot)
	o.lastPlan = now
	o.plan = o.config.Policy.Plan(snapshot)
	o.recordRowPlans()
	verifier := planner.NewVerifier(snapshot)
	for i := range o.plan.Decisions {
		decision := &o.plan.Decisions[i]
		if err := verifier.Admit(*decision); err != nil {
			o.logger.Error().Err(err).Str("policy", o.config.Policy.Name()).Str("reason", "rule").Msg("policy's decision breaks a rule; not applied")
			continue
		}
		o.applyDecision(now, decision)
	}
}

// snapshot returns the input of the policy.
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
		if server.contentsUnknown && o.config.Mechanisms.AdoptBeforeAct {
			snapshot.UnknownServers++
		}
	}
	snapshot.Store = o.storeView(now, store)
	return snapshot
}

// serverView returns the server as the planner sees it.
func (o *Owner) serverView(server *serverEntry) planner.Server {
	view := planner.Server{
		ID: server.id, Zone: server.machine.Zone, MemoryBytes: server.state.MemoryBytes,
		CommittedBytes: server.committed(&o.config.Mechanisms), MaxBatch: server.state.MaxBatch,
		Usable:      server.usable() && o.listingFresh,
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

// storeView returns the weight store as the planner sees it, with the number of loads from it that
// may start now. These are limited by a token bucket, which it refills at the store's rate.
func (o *Owner) storeView(now time.Time, store planner.Store) planner.Store {
	burst := max(1, store.LoadsPerSecond)
	o.remoteTokens = min(burst, o.remoteTokens+now.Sub(o.tokensRefilledAt).Seconds()*store.LoadsPerSecond)
	o.tokensRefilledAt = now
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

// observeDemand updates the statistics with the current demand of each row.
func (o *Owner) observeDemand(snapshot *planner.Snapshot) {
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

// recordRowPlans stores the plan of each model, and marks the endpoints of a model as changed if it
// is newly refused or no longer so, or if a replica is newly expected or no longer so.
func (o *Owner) recordRowPlans() {
	for _, row := range o.plan.Rows {
		previous := o.rowPlans[row.Model]
		if previous.Refused != row.Refused || previous.ReadyAt.IsZero() != row.ReadyAt.IsZero() {
			o.changedModels[row.Model] = true
		}
	}
	clear(o.rowPlans)
	for _, row := range o.plan.Rows {
		o.rowPlans[row.Model] = row
	}
}

// applyDecision turns an admitted decision into commands, or starts or cancels a drain.
func (o *Owner) applyDecision(now time.Time, decision *planner.Decision) {
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
		o.changedModels[decision.Model] = true
		o.logDecision(decision)
	}
}

func (o *Owner) logDecision(decision *planner.Decision) {
	o.logger.Info().Str("server", string(decision.Server)).Str("action", decision.Action.String()).
		Str("model", decision.Model).Str("adapter", decision.Adapter).Int("slot", int(decision.Slot)).
		Str("for", decision.For).Int64("revision", int64(o.revision)).
		Str("reason", decision.Reason.String()).Msg("decided")
}

// nextAttempt returns the unique id of a new load attempt.
func (o *Owner) nextAttempt() outside.AttemptID {
	o.attemptCount++
	return outside.AttemptID(fmt.Sprintf("load-%s-%d-%d", o.cell, o.epoch, o.attemptCount))
}

// applyLoad reserves the memory and slot and issues the load command. While an order to the server
// is in flight it does nothing; the next plan decides again.
func (o *Owner) applyLoad(now time.Time, server *serverEntry, decision *planner.Decision) {
	if server.orderInFlight {
		return
	}
	attempt := o.nextAttempt()
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

// applyLoadAdapter does for an adapter what applyLoad does for a model. It also does nothing if the
// base model's replica is draining or has no entry.
func (o *Owner) applyLoadAdapter(now time.Time, server *serverEntry, decision *planner.Decision) {
	entry := server.replica(decision.Model)
	if server.orderInFlight || entry == nil || entry.drain != nil {
		return
	}
	attempt := o.nextAttempt()
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
