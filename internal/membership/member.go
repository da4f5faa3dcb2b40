// Package membership tracks the live nodes of the cluster, by leases or by
// heartbeats, and the ownership of cells, by compare-and-swap in the key-value
// service.
package membership

// Member describes one incarnation of a node.
type Member struct {
	// Name is the node's name; it is unique among live nodes.
	Name string
	// Incarnation identifies one start of the node's process.
	Incarnation string
	Zone        string
	Region      string
	// PeerAddress is where the node receives messages of its peers.
	PeerAddress string
	// CallerAddress is where the node serves callers and the administration API.
	CallerAddress string
	// Draining: the node completes its work and takes no new roles.
	Draining bool
}

// ID returns the member's name and incarnation, joined by "#".
func (m Member) ID() string { return m.Name + "#" + m.Incarnation }

// View gives read access to this node's view of the members. It is safe for
// concurrent use.
type View interface {
	// Self returns this node.
	Self() Member
	// Members returns the live members in order of name, including this node. The
	// slice must not be modified.
	Members() []Member
}

// Owner is the owner of a cell as last observed.
type Owner struct {
	Cell string
	// Epoch numbers the terms of ownership of the cell. It comes from the
	// key-value service and is used as the epoch of fences.
	Epoch  uint64
	Member Member
	// Vacant: the owner of this epoch has released the cell, and no other one has
	// acquired it yet.
	Vacant bool
}

// Ownership looks up the owners of cells.
type Ownership interface {
	// OwnerOf returns the last observed owner of a cell; false if none has been
	// observed.
	OwnerOf(cell string) (Owner, bool)
}

// CellRunner is notified of the cells that this node owns. Calls never overlap.
type CellRunner interface {
	// Acquired starts the work for a cell, at the epoch of the ownership.
	Acquired(cell string, epoch uint64)
	// Lost stops the work for a cell: this node handed it over or was replaced.
	Lost(cell string)
	// Release asks the runner to complete the orders in flight before the cell is
	// handed over. The runner calls released when it has.
	Release(cell string, released func())
}
