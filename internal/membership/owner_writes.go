package membership

import (
	"errors"
	"fmt"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// acquireLocked writes this node into the record at the next epoch.
func (o *OwnershipManager) acquireLocked(cell *cellState) {
	o.writeLocked(cell, ownerRecord{Epoch: cell.record.Epoch + 1, Member: o.self})
}

// vacateLocked gives the cell up at the epoch held.
func (o *OwnershipManager) vacateLocked(cell *cellState) {
	o.writeLocked(cell, ownerRecord{Epoch: cell.epoch, Member: o.self, Vacant: true})
}

func (o *OwnershipManager) writeLocked(cell *cellState, record ownerRecord) {
	o.tokens++
	record.Token = fmt.Sprintf("%s/%d", o.self.ID(), o.tokens)
	cell.pending = &pendingWrite{record: record, baseRevision: cell.modRevision}
	o.resolveLocked(cell)
}

// resolveLocked brings the pending write nearer to a known outcome.
func (o *OwnershipManager) resolveLocked(cell *cellState) {
	if cell.inFlight || o.inFlight >= o.options.MaxInFlight {
		return
	}
	if cell.pending.readBack {
		o.readLocked(cell)
		return
	}
	o.beginLocked(cell)
	pending := cell.pending
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: cell.key, ModRevision: pending.baseRevision}},
		Operations: []outside.Operation{{Key: cell.key, Value: pending.record.encode()}},
	}
	o.service.Transact(transaction, o.options.Timeout, func(result outside.TransactionResult, err error) {
		o.written(cell, pending, result, err)
	})
}

func (o *OwnershipManager) written(cell *cellState, pending *pendingWrite, result outside.TransactionResult, err error) {
	o.mutex.Lock()
	o.endLocked(cell, err)
	switch {
	case err != nil:
		pending.readBack = pending.readBack || !errors.Is(err, outside.ErrNotApplied)
	case result.Succeeded:
		o.observeLocked(outside.KeyValue{Key: cell.key, Value: pending.record.encode(), ModRevision: result.Revision})
	case len(result.Current) == 0:
		o.absentLocked(cell, result.Revision)
	default:
		o.observeLocked(result.Current[0])
	}
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// probeLocked reads the record before a handover begins, so that a cell is not
// released while the key-value service is out.
func (o *OwnershipManager) probeLocked(cell *cellState) {
	if o.inFlight >= o.options.MaxInFlight {
		return
	}
	cell.role = roleProbing
	o.readLocked(cell)
}

// readLocked reads one record.
func (o *OwnershipManager) readLocked(cell *cellState) {
	o.beginLocked(cell)
	o.service.Range(cell.key, o.options.Timeout, func(result outside.RangeResult, err error) {
		o.readDone(cell, result, err)
	})
}

func (o *OwnershipManager) readDone(cell *cellState, result outside.RangeResult, err error) {
	o.mutex.Lock()
	o.endLocked(cell, err)
	if err == nil {
		o.recordReadLocked(cell, result)
	}
	if cell.role == roleProbing {
		o.probedLocked(cell, err)
	}
	o.mutex.Unlock()
	o.Tick(o.clock.Now())
}

// recordReadLocked takes the record out of a reading, which may also hold the
// cells whose names begin with this one's. If it is unchanged, the pending
// write has not taken effect, but still may: it is repeated as it is.
func (o *OwnershipManager) recordReadLocked(cell *cellState, result outside.RangeResult) {
	found := false
	for _, keyValue := range result.KeyValues {
		if keyValue.Key == cell.key {
			found = true
			o.observeLocked(keyValue)
		}
	}
	if !found {
		o.absentLocked(cell, result.Revision)
	}
	if cell.pending != nil {
		cell.pending.readBack = false
	}
}

// absentLocked takes notice that there is no record. The epoch known is kept.
func (o *OwnershipManager) absentLocked(cell *cellState, revision int64) {
	if cell.modRevision > revision {
		return
	}
	cell.modRevision = 0
	if cell.failed() {
		cell.pending = nil
	}
}

// probedLocked begins the release if the service answered and the cell is
// still owned.
func (o *OwnershipManager) probedLocked(cell *cellState, err error) {
	if err != nil {
		cell.role = roleOwner
		return
	}
	cell.role = roleReleasing
	name, epoch := cell.name, cell.epoch
	o.log.Info().Str("cell", name).Uint64("epoch", epoch).Msg("cell handover begins")
	o.calls.add(func(runner CellRunner) {
		runner.Release(name, func() { o.released(cell, epoch) })
	})
}

func (o *OwnershipManager) released(cell *cellState, epoch uint64) {
	o.mutex.Lock()
	if cell.role == roleReleasing && cell.epoch == epoch {
		cell.role = roleVacating
		o.vacateLocked(cell)
	}
	o.mutex.Unlock()
	o.calls.deliver()
}

func (o *OwnershipManager) beginLocked(cell *cellState) {
	cell.inFlight = true
	o.inFlight++
}

// endLocked ends a call; after an error the next one waits.
func (o *OwnershipManager) endLocked(cell *cellState, err error) {
	cell.inFlight = false
	o.inFlight--
	if err != nil {
		cell.retryAt = o.clock.Now().Add(cell.retry.next(o.random))
	}
}
