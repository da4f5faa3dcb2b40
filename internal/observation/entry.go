package observation

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// entry is what is known of one incarnation of a server.
type entry struct {
	server fleet.Incarnation
	// newest is the time of the newest observation.
	newest time.Time

	load     Load
	loadAt   time.Time
	loadFrom origin
	// loadVersion is the table's version at which the load was stored.
	loadVersion uint64

	// reachVersion is the table's version at which it was last announced whether the server is
	// reachable, and announcedAt the time of that observation. announcedUnreachable is set if it
	// was unreachable. suspicionAt is when other nodes were last told so.
	reachVersion             uint64
	announcedAt, suspicionAt time.Time
	announcedUnreachable     bool

	// unreachableAt and reachableAt are the times of the newest observations that the server is
	// unreachable or answered. unreachableFrom and reachableFrom are who made them.
	unreachableAt, reachableAt     time.Time
	unreachableFrom, reachableFrom origin
	// toldUnreachableAt is the time of the newest observation of another node that the server is
	// unreachable. suspectedSince is when this node received the suspicion; zero if none is
	// known to be in force.
	toldUnreachableAt, suspectedSince time.Time
	// mistrusted are the nodes whose suspicion another node's observation ended, and when.
	mistrusted map[string]time.Time
}

// origin is where an observation is from; the zero value is this node.
type origin struct {
	// node is the address of the node that sent it.
	node string
	// forwarded is set if the order holder sent it, which is never sent on.
	forwarded bool
}

// local reports whether this node made the observation.
func (o origin) local() bool { return o.node == "" }

// matches reports whether a statement about the incarnation may be answered from the entry. If only
// one of the two has a start time, they may be the same incarnation.
func (e *entry) matches(server fleet.Incarnation) bool {
	return !server.Follows(e.server) && !e.server.Follows(server)
}

func (e *entry) loadInForce(now time.Time) bool {
	return !e.loadAt.IsZero() && now.Sub(e.loadAt) < LoadLifetime
}

// sharesLoad reports whether the load is in force, and the order holder sends it to nodes.
func (e *entry) sharesLoad(nodes int, now time.Time) bool {
	return e.loadInForce(now) && !e.loadFrom.forwarded && SharesLoads(e.load.Slots, nodes)
}

// copyLoad copies the load to an observation.
func (e *entry) copyLoad(observed *Observation, now time.Time) {
	observed.LoadKnown, observed.Load, observed.LoadAge = true, e.load, now.Sub(e.loadAt)
	observed.Load.Slowdown = RoundForMessage(e.load.Slowdown)
}

// reachFrom returns who made the newest observation of whether the server is reachable.
func (e *entry) reachFrom() origin {
	if e.unreachableAt.After(e.reachableAt) {
		return e.unreachableFrom
	}
	return e.reachableFrom
}

// reachAt returns the time of the newest observation of whether the server is reachable.
func (e *entry) reachAt() time.Time {
	if e.unreachableAt.After(e.reachableAt) {
		return e.unreachableAt
	}
	return e.reachableAt
}

// unreachable reports whether the newest observation in force is that the server is unreachable,
// whichever node made it.
func (e *entry) unreachable(now time.Time) bool {
	return e.unreachableAt.After(e.reachableAt) && now.Sub(e.unreachableAt) < SuspicionLifetime
}

// suspectedAt reports whether another node's observation that the server is unreachable is in
// force.
func (e *entry) suspectedAt(now time.Time) bool {
	return e.toldUnreachableAt.After(e.reachableAt) && now.Sub(e.toldUnreachableAt) < SuspicionLifetime
}

// setLoad stores a load unless a newer one is stored. It must be called with the lock held.
func (t *Table) setLoad(found *entry, load Load, at time.Time, from origin) {
	if !found.loadAt.IsZero() && !at.After(found.loadAt) {
		return
	}
	t.version++
	found.load, found.loadAt, found.loadFrom, found.loadVersion = load, at, from, t.version
	found.renew(at)
	if at.After(t.loadAt) {
		t.loadAt = at
	}
	if load.Slots > 0 && (t.fewestSlots == 0 || load.Slots < t.fewestSlots) {
		t.fewestSlots = load.Slots
	}
}

// setUnreachable stores that the server was unreachable at a time. It must be called with the lock
// held.
func (t *Table) setUnreachable(found *entry, at, now time.Time, from origin) {
	if found.mistrusts(from, now) {
		return
	}
	if !at.After(found.reachableAt) {
		if from.forwarded {
			// Other nodes suspect a server that was reached since.
			found.suspicionAt = now
		}
		if from.forwarded && found.reachableFrom.local() {
			t.announceReach(found, false, found.reachableAt, found.reachableFrom)
		}
		return
	}
	if !from.local() && at.After(found.toldUnreachableAt) {
		wasSuspected := found.suspectedAt(now)
		if !wasSuspected {
			t.endSuspicion(found, EndExpired, "", now)
		}
		found.toldUnreachableAt = at
		if !wasSuspected && found.suspectedAt(now) {
			found.suspectedSince = now
			t.changes = append(t.changes, Suspicion{Server: found.server, Begun: true, ToldBy: from.node})
		}
	}
	if !at.After(found.unreachableAt) {
		return
	}
	changed := !found.unreachable(now)
	found.unreachableAt, found.unreachableFrom = at, from
	found.renew(at)
	if changed || at.Sub(found.announcedAt) >= renewalPeriod {
		t.announceReach(found, true, at, from)
	}
}

// setReachable stores that the server answered at a time. It must be called with the lock held.
func (t *Table) setReachable(found *entry, at, now time.Time, from origin) {
	if !at.After(found.reachableAt) {
		return
	}
	changed := found.contradicts(at, now)
	if changed {
		found.mistrust(found.unreachableFrom, from, now)
	}
	wasSuspected := found.suspectedAt(now)
	found.reachableAt, found.reachableFrom = at, from
	found.renew(at)
	if wasSuspected && !found.suspectedAt(now) {
		t.endSuspicion(found, EndReached, from.node, now)
	}
	if changed {
		t.announceReach(found, false, at, from)
	}
}

// contradicts reports whether other nodes may suspect a server that answered at a time. They may do
// so after they were told of an earlier answer, if the messages about it took less time than those of
// the suspicion.
func (e *entry) contradicts(at, now time.Time) bool {
	if at.Before(e.unreachableAt) || now.Sub(e.suspicionAt) >= SuspicionLifetime {
		return false
	}
	return e.announcedUnreachable || at.Sub(e.announcedAt) >= answerPause
}

// announceReach marks whether the server is reachable as to be sent. It must be called with the
// lock held.
func (t *Table) announceReach(found *entry, unreachable bool, at time.Time, from origin) {
	t.version++
	found.reachVersion, t.reachVersion = t.version, t.version
	found.announcedUnreachable, found.announcedAt = unreachable, at
	if unreachable {
		found.suspicionAt = at
	}
	if !from.local() {
		return
	}
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// endSuspicion notes the end of a suspicion if one was in force. It must be called with the lock
// held.
func (t *Table) endSuspicion(found *entry, reason EndReason, toldBy string, now time.Time) {
	if found.suspectedSince.IsZero() {
		return
	}
	t.changes = append(t.changes, Suspicion{Server: found.server, Reason: reason, ToldBy: toldBy, Lasted: now.Sub(found.suspectedSince)})
	found.suspectedSince = time.Time{}
}

// mistrust records that another node reached the server that a reporting node found unreachable.
func (e *entry) mistrust(reporter, reached origin, now time.Time) {
	if reporter.local() || reporter.forwarded || reporter == reached {
		return
	}
	if e.mistrusted == nil {
		e.mistrusted = map[string]time.Time{}
	}
	e.mistrusted[reporter.node] = now
}

// mistrusts reports whether a node is not believed that the server is unreachable.
func (e *entry) mistrusts(from origin, now time.Time) bool {
	since, found := e.mistrusted[from.node]
	return found && !from.forwarded && now.Sub(since) < mistrustTime
}

func (e *entry) renew(at time.Time) {
	if at.After(e.newest) {
		e.newest = at
	}
}
