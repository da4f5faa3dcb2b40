package planner

import (
	"sort"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// placedReplica is a replica with its server and the cost of unloading it.
type placedReplica struct {
	server  int
	replica *Replica
	cost    float64
}

// retire unloads replicas independently of other rows' need for memory: those of removed
// rows, on leaving servers, beyond the maximum, of old versions, and idle ones.
func (w *workspace) retire() {
	staying := make([][]placedReplica, len(w.rows))
	for i := range w.snapshot.Servers {
		server := &w.snapshot.Servers[i]
		for r := range server.Replicas {
			w.retireReplica(i, &server.Replicas[r], staying)
		}
	}
	for i := range w.rows {
		if w.snapshot.Rows[i].Kind == table.KindModel {
			w.retireRow(i, staying[i])
		}
	}
}

// retireReplica unloads a replica of a removed row or on a leaving server; others it adds to
// the staying replicas of their row.
func (w *workspace) retireReplica(i int, replica *Replica, staying [][]placedReplica) {
	server := &w.snapshot.Servers[i]
	if !server.Usable || replica.Phase == outside.ReplicaUnloading || replica.UnloadOrdered {
		return
	}
	at, known := w.index[replica.Model]
	switch {
	case !known || w.snapshot.Rows[at].Kind != table.KindModel:
		w.unload(i, replica, ReasonRowRemoved, "")
	case server.Leaving:
		w.unload(i, replica, ReasonServerLeaving, "")
	default:
		staying[at] = append(staying[at], placedReplica{server: i, replica: replica})
	}
}

// retireRow resumes and unloads replicas of one row.
func (w *workspace) retireRow(i int, replicas []placedReplica) {
	w.resume(i, replicas)
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	live := replicas[:0:0]
	for _, placed := range replicas {
		if placed.replica.Draining {
			continue
		}
		placed.cost = w.policy.victimCost(w, placed.server, placed.replica, i)
		live = append(live, placed)
	}
	sort.SliceStable(live, func(a, b int) bool { return w.unloadsBefore(row, live[a], live[b]) })
	over := work.held - row.Max
	over -= work.unloading + work.leaving
	live = w.retireCount(i, live, over, ReasonOverMaximum, false)
	live = w.retireOutdated(i, live)
	idle := work.current + work.outdated - work.desired
	w.retireCount(i, live, idle, ReasonIdle, true)
}

// unloadsBefore orders a row's replicas for unloading: old versions first, then replicas that
// are not ready, then those with the fewest running requests, then the cheapest; ties are broken
// by server.
func (w *workspace) unloadsBefore(row *Row, a, b placedReplica) bool {
	oldA, oldB := a.replica.Version != row.Version, b.replica.Version != row.Version
	if oldA != oldB {
		return oldA
	}
	loadingA, loadingB := a.replica.Phase != outside.ReplicaReady, b.replica.Phase != outside.ReplicaReady
	if loadingA != loadingB {
		return loadingA
	}
	if a.replica.Running != b.replica.Running {
		return a.replica.Running < b.replica.Running
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.server < b.server
}

// retireCount unloads up to count replicas, of which only idle ones if idleOnly is set, and
// returns the others.
func (w *workspace) retireCount(i int, live []placedReplica, count int, reason Reason, idleOnly bool) []placedReplica {
	rest := live[:0:0]
	for _, placed := range live {
		busy := placed.replica.Running > 0 || placed.replica.Phase != outside.ReplicaReady
		if count <= 0 || (idleOnly && busy) {
			rest = append(rest, placed)
			continue
		}
		count--
		w.unload(placed.server, placed.replica, reason, "")
		w.countUnload(i, placed.replica)
	}
	return rest
}

// countUnload updates the row's counts for a replica that this plan unloads.
func (w *workspace) countUnload(i int, replica *Replica) {
	work := &w.rows[i]
	ready := replica.Phase == outside.ReplicaReady
	work.unloading++
	if replica.Version == w.snapshot.Rows[i].Version {
		work.current--
		if ready {
			work.ready--
		}
		return
	}
	work.outdated--
	if ready {
		work.outdatedReady--
	}
}

// retireOutdated unloads replicas of old versions one at a time: the next one if enough
// others are ready, or if its slot is needed for the new version.
func (w *workspace) retireOutdated(i int, live []placedReplica) []placedReplica {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	if work.outdated == 0 || work.unloading > 0 {
		return live
	}
	enough := work.ready+work.outdatedReady > max(1, work.desired)
	loading := work.current > work.ready
	blocked := !loading && work.held+w.snapshot.UnknownServers >= row.Max
	if !enough && !blocked {
		return live
	}
	for at, placed := range live {
		if placed.replica.Version != row.Version {
			w.unload(placed.server, placed.replica, ReasonVersionChange, "")
			w.countUnload(i, placed.replica)
			return append(live[:at:at], live[at+1:]...)
		}
	}
	return live
}

// resume ends the draining of replicas that the row needs again.
func (w *workspace) resume(i int, replicas []placedReplica) {
	row, work := &w.snapshot.Rows[i], &w.rows[i]
	for _, placed := range replicas {
		replica := placed.replica
		wanted := work.current < work.desired && work.current+work.outdated < row.Max && work.demand.Load() > 0
		if !wanted || !replica.Draining || replica.Version != row.Version || replica.Phase != outside.ReplicaReady {
			continue
		}
		server := &w.snapshot.Servers[placed.server]
		w.decide(Decision{
			Action: ActionResume, Reason: ReasonNeededAgain, Server: server.ID,
			Model: replica.Model, Version: replica.Version, Slot: replica.Slot, Attempt: replica.Attempt,
		})
		work.unloading--
		work.current++
		work.ready++
		w.servers[placed.server].freeing -= replica.memory()
	}
}

// unload adds the decision to unload a replica, unless its unload was decided before.
func (w *workspace) unload(i int, replica *Replica, reason Reason, forRow string) {
	if replica.Draining || replica.UnloadOrdered || replica.Phase == outside.ReplicaUnloading {
		return
	}
	w.decide(Decision{
		Action: ActionUnload, Reason: reason, Server: w.snapshot.Servers[i].ID, Model: replica.Model,
		Version: replica.Version, Slot: replica.Slot, Attempt: replica.Attempt, For: forRow,
	})
	w.servers[i].freeing += replica.memory()
}
