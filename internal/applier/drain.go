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
	// forRow needs the room.
	forRow string
	since  time.Time
	// sequence: updates above it tell of the drain.
	sequence uint64
	// waiting gateways have not acknowledged yet.
	waiting map[string]bool
	// wholeDelay: gateways that the owner before told of the model may not be
	// known here yet, so that acknowledgements prove nothing.
	wholeDelay bool
	// quietSince is when the last gateway acknowledged, or the drain delay
	// passed; zero before.
	quietSince time.Time
	// ordered: the unload was sent.
	ordered bool
}

// newDrain begins a drain that all gateways which know the model acknowledge.
func (o *Owner) newDrain(model, reason, forRow string, now time.Time) *drain {
	started := &drain{reason: reason, forRow: forRow, since: now, sequence: o.updateSequence, waiting: map[string]bool{}}
	for _, gateway := range o.gateways {
		if _, told := gateway.told[model]; told {
			started.waiting[gateway.id] = true
		}
	}
	started.wholeDelay = now.Sub(o.acquiredAt) < o.config.Intervals.Interest
	started.settle(now)
	o.changed[model] = true
	return started
}

// acknowledge notes that a gateway has an update of the model.
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

func (d *drain) acknowledge(gateway string, sequence uint64, now time.Time) {
	if d == nil || sequence <= d.sequence || !d.waiting[gateway] {
		return
	}
	delete(d.waiting, gateway)
	d.settle(now)
}

// settle notes when no gateway is waited for any more.
func (d *drain) settle(now time.Time) {
	if len(d.waiting) == 0 && !d.wholeDelay && d.quietSince.IsZero() {
		d.quietSince = now
	}
}

// reorder notes an engine's phase after all orders were settled: an unload that
// was sent and did not take effect is to be sent again.
func (d *drain) reorder(phase outside.ReplicaPhase) {
	if d != nil && phase != outside.ReplicaUnloading {
		d.ordered = false
	}
}

// finished reports whether no gateway sends new work any more and the engine,
// asked late enough, has none left.
func (d *drain) finished(now time.Time, settle time.Duration, requestedAt time.Time, running int) bool {
	if d.quietSince.IsZero() {
		return false
	}
	if running > 0 {
		if len(d.waiting) > 0 || d.wholeDelay {
			// A gateway that did not acknowledge still sends: wait for quiet.
			d.quietSince = now
		}
		return false
	}
	return !requestedAt.Before(d.quietSince.Add(settle))
}

// settleTime is how long after the last acknowledgement requests may be under
// way. An unload that no row waits for, on a machine that stays long enough,
// takes the time that late messages need.
func (o *Owner) settleTime(now time.Time, server *serverEntry, d *drain) time.Duration {
	leavesSoon := server.leaving() && server.machine.LeavesAt.Sub(now) < leavesSoonLimit
	if d.forRow == "" && !leavesSoon {
		return o.config.Intervals.DrainSettleIdle
	}
	return o.config.Intervals.DrainSettle
}

// leavesSoonLimit is the time left to a leaving machine below which its drains
// are pressed. A machine whose end is not told counts as leaving soon.
const leavesSoonLimit = 30 * time.Second

// stopWaiting ends the wait for gateways that can't be told. Members that live
// may be cut off from here and not from the engine, so they are waited for
// longer, unless the machine leaves, which the machine list tells them as well.
func (o *Owner) stopWaiting(now time.Time, server *serverEntry, d *drain) {
	waited := now.Sub(d.since)
	if !d.quietSince.IsZero() || waited < o.config.Intervals.DrainDelay {
		return
	}
	// An owner before that was cut off may go on as a gateway for a while.
	patient := o.waitsForMember(d) || (d.wholeDelay && d.forRow == "")
	if server.leaving() || waited >= o.config.Intervals.DrainUntold || !patient {
		d.quietSince = now
	}
}

func (o *Owner) waitsForMember(d *drain) bool {
	return slices.ContainsFunc(o.members, func(member membership.Member) bool { return d.waiting[member.ID()] })
}

// advanceDrains orders the unloads whose drains have finished.
func (o *Owner) advanceDrains(now time.Time) {
	for _, server := range o.servers {
		if server.outstanding || !server.usable() {
			continue
		}
		for _, entry := range server.replicas {
			o.advanceReplica(now, server, entry)
		}
		o.releaseEarly(server)
	}
}

func (o *Owner) advanceReplica(now time.Time, server *serverEntry, entry *replicaEntry) {
	running := entry.Running + entry.Queued
	if entry.drain != nil {
		if !entry.drain.ordered && o.mayUnload(now, server, entry.drain, entry.Phase, running) {
			o.orderUnload(server, entry)
		}
		return
	}
	for _, adapter := range entry.adapters {
		if adapter.drain == nil || adapter.drain.ordered || !o.mayUnload(now, server, adapter.drain, adapter.Phase, running) {
			continue
		}
		adapter.drain.ordered = true
		server.commands = append(server.commands, outside.Command{
			Kind: outside.CommandUnloadAdapter, Model: entry.Model, Version: adapter.Version,
			Adapter: adapter.Adapter, Slot: entry.Slot, Attempt: adapter.Attempt,
		})
	}
}

func (o *Owner) mayUnload(now time.Time, server *serverEntry, drain *drain, phase outside.ReplicaPhase, running int) bool {
	switch {
	case phase == outside.ReplicaUnloading:
		return false
	case phase == outside.ReplicaLoading, !o.config.Mechanisms.DrainBeforeUnload:
		return true
	}
	o.stopWaiting(now, server, drain)
	return drain.finished(now, o.settleTime(now, server, drain), server.requestedAt, running)
}

func (o *Owner) orderUnload(server *serverEntry, entry *replicaEntry) {
	entry.drain.ordered = true
	server.commands = append(server.commands, outside.Command{
		Kind: outside.CommandUnloadModel, Model: entry.Model, Version: entry.Version,
		Slot: entry.Slot, Attempt: entry.Attempt,
	})
}

// releaseEarly is what happens without the ReleaseSlotOnConfirmation mechanism.
func (o *Owner) releaseEarly(server *serverEntry) {
	if o.config.Mechanisms.ReleaseSlotOnConfirmation {
		return
	}
	kept := server.replicas[:0]
	for _, entry := range server.replicas {
		if entry.drain == nil || !entry.drain.ordered {
			kept = append(kept, entry)
		}
	}
	server.replicas = kept
}
