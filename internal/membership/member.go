// Package membership knows which nodes are alive and which of them owns which
// cell, by leases and compare-and-swap in the key-value service.
package membership

// Member is one node.
type Member struct {
	// Name of the node; unique among live nodes.
	Name string
	// Incarnation tells one start of the node from the next.
	Incarnation string
	Zone        string
	Region      string
	// PeerAddress receives peer messages.
	PeerAddress string
	// CallerAddress serves callers and administration.
	CallerAddress string
	// Draining nodes finish their work and take no new roles.
	Draining bool
}

// ID returns the member's name and incarnation in one word.
func (m Member) ID() string { return m.Name + "#" + m.Incarnation }

// View is read access to the members known here; safe for concurrent use.
type View interface {
	// Self is this node.
	Self() Member
	// Members returns the live members in order of name, self included. The
	// slice must not be changed.
	Members() []Member
}

// Owner is the owner of a cell as last known.
type Owner struct {
	Cell string
	// Epoch of the ownership, from the key-value service; the fence's epoch.
	Epoch  uint64
	Member Member
	// Vacant: the epoch's owner stepped down.
	Vacant bool
}

// Ownership tells who owns the cells.
type Ownership interface {
	// OwnerOf returns the newest known owner of a cell.
	OwnerOf(cell string) (Owner, bool)
}

// CellRunner is told which cells this node owns. Calls come one at a time.
type CellRunner interface {
	// Acquired starts the work of a cell at an epoch.
	Acquired(cell string, epoch uint64)
	// Lost ends the work of a cell: the owner has stepped down or was replaced.
	Lost(cell string)
	// Release asks the runner to finish orders in flight before the ownership
	// is given away; released is called when it has.
	Release(cell string, released func())
}
