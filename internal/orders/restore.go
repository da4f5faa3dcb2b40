package orders

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// A term outlasts a restore of the store if the backup contains this node's record as holder,
// with its lease: no other node can then become the holder until the lease expires. Otherwise
// the term ends, since another node may become the holder at once.

// ownRecord returns this node's record with the current era.
func (e *Election) ownRecord() HolderRecord {
	record := e.config.Self
	record.Era = e.config.Era()
	return record
}

// revisionOf returns the revision of the term's record in the store.
func (e *Election) revisionOf(term *Term) int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return term.revision
}

// restoredSince reports whether the store was restored since the term's record was last seen in
// it. A successful renewal then proves nothing: the store may have granted the same lease again.
func (e *Election) restoredSince(term *Term) bool {
	return outside.EraOf(e.revisionOf(term)) != e.config.Era()
}

// isOwnRecord reports whether a record is that of this node's current term, perhaps with the
// revision that it got by a restore. It must be called with the lock held.
func (e *Election) isOwnRecord(record HolderRecord) bool {
	return record.Name == e.config.Self.Name && record.lease == e.lease && record.lease != 0 &&
		outside.OwnRevision(record.Revision) == outside.OwnRevision(e.term.revision)
}

// Restored replaces the known records by those of all keys that exist after a restore of the
// store, and ends this node's term unless it outlasts the restore.
func (e *Election) Restored(keyValues []outside.KeyValue) {
	e.restoreObservedAt()
	e.Replace(keyValues)
	if term := e.confirmTerm(time.Now()); term != nil {
		go e.activate(term)
	}
}

// confirmTerm ends this node's term unless its record is in the restored store and its lease is
// still valid. It returns a term that has to be activated again, since the backup may name
// another node as the last active holder.
func (e *Election) confirmTerm(now time.Time) *Term {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	term := e.term
	if term == nil || outside.EraOf(term.revision) == e.config.Era() {
		return nil
	}
	if e.holder == nil || !e.isOwnRecord(*e.holder) || !term.leaseValid(now) {
		e.config.Logger.Warn().Int64("token", term.Token).Int64("era", e.config.Era()).Msg("term ended by a restore of the store")
		term.end()
		e.term = nil
		e.vacantAt = now
		e.notifyChange()
		return nil
	}
	e.config.Logger.Info().Int64("token", term.Token).Int64("era", e.config.Era()).Msg("term outlasts a restore of the store")
	term.revision = e.holder.Revision
	if !term.deactivate() {
		return nil
	}
	return term
}

// lastHolderUncertain reports whether a node may have sent orders after the last active holder
// that the store names, since a restore may have lost that node's record.
func (e *Election) lastHolderUncertain(last *HolderRecord) bool {
	if last == nil {
		return e.config.Restored()
	}
	return last.Era != e.config.Era()
}

// earliestOrderAfterRestore returns when a node may send orders if the last active holder is
// unknown. Where servers don't check fencing tokens, that holder may send orders until its
// lease ends, and the handover period follows.
func (e *Election) earliestOrderAfterRestore(vacantAt time.Time) time.Time {
	notBefore := vacantAt.Add(e.config.HandoverPeriod + leaseMargin)
	if e.config.HandoverPeriod == 0 {
		return notBefore
	}
	if restored := e.restoreObservedAt().Add(e.config.Lease + e.config.HandoverPeriod + leaseMargin); restored.After(notBefore) {
		return restored
	}
	return notBefore
}

// restoreObservedAt returns when this node first observed the current era of the store.
func (e *Election) restoreObservedAt() time.Time {
	era := e.config.Era()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.restoredAt.IsZero() || e.restoredEra != era {
		e.restoredEra, e.restoredAt = era, time.Now()
	}
	return e.restoredAt
}
