// Package planner decides which models are loaded on which servers of a cell. A policy is
// a pure function from a snapshot of the cell to a plan; the Verifier checks separately the
// rules that no policy may break.
package planner

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Snapshot is the state of one cell at one time, on which a plan depends. Slices are sorted
// by name or ID; a policy does not modify it.
type Snapshot struct {
	Now      time.Time
	Revision table.Revision
	// Rows in order of name.
	Rows []Row
	// Index of Rows, which can be built once for a table revision; if nil it is built for
	// each plan.
	Index *RowIndex
	// Servers in order of ID, adopted or not.
	Servers []Server
	// UnknownServers counts servers that may each hold one replica of every model: they have
	// not reported since the owner acquired the cell, and may still be running.
	UnknownServers int
	Store          Store
	// Statistics may be nil.
	Statistics *Statistics
}

// Row is a table row with the cell's share of its limits and its demand.
type Row struct {
	table.Row
	// Min and Max bound the row's replicas in the cell; its slots are the Max slots from
	// FirstSlot on.
	Min, Max  int
	FirstSlot outside.SlotID
	Demand    Demand
}

// Demand is the demand for a row, summed over the gateways.
type Demand struct {
	// Waiting counts waiting requests.
	Waiting int
	// OldestWait is when the oldest waiting request arrived. Like EarliestDeadline it is zero
	// if none waits.
	OldestWait       time.Time
	EarliestDeadline time.Time
	HighestPriority  int
	// Running counts requests that are being served.
	Running int
	// ArrivalsPerSecond is the recent arrival rate.
	ArrivalsPerSecond float64
	LastArrival       time.Time
}

// Load returns the number of requests that wait or run.
func (d Demand) Load() int { return d.Waiting + d.Running }

// Server is one engine of the cell.
type Server struct {
	ID   outside.ServerID
	Zone string
	// MemoryBytes is the server's memory, CommittedBytes what the ledger has committed of it.
	MemoryBytes, CommittedBytes int64
	// MaxBatch is how many requests one replica runs at once; 0 if not reported.
	MaxBatch int
	// Usable servers were adopted by this owner and answer.
	Usable bool
	// Unreachable servers have not answered for a while: their replicas count as held, but
	// not as serving.
	Unreachable bool
	// Leaving servers will be shut down and get no new replicas.
	Leaving bool
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

// Replica is a model on a server. It holds a slot from the order to load it until its unload is
// confirmed.
type Replica struct {
	Model   string
	Version string
	Slot    outside.SlotID
	Attempt outside.AttemptID
	// Phase is ReplicaLoading also while the outcome of the order is unknown.
	Phase outside.ReplicaPhase
	// Draining replicas get no new work; for UnloadOrdered ones the unload was sent.
	Draining, UnloadOrdered bool
	// Running counts the requests that run on the replica.
	Running     int
	MemoryBytes int64
	Source      outside.CheckpointSource
	// Since is when the phase began; ReadyAt estimates when a load ends.
	Since, ReadyAt time.Time
	// Adapters in order of name.
	Adapters []Adapter
}

// Adapter is an adapter on a replica.
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
	// Known is false if the store's status was never read.
	Known bool
	outside.WeightStoreStatus
	// InFlight counts the remote loads of this cell that are under way.
	InFlight int
	// Starts is how many loads the store's rate allows this cell to start now.
	Starts int
}

// RowIndex finds rows by name.
type RowIndex struct {
	byName map[string]int
	// bases[i] is the index of the base of adapter row i, else -1.
	bases []int
}

// IndexRows returns the index of rows, which are in order of name.
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

// rowIndex returns the snapshot's index, or builds one if it has none.
func (s *Snapshot) rowIndex() *RowIndex {
	if s.Index != nil {
		return s.Index
	}
	return IndexRows(s.Rows)
}
