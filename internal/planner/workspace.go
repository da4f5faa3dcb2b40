package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// workspace is the working state of one Plan call.
type workspace struct {
	policy   *policy
	snapshot *Snapshot
	index    map[string]int
	bases    []int
	// rows and servers are parallel to the snapshot's.
	rows    []rowWork
	servers []serverWork
	// remoteStarts that are left in this plan.
	remoteStarts int
	// largest memory of a server in bytes.
	largest int64
	// best source of each row's checkpoint in the cell; nil until asked for.
	best []outside.CheckpointSource
	// expected rows are foreseen to be called soon; nil if none.
	expected []bool
	// evicted replicas make room by this plan.
	evicted map[*Replica]bool
	// adapterTotals is the memory of all of each base model's adapters.
	adapterTotals []int64
	// adapterNeeds is the memory of each base model's waiting adapters.
	adapterNeeds []int64
	loads        []decidedLoad
	plan         Plan
}

// rowWork is the state of one row; adapters and base models alike.
type rowWork struct {
	// demand of the row; of a base model with its adapters' demand.
	demand Demand
	// held slots in any phase, and the adapter's holders for adapter rows.
	held int
	// current replicas are loading or ready, stay, and have the row's version;
	// ready counts those of them that can serve.
	current, ready int
	// outdated replicas stay but have another version.
	outdated, outdatedReady int
	// draining or unloading replicas.
	ending int
	// leaving replicas are on servers that go or do not answer.
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

// serverWork is the memory of one server.
type serverWork struct {
	// free bytes now, less what this plan loads.
	free int64
	// freeing bytes will be given back by unloads under way.
	freeing int64
	// loading counts the loads under way by source; those from one disk share
	// its speed.
	loading [3]int
	// reserved bytes of the free ones are wanted for adapters of the replicas
	// here; only when nothing else is left are models loaded into them.
	reserved int64
	// placed models of this plan.
	placed []string
}

func newWorkspace(p *policy, snapshot *Snapshot) *workspace {
	index := snapshot.rowIndex()
	w := &workspace{
		policy: p, snapshot: snapshot, index: index.byName, bases: index.bases,
		rows:    make([]rowWork, len(snapshot.Rows)),
		servers: make([]serverWork, len(snapshot.Servers)),
	}
	w.sumDemand()
	w.sumAdapterTotals()
	for i := range snapshot.Servers {
		w.countServer(i)
	}
	w.remoteStarts = w.remoteStartsLeft()
	w.largest = w.largestServer()
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

// earlier returns the earlier of two times, where zero means none.
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
		row.ending++
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

// memory of the replica with its adapters.
func (r *Replica) memory() int64 {
	memory := r.MemoryBytes
	for i := range r.Adapters {
		memory += r.Adapters[i].MemoryBytes
	}
	return memory
}

// remoteStartsLeft is how many loads from the remote store may begin now.
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
