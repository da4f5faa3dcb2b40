package orders

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// A term outlasts a restore of the store if the backup holds this node's record as holder,
// with its lease: until its own lease ends no other node can have become the holder since.
// Without them it ends, as another node may become the holder at once.

// self is this node's record, as it is written now.
func (e *Election) self() HolderRecord {
	record := e.config.Self
	record.Era = e.config.Era()
	return record
}

// revisionOf returns the revision at which the store holds the term's record.
func (e *Election) revisionOf(term *Term) int64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return term.revision
}

// outlived reports whether the store was restored since the term's record was last seen in
// it. A renewal tells nothing then: the lease may have been given out again.
func (e *Election) outlived(term *Term) bool {
	return outside.EraOf(e.revisionOf(term)) != e.config.Era()
}

// isOwn reports whether a record is the one that this node's term began with, as it stands
// in the store since a restore. It must be called with the lock held.
func (e *Election) isOwn(record HolderRecord) bool {
	return record.Name == e.config.Self.Name && record.lease == e.lease && record.lease != 0 &&
		outside.OwnRevision(record.Revision) == outside.OwnRevision(e.term.revision)
}

// Restored takes over all keys that exist after a restore.
func (e *Election) Restored(keyValues []outside.KeyValue) {
	e.restoreSeenAt()
	e.Replace(keyValues)
	if term := e.confirm(time.Now()); term != nil {
		go e.enter(term)
	}
}

// confirm ends this node's term, unless its record is in the restored store and its lease has
// lasted. It returns a term that has to enter again: the backup may name another node as the
// last one that could order.
func (e *Election) confirm(now time.Time) *Term {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	term := e.term
	if term == nil || outside.EraOf(term.revision) == e.config.Era() {
		return nil
	}
	if e.holder == nil || !e.isOwn(*e.holder) || !term.leads(now) {
		e.config.Logger.Warn().Int64("token", term.Token).Int64("era", e.config.Era()).Msg("term ended by a restore of the store")
		term.end()
		e.term = nil
		e.vacantAt = now
		e.wake()
		return nil
	}
	e.config.Logger.Info().Int64("token", term.Token).Int64("era", e.config.Era()).Msg("term outlasts a restore of the store")
	term.revision = e.holder.Revision
	if !term.reenter() {
		return nil
	}
	return term
}

// mayBeLost reports whether a node may have ordered after the last one that the store names,
// since the record of that was lost in a restore.
func (e *Election) mayBeLost(last *HolderRecord) bool {
	era := e.config.Era()
	return era > 0 && (last == nil || last.Era != era)
}

// afterRestore is when a node may order that does not know which one did last. Where servers
// check no fences, that one may order until its lease has ended, and its turn follows.
func (e *Election) afterRestore(vacantAt time.Time) time.Time {
	notBefore := vacantAt.Add(e.config.HandoverPeriod + leaseMargin)
	if e.config.HandoverPeriod == 0 {
		return notBefore
	}
	if restored := e.restoreSeenAt().Add(e.config.Lease + e.config.HandoverPeriod + leaseMargin); restored.After(notBefore) {
		return restored
	}
	return notBefore
}

// restoreSeenAt is when this node first asked about the newest era of the store.
func (e *Election) restoreSeenAt() time.Time {
	era := e.config.Era()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.restoredAt.IsZero() || e.restoredEra != era {
		e.restoredEra, e.restoredAt = era, time.Now()
	}
	return e.restoredAt
}
