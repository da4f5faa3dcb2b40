package orders

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// vacancy is a state of the store in which this node may become the holder.
type vacancy struct {
	holderRevision, lastRevision int64
	// notBefore is the earliest time at which this node may send orders as the holder.
	notBefore time.Time
	// activates is set if no other node's handover period has to pass, so that this node
	// becomes the last active holder together with the lease.
	activates bool
	// lastOrders is when each server may have been sent the last order of another node.
	lastOrders map[string]time.Time
	// first is set if the store names no earlier holder and is not known to have been restored.
	first bool
	// restarted is set if an earlier process of this node may have sent orders until now,
	// of which this process has no list.
	restarted bool
}

// vacancy returns nil if there is a holder or this node may not campaign, and a channel that is
// closed on the next change.
func (e *Election) vacancy() (<-chan struct{}, *vacancy) {
	e.mutex.Lock()
	changed := e.changed
	holder, last, synced, vacantAt := e.holder, e.lastHolder, e.synced, e.vacantAt
	abstains := e.resigned || time.Now().Before(e.abstainsUntil)
	e.mutex.Unlock()
	if !synced || abstains {
		return changed, nil
	}
	found := &vacancy{notBefore: time.Now(), activates: true}
	if holder != nil {
		// A record of this node was written by an earlier process of it. Another node's
		// record is valid as long as its lease: refused connections don't prove that
		// the node sends no more orders.
		if holder.Name != e.config.Self.Name && holder.lease != 0 {
			return changed, nil
		}
		found.holderRevision = holder.Revision
		if holder.lease == 0 {
			// No node writes the record without a lease, and it would never expire. The lease of
			// the holder whose record it replaced may still be valid.
			vacantAt = holder.receivedAt.Add(e.config.Lease)
		}
	}
	if last != nil {
		found.lastRevision = last.Revision
	}
	if vacantAt.IsZero() {
		vacantAt = time.Now()
	}
	switch {
	case e.lastHolderUncertain(last):
		found.notBefore, found.activates = e.earliestOrderAfterRestore(vacantAt), false
	case last == nil:
		found.first = true
	case last.Name != e.config.Self.Name && !last.Resigned:
		found.notBefore, found.activates = vacantAt.Add(e.config.HandoverPeriod+leaseMargin), false
	default:
		found.lastOrders, found.restarted = last.lastOrders(), !last.Resigned
	}
	return changed, found
}

// campaign tries to become the holder. It fails if the records have changed since the vacancy
// was observed.
func (e *Election) campaign(at vacancy) (*Term, error) {
	era := e.config.Era()
	// The lease may begin as soon as the call for it is sent.
	leaseFrom := time.Now()
	lease, err := e.grantLease()
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	own := e.ownRecord()
	value, err := json.Marshal(own)
	if err != nil {
		return nil, eris.Wrap(err, "encode the record")
	}
	history := e.historyAt(at, sent)
	transaction := outside.Transaction{
		Compares: []outside.Compare{
			{Key: e.holderKey(), ModRevision: at.holderRevision},
			{Key: e.lastKey(), ModRevision: at.lastRevision},
		},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: e.holderKey(), Value: value, Lease: lease.ID}},
	}
	if at.activates {
		active, err := json.Marshal(e.activeRecord(history, sent))
		if err != nil {
			return nil, eris.Wrap(err, "encode the record of the last active holder")
		}
		transaction.Operations = append(transaction.Operations, outside.Operation{Kind: outside.OperationPut, Key: e.lastKey(), Value: active})
	}
	reply, err := e.transact(transaction)
	if err != nil {
		return nil, err
	}
	if outside.EraOf(reply.Revision) != era {
		// The restored store may have granted the same lease to another node.
		return nil, eris.Errorf("the store was restored meanwhile: era %d, before %d", outside.EraOf(reply.Revision), era)
	}
	term := newTerm(reply.Revision, at.notBefore, leaseFrom.Add(lease.TimeToLive-leaseMargin), at.activates)
	term.lease = lease.TimeToLive
	term.history = history
	if at.first && e.config.HandoverPeriod > 0 {
		term.firstUntil = sent.Add(e.config.Lease + e.config.HandoverPeriod + leaseMargin)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.resigned {
		return nil, errors.New("the node is stopping")
	}
	e.term, e.lease = term, lease.ID
	record := own
	record.Revision, record.lease, record.receivedAt = reply.Revision, lease.ID, time.Now()
	e.holder = &record
	if at.activates {
		e.lastHolder = &record
	}
	e.config.Logger.Info().Int64("token", term.Token).Dur("first_order_in_ms", time.Until(term.NotBefore)).Msg("lease held")
	return term, nil
}

// historyAt returns the order history with which a term begins. It is empty if the term begins
// to order only after a whole handover period.
func (e *Election) historyAt(at vacancy, now time.Time) *orderHistory {
	history := newOrderHistory()
	if e.config.HandoverPeriod > 0 {
		history.handoverPeriod = e.config.HandoverPeriod + leaseMargin
	}
	if !at.activates {
		return history
	}
	history.inherited = at.lastOrders
	if at.restarted {
		history.completeFrom = now.Add(history.handoverPeriod)
	}
	return history
}

// activeRecord returns the record that names this node as the last active holder. It includes
// recent orders of predecessors, since a successor has to wait after those as well.
func (e *Election) activeRecord(history *orderHistory, now time.Time) HolderRecord {
	record := e.ownRecord()
	record.Recent, _ = history.recent(now)
	return record
}

// grantLease obtains a new lease from the store.
func (e *Election) grantLease() (outside.Lease, error) {
	return outside.Await(func(done func(outside.Lease, error)) {
		e.config.Store.GrantLease(e.config.Lease, storeTimeout, done)
	})
}

// transact runs a transaction. It returns an error if a comparison fails, and then applies the
// records that the store returned. If the outcome of a write is unknown, the watch shows
// whether it took effect; the next campaign then replaces this node's own record.
func (e *Election) transact(transaction outside.Transaction) (outside.TransactionResult, error) {
	result, err := outside.Await(func(done func(outside.TransactionResult, error)) {
		e.config.Store.Transact(transaction, storeTimeout, done)
	})
	if err == nil && !result.Succeeded {
		err = errors.New("the records in the store have changed; another node may have become the holder")
		e.adopt(result.Current)
	}
	return result, err
}

// adopt applies the current records that a failed comparison returned.
func (e *Election) adopt(current []outside.KeyValue) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, keyValue := range current {
		e.applyRecord(keyValue)
	}
}
