package membership

import "time"

// cellRole is this node's role for a cell.
type cellRole uint8

const (
	// roleNone: this node does not own the cell; another node may, or none.
	roleNone cellRole = iota
	// roleOwner: this node owns the cell and its runner is active.
	roleOwner
	// roleVerifying: the runner is still active; the record is read before a
	// handover begins.
	roleVerifying
	// roleReleasing: the runner completes the orders in flight.
	roleReleasing
	// roleVacating: the runner has released the cell; the record is being marked
	// as vacant.
	roleVacating
)

// cellState is this node's state of one cell.
type cellState struct {
	name string
	key  string
	hash uint64

	// record is the newest record read of the cell, whoever wrote it, and
	// modRevision its ModRevision; 0: no record exists.
	record      ownerRecord
	modRevision int64

	winner winner
	role   cellRole
	// epoch at which this node holds the cell; meaningless in roleNone.
	epoch uint64
	// ownerSeen: the recorded owner has been among this node's live members.
	ownerSeen bool
	// ownerMissingSince is when the recorded owner was first found absent from the
	// live members; zero if it is present. It is only tracked while this node has
	// the highest rendezvous score for the cell.
	ownerMissingSince time.Time
	// otherWinnerSince is since when another member than this owner has had the
	// highest rendezvous score for the cell.
	otherWinnerSince time.Time

	pending  *pendingWrite
	inFlight bool
	retry    backoff
	retryAt  time.Time
}

// pendingWrite is a write whose outcome is not known yet. It is repeated
// unchanged until the record shows the outcome: the compare on the revision lets
// it take effect at most once, and the token in the record shows whether it did.
type pendingWrite struct {
	record       ownerRecord
	baseRevision int64
	// readBack: the last attempt may or may not have taken effect; the record is
	// read before the next attempt.
	readBack bool
}

// pendingApplied reports whether the newest record is the one that the pending
// write wrote.
func (c *cellState) pendingApplied() bool {
	return c.pending != nil && c.record.Token == c.pending.record.Token
}

// pendingFailed reports whether the pending write can no longer take effect,
// because the record was changed since the revision that it compares with.
func (c *cellState) pendingFailed() bool {
	return c.pending != nil && c.modRevision != c.pending.baseRevision && !c.pendingApplied()
}

// replaced reports whether the record names a later owner than this node.
func (c *cellState) replaced(selfID string) bool {
	return c.record.Epoch > c.epoch || (c.record.Epoch == c.epoch && c.record.Member.ID() != selfID)
}
