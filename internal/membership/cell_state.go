package membership

import "time"

// cellRole is what this node does for a cell.
type cellRole uint8

const (
	// roleNone: another node owns the cell, or nobody.
	roleNone cellRole = iota
	// roleOwner: this node runs the cell.
	roleOwner
	// roleProbing: still running; the record is read before the handover.
	roleProbing
	// roleReleasing: the runner finishes its orders.
	roleReleasing
	// roleVacating: the runner has finished; the record is being vacated.
	roleVacating
)

// cellState is what is known of one cell.
type cellState struct {
	name string
	key  string
	hash uint64

	// record as last written by anybody, and its ModRevision; 0: no record.
	record      ownerRecord
	modRevision int64

	winner winner
	role   cellRole
	// epoch held in every role but roleNone.
	epoch uint64
	// ownerSeen: the recorded owner was seen alive by this node.
	ownerSeen bool
	// ownerMissingSince is when the recorded owner was first seen missing.
	ownerMissingSince time.Time
	// otherWinnerSince is when another member first should own the cell.
	otherWinnerSince time.Time

	pending  *pendingWrite
	inFlight bool
	retry    backoff
	retryAt  time.Time
}

// pendingWrite is a write whose outcome is not known yet. It is repeated as it
// is until the record shows the outcome: the comparison lets it take effect
// once at most, and the token tells whether it did.
type pendingWrite struct {
	record       ownerRecord
	baseRevision int64
	// readBack: the last try was ambiguous; read before trying again.
	readBack bool
}

// applied reports whether the newest record is the pending write's.
func (c *cellState) applied() bool {
	return c.pending != nil && c.record.Token == c.pending.record.Token
}

// failed reports whether the pending write can't take effect any more.
func (c *cellState) failed() bool {
	return c.pending != nil && c.modRevision != c.pending.baseRevision && !c.applied()
}

// replaced reports whether the record shows a later owner than this node.
func (c *cellState) replaced(selfID string) bool {
	return c.record.Epoch > c.epoch || (c.record.Epoch == c.epoch && c.record.Member.ID() != selfID)
}
