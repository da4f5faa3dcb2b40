// Package planner decides which models are loaded where. A policy is a pure
// function from a snapshot of one cell to a plan; the rules that no policy may
// break are checked apart, by the Verifier.
package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Snapshot is everything a policy knows of one cell at one moment. Slices are
// sorted by name or id; a policy changes nothing in it.
type Snapshot struct {
	Now      time.Time
	Revision table.Revision
	// Rows in order of name.
	Rows []Row
	// Index of Rows, to be made once a table revision; nil: made for each plan.
	Index *RowIndex
	// Servers in order of id, adopted or not.
	Servers []Server
	// UnknownServers may each hold one replica of every model: they were not
	// heard since the owner acquired the cell and are not known to be gone.
	UnknownServers int
	Store          Store
	// Statistics may be nil.
	Statistics *Statistics
}

// Row is a table row with the cell's part of its limits and its demand.
type Row struct {
	table.Row
	// Min, Max and FirstSlot are the cell's allotment.
	Min, Max  int
	FirstSlot outside.SlotID
	Demand    Demand
}

// Demand for a row, summed over the gateways.
type Demand struct {
	Waiting int
	// OldestWait and EarliestDeadline are zero when nothing waits.
	OldestWait       time.Time
	EarliestDeadline time.Time
	HighestPriority  int
	Running          int
	// ArrivalsPerSecond over the last seconds.
	ArrivalsPerSecond float64
	LastArrival       time.Time
}

// Load is the number of requests waiting or running.
func (d Demand) Load() int { return d.Waiting + d.Running }

// Server is one engine of the cell.
type Server struct {
	ID   outside.ServerID
	Zone string
	// MemoryBytes in total, and what the ledger has committed of it.
	MemoryBytes, CommittedBytes int64
	// MaxBatch is how many requests run at once on one replica.
	MaxBatch int
	// Usable servers were adopted by this owner and answer.
	Usable bool
	// Unreachable servers have not answered for a while: what they hold counts
	// as held, but not as serving.
	Unreachable bool
	Leaving     bool
	// Replicas in order of model.
	Replicas []Replica
	// Cached checkpoints in order of name.
	Cached []outside.CheckpointState
	// Backoffs of models whose load failed here, in order of model.
	Backoffs []Backoff
}

// Backoff forbids loading a model on a server until a time.
type Backoff struct {
	Model string
	Until time.Time
}

// Replica is one held slot, from the order to load it until its unload is
// confirmed.
type Replica struct {
	Model   string
	Version string
	Slot    outside.SlotID
	Attempt outside.AttemptID
	// Phase is ReplicaLoading also while the outcome of the order is unknown.
	Phase outside.ReplicaPhase
	// Draining replicas get no new work; UnloadOrdered ones have their unload sent.
	Draining, UnloadOrdered bool
	Running                 int
	MemoryBytes             int64
	Source                  outside.CheckpointSource
	// Since is when the phase was entered; ReadyAt estimates a load's end.
	Since, ReadyAt time.Time
	// Adapters in order of name.
	Adapters []Adapter
}

// Adapter is an adapter held on a replica.
type Adapter struct {
	Name        string
	Version     string
	Attempt     outside.AttemptID
	Phase       outside.ReplicaPhase
	Draining    bool
	MemoryBytes int64
}

// Store is the state of the weight store.
type Store struct {
	// Known is false when the store's status was never read.
	Known bool
	outside.WeightStoreStatus
	// InFlight remote loads of this cell.
	InFlight int
	// Starts that the store's rate allows this cell now.
	Starts int
}

// RowIndex finds rows by name.
type RowIndex struct {
	byName map[string]int
	// bases[i] is the index of the base of adapter row i, else -1.
	bases []int
}

// IndexRows makes the index of rows in order of name.
func IndexRows(rows []Row) *RowIndex {
	index := &RowIndex{byName: make(map[string]int, len(rows)), bases: make([]int, len(rows))}
	for i := range rows {
		index.byName[rows[i].Name] = i
	}
	for i := range rows {
		index.bases[i] = -1
		if base, known := index.byName[rows[i].Base]; known && rows[i].Kind == table.KindAdapter {
			index.bases[i] = base
		}
	}
	return index
}

// rowIndex returns the snapshot's index, made now if it has none.
func (s *Snapshot) rowIndex() *RowIndex {
	if s.Index != nil {
		return s.Index
	}
	return IndexRows(s.Rows)
}
