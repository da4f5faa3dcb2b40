package orders

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// keepLease renews the lease until it is lost, the term ends or ctx ends. It activates the term
// when its time to order has come.
func (e *Election) keepLease(ctx context.Context, term *Term) {
	period := min(e.config.Lease/renewalsPerLease, term.lease/2)
	for ctx.Err() == nil {
		if term.needsActivation(time.Now()) {
			e.activate(term)
		}
		select {
		case <-ctx.Done():
			return
		case <-term.Done():
			return
		case <-time.After(e.untilNext(term, period)):
		}
		sent := time.Now()
		err := e.renewOnce()
		switch {
		case err == nil && !e.restoredSince(term):
			term.renew(sent.Add(term.lease - leaseMargin))
		case errors.Is(err, outside.ErrLeaseNotFound):
			e.config.Logger.Warn().Int64("token", term.Token).Msg("lease lost")
			e.endTerm(term)
			return
		}
	}
}

// untilNext returns the time to the next renewal, or to the start of orders if that is sooner.
func (e *Election) untilNext(term *Term, period time.Duration) time.Duration {
	if wait := time.Until(term.NotBefore); wait > 0 && wait < period {
		return wait
	}
	return period
}

// activate names this node in the store as the last active holder, before it sends its first
// order. Until then the store names the predecessor, so that a process that restarts on this
// node during the handover period waits for it as well.
func (e *Election) activate(term *Term) {
	now := time.Now()
	record := e.activeRecord(term.history, now)
	value, err := json.Marshal(record)
	if err != nil {
		e.config.Logger.Error().Err(err).Msg("cannot encode the record of the last active holder")
		return
	}
	reply, err := e.transact(outside.Transaction{
		Compares:   []outside.Compare{{Key: e.holderKey(), ModRevision: e.revisionOf(term)}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: e.lastKey(), Value: value}},
	})
	if err != nil {
		e.config.Logger.Warn().Int64("token", term.Token).Err(err).Msg("last active holder not recorded in the store; no orders are sent yet")
		return
	}
	record.Revision, record.receivedAt = reply.Revision, now
	e.mutex.Lock()
	e.lastHolder = &record
	e.mutex.Unlock()
	term.activate()
	e.config.Logger.Info().Int64("token", term.Token).Msg("turn entered")
}

// renewOnce sends one renewal and waits for its result.
func (e *Election) renewOnce() error {
	e.mutex.Lock()
	lease := e.lease
	e.mutex.Unlock()
	return outside.AwaitError(func(done func(error)) { e.config.Store.KeepAlive(lease, storeTimeout, done) })
}

// endTerm ends a term whose lease is lost.
func (e *Election) endTerm(term *Term) {
	term.end()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.term = nil
	if e.holder != nil && e.holder.Revision == term.revision {
		e.holder = nil
		e.vacantAt = time.Now()
	}
}
