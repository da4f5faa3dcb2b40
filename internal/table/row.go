// Package table defines the table in which operators configure models and
// adapters: its rows, file formats, validation, merging, and the revisions of
// the table with the deltas between them.
package table

import "time"

// Kind is the kind of a row.
type Kind string

// Kinds of rows.
const (
	// KindModel is a base model with its own weights.
	KindModel Kind = "model"
	// KindAdapter is a small set of additional weights for a base model.
	KindAdapter Kind = "adapter"
)

// Row is the configuration of one model or adapter. A row is immutable once it
// is part of a revision.
type Row struct {
	// Name identifies the row; callers pass it as "model".
	Name string
	Kind Kind
	// Base is the name of the base model's row; only for adapters.
	Base string
	// Version of the weights. After a change, replicas are replaced one by one.
	Version string
	// WeightBytes is the size of the weights in bytes.
	WeightBytes int64
	// Tenant is the name of the tenant that owns the row.
	Tenant string
	// Priority from 0 (lowest) to 9 of requests that state none.
	Priority int
	// Weight is the tenant-visible share when capacity is short; at least 1.
	Weight int
	// MinReplicas is the number of replicas that are always kept loaded; for
	// adapters, of replicas of the base that have the adapter loaded.
	MinReplicas int
	// MaxReplicas is the hard limit on loaded replicas; 0 disables the row.
	MaxReplicas int
	// MemoryBytes is the memory limit of one replica for weights and KV cache
	// together, in bytes; for adapters, the memory of the adapter.
	MemoryBytes int64
	// TimeLimit is the longest time limit that a caller may request, and the
	// default.
	TimeLimit time.Duration
	// Repeatable is true if an attempt with unknown outcome may be repeated.
	Repeatable bool
}

// Revision is the number of a state of the table. It only increases; 0 is the
// empty table.
type Revision int64

// Delta is the difference between two revisions.
type Delta struct {
	From, To Revision
	// Changed are the rows added or changed, in order of name.
	Changed []Row
	// Removed are the names of the rows removed, in order.
	Removed []string
}

// View is read access to a node's newest table. Implementations are safe for
// concurrent use, and their revision never decreases.
type View interface {
	// Row returns the row with the name, and whether there is one.
	Row(name string) (Row, bool)
	// Rows returns all rows in order of name. The slice must not be modified.
	Rows() []Row
	// Revision returns the revision of the rows.
	Revision() Revision
}
