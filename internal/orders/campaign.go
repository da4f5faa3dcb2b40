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
	// notBefore is when this node may order, if it becomes the holder.
	notBefore time.Time
	// enters: no other node's turn has to pass, so this node becomes the last
	// that could order at once.
	enters bool
	// inherited is when each server may have been ordered last by another node.
	inherited map[string]time.Time
	// continues: a process before this one, on the same machine, may have ordered
	// until now, and what it ordered is not known.
	continues bool
}

// vacancy returns nil if there is a holder, as far as known.
func (e *Election) vacancy() (<-chan struct{}, *vacancy) {
	e.mutex.Lock()
	changed := e.changed
	holder, last, known, resigned, vacantAt := e.holder, e.last, e.known, e.resign, e.vacantAt
	e.mutex.Unlock()
	if !known || resigned {
		return changed, nil
	}
	found := &vacancy{notBefore: time.Now(), enters: true}
	if holder != nil {
		// A record of this machine is that of a process before this one. Another
		// machine's stands as long as its lease: that its connections are refused
		// does not prove that it orders no more.
		if holder.Name != e.config.Self.Name {
			return changed, nil
		}
		found.holderRevision = holder.Revision
	}
	if last != nil {
		found.lastRevision = last.Revision
	}
	if vacantAt.IsZero() {
		vacantAt = time.Now()
	}
	switch {
	case e.mayBeLost(last):
		found.notBefore, found.enters = e.afterRestore(vacantAt), false
	case last == nil:
	case last.Name != e.config.Self.Name && !last.Resigned:
		found.notBefore, found.enters = vacantAt.Add(e.config.HandoverPeriod+leaseMargin), false
	default:
		found.inherited, found.continues = last.inherited(), !last.Resigned
	}
	return changed, found
}

// campaign tries to become the holder.
func (e *Election) campaign(at vacancy) (*Term, error) {
	era := e.config.Era()
	lease, err := e.grant()
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	own := e.self()
	value, err := json.Marshal(own)
	if err != nil {
		return nil, eris.Wrap(err, "encode the record")
	}
	turns := e.turnsAt(at, sent)
	transaction := outside.Transaction{
		Compares: []outside.Compare{
			{Key: e.holderKey(), ModRevision: at.holderRevision},
			{Key: e.lastKey(), ModRevision: at.lastRevision},
		},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: e.holderKey(), Value: value, Lease: lease}},
	}
	if at.enters {
		entering, err := json.Marshal(e.enteringRecord(turns, sent))
		if err != nil {
			return nil, eris.Wrap(err, "encode the record of the last holder")
		}
		transaction.Operations = append(transaction.Operations, outside.Operation{Kind: outside.OperationPut, Key: e.lastKey(), Value: entering})
	}
	reply, err := e.transact(transaction)
	if err != nil {
		return nil, err
	}
	if outside.EraOf(reply.Revision) != era {
		// The lease may be another node's by now.
		return nil, eris.Errorf("the store was restored meanwhile: era %d, before %d", outside.EraOf(reply.Revision), era)
	}
	term := newTerm(reply.Revision, at.notBefore, sent.Add(e.config.Lease-leaseMargin), at.enters)
	term.turns = turns
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.resign {
		return nil, errors.New("the node is stopping")
	}
	e.term, e.lease = term, lease
	record := own
	record.Revision, record.lease, record.seenAt = reply.Revision, lease, time.Now()
	e.holder = &record
	if at.enters {
		e.last = &record
	}
	e.config.Logger.Info().Int64("token", term.Token).Dur("first_order_in_ms", time.Until(term.NotBefore)).Msg("lease held")
	return term, nil
}

// turnsAt is what a term that begins knows of earlier orders. After a whole turn
// that is nothing, and nothing more is needed.
func (e *Election) turnsAt(at vacancy, now time.Time) *turns {
	known := newTurns()
	if e.config.HandoverPeriod > 0 {
		known.wait = e.config.HandoverPeriod + leaseMargin
	}
	if !at.enters {
		return known
	}
	known.inherited = at.inherited
	if at.continues {
		known.completeFrom = now.Add(known.wait)
	}
	return known
}

// enteringRecord names this node as the last that could order, with the orders of
// others that a successor must wait after as well.
func (e *Election) enteringRecord(known *turns, now time.Time) HolderRecord {
	record := e.self()
	record.Recent, _ = known.recent(now)
	return record
}

func (e *Election) grant() (outside.LeaseID, error) {
	return outside.Await(func(done func(outside.LeaseID, error)) {
		e.config.Store.GrantLease(e.config.Lease, storeTimeout, done)
	})
}

// transact reports a condition that did not hold as an error. A write whose
// outcome is unknown shows in the watch: the record is this machine's own then,
// and is taken over by the next campaign.
func (e *Election) transact(transaction outside.Transaction) (outside.TransactionResult, error) {
	result, err := outside.Await(func(done func(outside.TransactionResult, error)) {
		e.config.Store.Transact(transaction, storeTimeout, done)
	})
	if err == nil && !result.Succeeded {
		err = errors.New("another node was first")
		e.adopt(result.Current)
	}
	return result, err
}

// adopt takes over the records that a failed condition showed.
func (e *Election) adopt(current []outside.KeyValue) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, keyValue := range current {
		e.set(keyValue)
	}
}
