// Package cells divides servers and models into cells. A cell is a group of
// servers with one owner at a time; the owner is the only writer of the cell's
// memory ledger and replica slots.
package cells

import "github.com/hatchplank/hatchplank/internal/outside"

// Cell is a group of servers.
type Cell struct {
	Name   string
	Region string
	// Pools whose engines belong to the cell.
	Pools []string
	// Zones whose engines belong to the cell; empty: all.
	Zones []string
}

// Layout is the configured division into cells. It is the same on all nodes: its digest is kept in
// the key-value service, and a node with another layout does not start.
type Layout struct {
	Cells []Cell
}

// Allotment is a cell's share of a row's replicas. The shares of a row add up to the row's limits,
// so cells need not coordinate with each other.
type Allotment struct {
	Cell        string
	MinReplicas int
	MaxReplicas int
	// FirstSlot is the number of the first replica slot of the row in the cell.
	FirstSlot outside.SlotID
}
