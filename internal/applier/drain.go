package applier

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// drain takes a replica or adapter out of service before its unload.
type drain struct {
	reason string
	// forRow is the row that needs the capacity; empty if none does.
	forRow string
	since  time.Time
	// sequence is that of the last endpoint update before the drain; later ones include the drain.
	sequence uint64
	// unacknowledged are the gateways whose acknowledgement is missing.
	unacknowledged map[string]bool
	// waitFullDelay: the drain lasts the whole drain delay, whatever is acknowledged. It is set
	// soon after a takeover, as the previous owner may have sent the endpoints to gateways that
	// have not reported to this owner yet.
	waitFullDelay bool
	// quiescentSince is when the last gateway acknowledged, or the drain delay passed; zero before
	// that. It moves on if requests are seen while acknowledgements are missing.
	quiescentSince time.Time
	// unloadOrdered: the unload command was issued, and no later state of the engine showed that
	// it had no effect.
	unloadOrdered bool
}

// newDrain starts a drain, which waits for an acknowledgement of each gateway that may have cached
// the model's endpoints. The row that needs the capacity is empty if there is none.
func (o *Owner) newDrain(model, reason, forRow string, now time.Time) *drain {
	started := &drain{reason: reason, forRow: forRow, since: now, sequence: o.updateSequence, unacknowledged: map[string]bool{}}
	for _, gateway := range o.gateways {
		if _, cached := gateway.cachedAt[model]; cached {
			started.unacknowledged[gateway.id] = true
		}
	}
	started.waitFullDelay = now.Sub(o.acquiredAt) < o.config.Intervals.InterestExpiry
	started.checkQuiescent(now)
	o.changedModels[model] = true
	return started
}

// acknowledge records that a gateway received the update of the model with this sequence.
func (o *Owner) acknowledge(gateway, model string, sequence uint64) {
	now := o.config.Clock.Now()
	for _, server := range o.servers {
		entry := server.replica(model)
		if entry == nil {
			continue
		}
		entry.drain.acknowledge(gateway, sequence, now)
		for _, adapter := range entry.adapters {
			adapter.drain.acknowledge(gateway, sequence, now)
		}
	}
}

// acknowledge records the acknowledgement if the update includes the drain.
func (d *drain) acknowledge(gateway string, sequence uint64, now time.Time) {
	if d == nil || sequence <= d.sequence || !d.unacknowledged[gateway] {
		return
	}
	delete(d.unacknowledged, gateway)
	d.checkQuiescent(now)
}

// checkQuiescent sets quiescentSince once no acknowledgement is missing, unless the full drain
// delay has to pass.
func (d *drain) checkQuiescent(now time.Time) {
	if len(d.unacknowledged) == 0 && !d.waitFullDelay && d.quiescentSince.IsZero() {
		d.quiescentSince = now
	}
}

// resetUnload clears unloadOrdered if the phase shows that the unload had no effect, so that it is
// ordered again. The phase must be one that the engine reported while no order was in flight.
func (d *drain) resetUnload(phase outside.ReplicaPhase) {
	if d != nil && phase != outside.ReplicaUnloading {
		d.unloadOrdered = false
	}
}

// finished reports whether gateways have stopped sending requests and the engine had none left in
// a state that was requested at least the settle time after that.
func (d *drain) finished(now time.Time, settle time.Duration, stateRequestedAt time.Time, running int) bool {
	if d.quiescentSince.IsZero() {
		return false
	}
	if running > 0 {
		if len(d.unacknowledged) > 0 || d.waitFullDelay {
			// A gateway that has not acknowledged may still be sending requests: wait until none
			// run.
			d.quiescentSince = now
		}
		return false
	}
	return !stateRequestedAt.Before(d.quiescentSince.Add(settle))
}

// settlePeriod returns how long after the last acknowledgement requests may still be in transit. If
// no row needs the capacity and the machine does not leave soon, it allows for delayed messages.
func (o *Owner) settlePeriod(now time.Time, server *serverEntry, d *drain) time.Duration {
	leavesSoon := server.leaving() && server.machine.LeavesAt.Sub(now) < leavesSoonLimit
	if d.forRow == "" && !leavesSoon {
		return o.config.Intervals.DrainSettleIdle
	}
	return o.config.Intervals.DrainSettle
}

// leavesSoonLimit is the time before a machine leaves below which its drains are urgent. A leaving
// machine whose time of leaving is unknown counts as leaving soon.
const leavesSoonLimit = 30 * time.Second

// applyDrainTimeout ends the wait for acknowledgements once it has lasted too long. It lasts longer
// for live members, which may be partitioned from this node but not from the engine, unless the
// machine is leaving, which gateways also learn from the machine list.
func (o *Owner) applyDrainTimeout(now time.Time, server *serverEntry, d *drain) {
	waited := now.Sub(d.since)
	if !d.quiescentSince.IsZero() || waited < o.config.Intervals.DrainDelay {
		return
	}
	// A previous owner that is partitioned may continue as a gateway for a while.
	waitLonger := o.awaitsLiveMember(d) || (d.waitFullDelay && d.forRow == "")
	if server.leaving() || waited >= o.config.Intervals.DrainDelayUnreachable || !waitLonger {
		d.quiescentSince = now
	}
}

// awaitsLiveMember reports whether the acknowledgement of a live member is missing.
func (o *Owner) awaitsLiveMember(d *drain) bool {
	return slices.ContainsFunc(o.members, func(member membership.Member) bool { return d.unacknowledged[member.ID()] })
}

// advanceDrains issues the unload commands of drains that have finished, on servers that can be
// sent an order now.
func (o *Owner) advanceDrains(now time.Time) {
	for _, server := range o.servers {
		if server.orderInFlight || !server.usable() {
			continue
		}
		for _, entry := range server.replicas {
			o.advanceReplica(now, server, entry)
		}
		o.releaseEarly(server)
	}
}

// advanceReplica issues the unload command of the replica, or those of its adapters, if the drain
// has finished. Adapters of a draining replica are unloaded with it.
func (o *Owner) advanceReplica(now time.Time, server *serverEntry, entry *replicaEntry) {
	running := entry.Running + entry.Queued
	if entry.drain != nil {
		if !entry.drain.unloadOrdered && o.readyToUnload(now, server, entry.drain, entry.Phase, running) {
			o.orderUnload(server, entry)
		}
		return
	}
	for _, adapter := range entry.adapters {
		if adapter.drain == nil || adapter.drain.unloadOrdered || !o.readyToUnload(now, server, adapter.drain, adapter.Phase, running) {
			continue
		}
		adapter.drain.unloadOrdered = true
		server.commands = append(server.commands, outside.Command{
			Kind: outside.CommandUnloadAdapter, Model: entry.Model, Version: adapter.Version,
			Adapter: adapter.Adapter, Slot: entry.Slot, Attempt: adapter.Attempt,
		})
	}
}

// readyToUnload reports whether the drain has finished. A replica that is still loading needs none.
func (o *Owner) readyToUnload(now time.Time, server *serverEntry, drain *drain, phase outside.ReplicaPhase, running int) bool {
	switch {
	case phase == outside.ReplicaUnloading:
		return false
	case phase == outside.ReplicaLoading, !o.config.Mechanisms.DrainBeforeUnload:
		return true
	}
	o.applyDrainTimeout(now, server, drain)
	return drain.finished(now, o.settlePeriod(now, server, drain), server.stateRequestedAt, running)
}

// orderUnload adds the replica's unload command to those of the server.
func (o *Owner) orderUnload(server *serverEntry, entry *replicaEntry) {
	entry.drain.unloadOrdered = true
	server.commands = append(server.commands, outside.Command{
		Kind: outside.CommandUnloadModel, Model: entry.Model, Version: entry.Version,
		Slot: entry.Slot, Attempt: entry.Attempt,
	})
}

// releaseEarly frees the slots of ordered unloads at once, if ReleaseSlotOnConfirmation is off.
func (o *Owner) releaseEarly(server *serverEntry) {
	if o.config.Mechanisms.ReleaseSlotOnConfirmation {
		return
	}
	kept := server.replicas[:0]
	for _, entry := range server.replicas {
		if entry.drain == nil || !entry.drain.unloadOrdered {
			kept = append(kept, entry)
		}
	}
	server.replicas = kept
}
