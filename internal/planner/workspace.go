package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// workspace is the state of one Plan call.
type workspace struct {
	policy   *policy
	snapshot *Snapshot
	index    map[string]int
	bases    []int
	// rows and servers are parallel to the snapshot's.
	rows    []rowState
	servers []serverState
	// remoteStarts is how many more loads from the weight store this plan may start.
	remoteStarts int
	// largestMemory is the memory of the largest server in bytes.
	largestMemory int64
	// fastestSources is the fastest source of each row's checkpoint in the cell; nil until
	// it is needed.
	fastestSources []outside.CheckpointSource
	// expectedRows is set for rows that are expected to be called soon; it may be nil.
	expectedRows []bool
	// evicted replicas are unloaded by this plan to free memory.
	evicted map[*Replica]bool
	// adapterMemory is the memory of all adapters of each base model in bytes.
	adapterMemory []int64
	// waitingAdapterMemories is that of the adapters with waiting requests; nil until it is
	// needed.
	waitingAdapterMemories []int64
	loads                  []decidedLoad
	plan                   Plan
}

// rowState is the state of one row, of a base model or an adapter.
type rowState struct {
	// demand for the row; for a base model with that for its adapters.
	demand Demand
	// held counts the row's replicas in any phase, or the replicas that hold the adapter.
	held int
	// current replicas are loading or ready, stay, and have the row's version; ready counts
	// those of them that can serve.
	current, ready int
	// outdated replicas stay but have another version; outdatedReady counts those of them
	// that can serve.
	outdated, outdatedReady int
	// unloading replicas are draining or being unloaded.
	unloading int
	// leaving replicas are on servers that are leaving or unreachable.
	leaving int
	// adapterMin is the largest minimum of the base model's adapters.
	adapterMin int
	desired    int
	// newestSince is when a current replica last changed its phase.
	newestSince time.Time
	reason      Reason
	readyAt     time.Time
	refused     string
	slots       map[outside.SlotID]bool
}

// serverState is the state of one server's memory.
type serverState struct {
	// free is the free memory in bytes, less what this plan loads.
	free int64
	// freeing is the memory in bytes that unloads under way will free.
	freeing int64
	// loading counts the loads under way by source; loads from one disk share its
	// throughput.
	loading [3]int
	// reserved is the part of the free memory, in bytes, that is kept for adapters of the
	// server's replicas. Models are loaded into it only if there is no other option.
	reserved int64
	// placed rows are loaded here by this plan.
	placed []string
}

func newWorkspace(p *policy, snapshot *Snapshot) *workspace {
	index := snapshot.rowIndex()
	w := &workspace{
		policy: p, snapshot: snapshot, index: index.byName, bases: index.bases,
		rows:    make([]rowState, len(snapshot.Rows)),
		servers: make([]serverState, len(snapshot.Servers)),
	}
	w.sumDemand()
	w.sumAdapterMemory()
	for i := range snapshot.Servers {
		w.countServer(i)
	}
	w.remoteStarts = w.remoteStartsLeft()
	w.largestMemory = w.largestServer()
	return w
}

// sumDemand adds the demand of adapters to their base models.
func (w *workspace) sumDemand() {
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		w.rows[i].demand = mergeDemand(w.rows[i].demand, row.Demand)
		if base := w.bases[i]; base >= 0 {
			w.rows[base].adapterMin = max(w.rows[base].adapterMin, min(row.Min, row.Max))
			w.rows[base].demand = mergeDemand(w.rows[base].demand, row.Demand)
		}
	}
}

func mergeDemand(a, b Demand) Demand {
	a.Waiting += b.Waiting
	a.Running += b.Running
	a.ArrivalsPerSecond += b.ArrivalsPerSecond
	a.OldestWait = earlier(a.OldestWait, b.OldestWait)
	a.EarliestDeadline = earlier(a.EarliestDeadline, b.EarliestDeadline)
	a.HighestPriority = max(a.HighestPriority, b.HighestPriority)
	if b.LastArrival.After(a.LastArrival) {
		a.LastArrival = b.LastArrival
	}
	return a
}

// earlier returns the earlier of two times; a zero time stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (w *workspace) countServer(i int) {
	server := &w.snapshot.Servers[i]
	w.servers[i].free = server.MemoryBytes - server.CommittedBytes
	for r := range server.Replicas {
		replica := &server.Replicas[r]
		if replica.Draining || replica.Phase == outside.ReplicaUnloading {
			w.servers[i].freeing += replica.memory()
		}
		if replica.Phase == outside.ReplicaLoading {
			w.servers[i].loading[replica.Source]++
		}
		w.countReplica(server, replica)
		w.reserveForAdapters(i, replica)
		for a := range replica.Adapters {
			if at, known := w.index[replica.Adapters[a].Name]; known {
				w.rows[at].held++
			}
		}
	}
}

func (w *workspace) countReplica(server *Server, replica *Replica) {
	at, known := w.index[replica.Model]
	if !known {
		return
	}
	row := &w.rows[at]
	row.held++
	if row.slots == nil {
		row.slots = make(map[outside.SlotID]bool, 4)
	}
	row.slots[replica.Slot] = true
	ready := replica.Phase == outside.ReplicaReady
	switch {
	case replica.Draining || replica.Phase == outside.ReplicaUnloading:
		row.unloading++
		return
	case server.Leaving || server.Unreachable:
		row.leaving++
		return
	case replica.Version != w.snapshot.Rows[at].Version:
		row.outdated++
		if ready {
			row.outdatedReady++
		}
		return
	}
	row.current++
	if replica.Since.After(row.newestSince) {
		row.newestSince = replica.Since
	}
	if ready {
		row.ready++
	} else {
		row.readyAt = earlier(row.readyAt, replica.ReadyAt)
	}
}

// memory returns the memory of the replica and its adapters in bytes.
func (r *Replica) memory() int64 {
	memory := r.MemoryBytes
	for i := range r.Adapters {
		memory += r.Adapters[i].MemoryBytes
	}
	return memory
}

// remoteStartsLeft returns how many loads from the weight store may start now.
func (w *workspace) remoteStartsLeft() int {
	store := &w.snapshot.Store
	if !w.policy.limitRemote || !store.Known {
		return len(w.rows)
	}
	active := max(store.Active, store.InFlight)
	return max(0, min(store.FullSpeedLoads-active, store.Starts))
}

func (w *workspace) decide(decision Decision) {
	w.plan.Decisions = append(w.plan.Decisions, decision)
}

func (w *workspace) finish() Plan {
	for i := range w.rows {
		if w.snapshot.Rows[i].Kind != table.KindModel {
			continue
		}
		row := &w.rows[i]
		w.plan.Rows = append(w.plan.Rows, RowPlan{
			Model: w.snapshot.Rows[i].Name, Desired: row.desired, ReadyAt: row.readyAt, Refused: row.refused,
		})
	}
	return w.plan
}
