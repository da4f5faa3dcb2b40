// Package table holds the operators' table: its rows, their validation, the
// revisions it goes through and the deltas between them.
package table

import "time"

// Kind says what a row describes.
type Kind string

// The kinds of row.
const (
	// KindModel is a base model with its own weights.
	KindModel Kind = "model"
	// KindAdapter is a small set of weights on top of a base model.
	KindAdapter Kind = "adapter"
)

// Row is one model or adapter as the operators describe it. A row is immutable
// once it is part of a revision.
type Row struct {
	// Name identifies the row and is what callers put in "model".
	Name string
	Kind Kind
	// Base names the row of the base model; only for adapters.
	Base string
	// Version of the weights; a change replaces replicas one by one.
	Version string
	// WeightBytes is the size of the weights in bytes.
	WeightBytes int64
	// Tenant owns the row.
	Tenant string
	// Priority from 0 (lowest) to 9; used when a request names none.
	Priority int
	// Weight is the tenant-visible share when capacity is short; at least 1.
	Weight int
	// MinReplicas are kept loaded always. Adapters: replicas of the base that
	// hold the adapter.
	MinReplicas int
	// MaxReplicas is the hard limit on loaded replicas; 0 disables the row.
	MaxReplicas int
	// MemoryBytes is the limit on one replica's memory, weights and KV cache
	// together, in bytes. For adapters: the adapter's memory.
	MemoryBytes int64
	// TimeLimit is the longest time limit a caller may ask for, and the
	// default.
	TimeLimit time.Duration
	// Repeatable says whether an attempt with unknown outcome may be repeated.
	Repeatable bool
}

// Revision numbers the table's states; it only grows. 0 is the empty table.
type Revision int64

// Delta is the difference between two revisions.
type Delta struct {
	From, To Revision
	// Changed rows, in order of name.
	Changed []Row
	// Removed names, in order.
	Removed []string
}

// View is read access to the newest table known here. Implementations are safe
// for concurrent use and never go back in revision.
type View interface {
	// Row returns the row of that name.
	Row(name string) (Row, bool)
	// Rows returns all rows in order of name. The slice must not be changed.
	Rows() []Row
	// Revision returns the revision the rows belong to.
	Revision() Revision
}
