package membership

import (
	"errors"
	"fmt"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// acquireLocked records this node as the owner at the next epoch.
func (o *OwnershipManager) acquireLocked(cell *cellState) {
	o.writeLocked(cell, ownerRecord{Epoch: cell.record.Epoch + 1, Member: o.self})
}

// vacateLocked marks the record as vacant at the epoch that this node holds.
func (o *OwnershipManager) vacateLocked(cell *cellState) {
	o.writeLocked(cell, ownerRecord{Epoch: cell.epoch, Member: o.self, Vacant: true})
}

// writeLocked starts a write of the record.
func (o *OwnershipManager) writeLocked(cell *cellState, record ownerRecord) {
	o.tokenSequence++
	record.Token = fmt.Sprintf("%s/%d", o.self.ID(), o.tokenSequence)
	cell.pending = &pendingWrite{record: record, baseRevision: cell.modRevision}
	o.resolveLocked(cell)
}

// resolveLocked attempts the pending write, or reads the record first if the last
// attempt was ambiguous.
func (o *OwnershipManager) resolveLocked(cell *cellState) {
	if cell.inFlight || o.inFlight >= o.options.MaxInFlight {
		return
	}
	if cell.pending.readBack {
		o.readLocked(cell)
		return
	}
	o.beginCallLocked(cell)
	pending := cell.pending
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: cell.key, ModRevision: pending.baseRevision}},
		Operations: []outside.Operation{{Key: cell.key, Value: pending.record.encode()}},
	}
	o.service.Transact(transaction, o.options.Timeout, func(result outside.TransactionResult, err error) {
		o.handleWriteResult(cell, pending, result, err)
	})
}

func (o *OwnershipManager) handleWriteResult(cell *cellState, pending *pendingWrite, result outside.TransactionResult, err error) {
	o.mutex.Lock()
	o.endCallLocked(cell, err)
	switch {
	case err != nil:
		pending.readBack = pending.readBack || !errors.Is(err, outside.ErrNotApplied)
	case result.Succeeded:
		o.observeLocked(outside.KeyValue{Key: cell.key, Value: pending.record.encode(), ModRevision: result.Revision})
	case len(result.Current) == 0:
		o.observeAbsentLocked(cell, result.Revision)
	default:
		o.observeLocked(result.Current[0])
	}
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// verifyOwnershipLocked reads the record before a handover begins, so that a cell
// is not released while the key-value service is unavailable.
func (o *OwnershipManager) verifyOwnershipLocked(cell *cellState) {
	if o.inFlight >= o.options.MaxInFlight {
		return
	}
	cell.role = roleVerifying
	o.readLocked(cell)
}

// readLocked reads the record of one cell.
func (o *OwnershipManager) readLocked(cell *cellState) {
	o.beginCallLocked(cell)
	o.service.Range(cell.key, o.options.Timeout, func(result outside.RangeResult, err error) {
		o.handleReadResult(cell, result, err)
	})
}

func (o *OwnershipManager) handleReadResult(cell *cellState, result outside.RangeResult, err error) {
	o.mutex.Lock()
	o.endCallLocked(cell, err)
	if err == nil {
		o.applyReadLocked(cell, result)
	}
	if cell.role == roleVerifying {
		o.completeVerificationLocked(cell, err)
	}
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// applyReadLocked applies the cell's record from a range read, which also contains
// the cells whose names begin with this one's. If the record is unchanged, the
// pending write has not taken effect but still may, so it is repeated unchanged.
func (o *OwnershipManager) applyReadLocked(cell *cellState, result outside.RangeResult) {
	found := false
	for _, keyValue := range result.KeyValues {
		if keyValue.Key == cell.key {
			found = true
			o.observeLocked(keyValue)
		}
	}
	if !found {
		o.observeAbsentLocked(cell, result.Revision)
	}
	if cell.pending != nil {
		cell.pending.readBack = false
	}
}

// observeAbsentLocked notes that no record existed at the revision. The last
// observed epoch is kept.
func (o *OwnershipManager) observeAbsentLocked(cell *cellState, revision int64) {
	if cell.modRevision > revision {
		return
	}
	cell.modRevision = 0
	if cell.pendingFailed() {
		cell.pending = nil
	}
}

// completeVerificationLocked begins the release if the service answered. It is
// called only if the record still names this node as the owner.
func (o *OwnershipManager) completeVerificationLocked(cell *cellState, err error) {
	if err != nil {
		cell.role = roleOwner
		return
	}
	cell.role = roleReleasing
	name, epoch := cell.name, cell.epoch
	o.log.Info().Str("cell", name).Uint64("epoch", epoch).Msg("cell handover begins")
	o.calls.add(func(runner CellRunner) {
		runner.Release(name, func() { o.completeRelease(cell, epoch) })
	})
}

// completeRelease is called by the runner when it has released the cell; it vacates
// the record, unless the ownership changed in the meantime.
func (o *OwnershipManager) completeRelease(cell *cellState, epoch uint64) {
	o.mutex.Lock()
	if cell.role == roleReleasing && cell.epoch == epoch {
		cell.role = roleVacating
		o.vacateLocked(cell)
	}
	o.mutex.Unlock()
	o.calls.deliver()
}

func (o *OwnershipManager) beginCallLocked(cell *cellState) {
	cell.inFlight = true
	o.inFlight++
}

// endCallLocked ends a call. After an error the next call for the cell is delayed
// by its backoff.
func (o *OwnershipManager) endCallLocked(cell *cellState, err error) {
	cell.inFlight = false
	o.inFlight--
	if err != nil {
		cell.retryAt = o.clock.Now().Add(cell.retry.next(o.random))
	}
}
