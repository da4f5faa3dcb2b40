package orders

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// leaseMargin is the part of the lease in which no order is given, for
	// clocks that run at different rates and orders on their way.
	leaseMargin = 250 * time.Millisecond
	// renewals within one lease.
	renewals = 4
	// campaignJitter spreads the nodes that want to be the holder.
	campaignJitter = 120 * time.Millisecond
	// campaignPause between tries that failed.
	campaignPause = 300 * time.Millisecond
	// storeTimeout of a call.
	storeTimeout = 900 * time.Millisecond
)

// Record is the holder as it stands in the store.
type Record struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Revision at which the record was written; it is the term's token.
	Revision int64 `json:"-"`
}

// ElectionConfig configures an Election.
type ElectionConfig struct {
	Store outside.KeyValueService
	// Prefix of the two keys: the holder, under its lease, and the one who was
	// the last that could order, which stays.
	Prefix string
	Self   Record
	// Lease is the time after which a holder that is not heard is replaced.
	Lease time.Duration
	// Turn is the time between the orders of two holders.
	Turn   time.Duration
	Logger zerolog.Logger
}

// Election finds the one holder by a record in the store.
type Election struct {
	config ElectionConfig

	mutex   sync.Mutex
	known   bool
	holder  *Record
	last    *Record
	term    *Term
	lease   outside.LeaseID
	changed chan struct{}
	resign  bool
	// vacantAt is when the holder was seen to be gone.
	vacantAt time.Time
}

// NewElection returns an election; Replace and Change feed it, Run takes part.
func NewElection(config ElectionConfig) *Election {
	return &Election{config: config, changed: make(chan struct{})}
}

func (e *Election) holderKey() string { return e.config.Prefix + "holder" }

func (e *Election) lastKey() string { return e.config.Prefix + "holder-last" }

// Holder returns the current holder, if one is known.
func (e *Election) Holder() (Record, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.holder == nil {
		return Record{}, false
	}
	return *e.holder, true
}

// Term returns this node's term, or nil.
func (e *Election) Term() *Term {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.term
}

// Replace takes over all keys that exist.
func (e *Election) Replace(keyValues []outside.KeyValue) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	holder := e.holder
	e.holder, e.last, e.known = nil, nil, true
	for _, keyValue := range keyValues {
		e.set(keyValue)
	}
	if holder != nil && e.holder == nil {
		e.vacantAt = time.Now()
	}
	e.wake()
}

// Change takes over one key.
func (e *Election) Change(event outside.WatchEvent) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if event.Deleted {
		if event.KeyValue.Key == e.holderKey() && e.holder != nil && event.KeyValue.ModRevision > e.holder.Revision {
			e.config.Logger.Info().Str("holder", e.holder.Name).Int64("revision", event.KeyValue.ModRevision).Msg("holder gone")
			e.holder = nil
			e.vacantAt = time.Now()
		}
	} else {
		e.set(event.KeyValue)
	}
	e.wake()
}

// set must be called with the lock held.
func (e *Election) set(keyValue outside.KeyValue) {
	var record Record
	if err := json.Unmarshal(keyValue.Value, &record); err != nil {
		e.config.Logger.Error().Err(err).Str("key", keyValue.Key).Msg("record is not understood")
		return
	}
	record.Revision = keyValue.ModRevision
	switch keyValue.Key {
	case e.holderKey():
		if e.holder == nil || e.holder.Revision < record.Revision {
			e.config.Logger.Info().Str("holder", record.Name).Int64("token", record.Revision).Msg("holder known")
			e.holder = &record
			e.endReplaced(record)
		}
	case e.lastKey():
		if e.last == nil || e.last.Revision < record.Revision {
			e.last = &record
		}
	}
}

// endReplaced ends this node's term when a later holder's record shows. It must
// be called with the lock held.
func (e *Election) endReplaced(record Record) {
	if e.term == nil || record.Revision <= e.term.Token {
		return
	}
	e.config.Logger.Warn().Int64("token", e.term.Token).Str("holder", record.Name).Msg("term ended by a later holder")
	e.term.end()
	e.term = nil
}

// wake must be called with the lock held.
func (e *Election) wake() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Resign ends this node's term, and keeps it from taking part again.
func (e *Election) Resign() {
	e.mutex.Lock()
	term, lease := e.term, e.lease
	e.resign = true
	e.term = nil
	e.mutex.Unlock()
	if term == nil {
		return
	}
	term.end()
	ended := make(chan error, 1)
	e.config.Store.RevokeLease(lease, storeTimeout, func(err error) { ended <- err })
	err := <-ended
	e.config.Logger.Info().Int64("token", term.Token).AnErr("error", err).Msg("term handed over")
}

// Run takes part until ctx ends.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, vacancy := e.vacancy()
		if vacancy == nil {
			e.wait(ctx, changed, time.Second)
			continue
		}
		e.wait(ctx, nil, rand.N(campaignJitter))
		term, err := e.campaign(*vacancy)
		if err != nil {
			e.config.Logger.Debug().Err(err).Msg("not holder")
			e.wait(ctx, changed, campaignPause)
			continue
		}
		e.keep(ctx, term)
	}
}

func (e *Election) wait(ctx context.Context, changed <-chan struct{}, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// vacancy is a state of the store in which this node may become the holder.
type vacancy struct {
	holderRevision, lastRevision int64
	// notBefore is when this node may order, if it becomes the holder.
	notBefore time.Time
	// enters: no other node's turn has to pass, so this node becomes the last
	// that could order at once.
	enters bool
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
	if last != nil {
		found.lastRevision = last.Revision
	}
	if holder != nil {
		// A record of this machine is that of a process before this one. Another
		// machine's stands as long as its lease: that its connections are refused
		// does not prove that it orders no more.
		if holder.Name != e.config.Self.Name {
			return changed, nil
		}
		found.holderRevision = holder.Revision
	}
	if last != nil && last.Name != e.config.Self.Name {
		if vacantAt.IsZero() {
			vacantAt = time.Now()
		}
		found.notBefore = vacantAt.Add(e.config.Turn + leaseMargin)
		found.enters = false
	}
	return changed, found
}

// campaign tries to become the holder.
func (e *Election) campaign(at vacancy) (*Term, error) {
	lease, err := e.grant()
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	value, err := json.Marshal(e.config.Self)
	if err != nil {
		return nil, eris.Wrap(err, "encode the record")
	}
	transaction := outside.Transaction{
		Compares: []outside.Compare{
			{Key: e.holderKey(), ModRevision: at.holderRevision},
			{Key: e.lastKey(), ModRevision: at.lastRevision},
		},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: e.holderKey(), Value: value, Lease: lease}},
	}
	if at.enters {
		transaction.Operations = append(transaction.Operations, outside.Operation{Kind: outside.OperationPut, Key: e.lastKey(), Value: value})
	}
	reply, err := e.transact(transaction)
	if err != nil {
		return nil, err
	}
	term := newTerm(reply.Revision, at.notBefore, sent.Add(e.config.Lease-leaseMargin), at.enters)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.resign {
		return nil, errors.New("the node is stopping")
	}
	e.term, e.lease = term, lease
	record := e.config.Self
	record.Revision = reply.Revision
	e.holder = &record
	if at.enters {
		e.last = &record
	}
	e.config.Logger.Info().Int64("token", term.Token).Dur("first_order_in_ms", time.Until(term.NotBefore)).Msg("lease held")
	return term, nil
}

func (e *Election) grant() (outside.LeaseID, error) {
	type reply struct {
		lease outside.LeaseID
		err   error
	}
	replies := make(chan reply, 1)
	e.config.Store.GrantLease(e.config.Lease, storeTimeout, func(lease outside.LeaseID, err error) { replies <- reply{lease, err} })
	got := <-replies
	return got.lease, got.err
}

// transact reports a condition that did not hold as an error. A write whose
// outcome is unknown shows in the watch: the record is this machine's own then,
// and is taken over by the next campaign.
func (e *Election) transact(transaction outside.Transaction) (outside.TransactionResult, error) {
	type reply struct {
		result outside.TransactionResult
		err    error
	}
	replies := make(chan reply, 1)
	e.config.Store.Transact(transaction, storeTimeout, func(result outside.TransactionResult, err error) { replies <- reply{result, err} })
	got := <-replies
	if got.err == nil && !got.result.Succeeded {
		got.err = errors.New("another node was first")
		e.adopt(got.result.Current)
	}
	return got.result, got.err
}

// adopt takes over the records that a failed condition showed.
func (e *Election) adopt(current []outside.KeyValue) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, keyValue := range current {
		e.set(keyValue)
	}
}

// keep renews the lease until it is gone.
func (e *Election) keep(ctx context.Context, term *Term) {
	period := e.config.Lease / renewals
	for ctx.Err() == nil {
		if term.mustEnter(time.Now()) {
			e.enter(term)
		}
		select {
		case <-ctx.Done():
			return
		case <-term.Over():
			return
		case <-time.After(e.untilNext(term, period)):
		}
		sent := time.Now()
		err := e.renewOnce()
		switch {
		case err == nil:
			term.renew(sent.Add(e.config.Lease - leaseMargin))
		case errors.Is(err, outside.ErrLeaseGone):
			e.config.Logger.Warn().Int64("token", term.Token).Msg("lease lost")
			e.drop(term)
			return
		}
	}
}

// untilNext is the time to the next renewal, or to the turn if that is sooner.
func (e *Election) untilNext(term *Term, period time.Duration) time.Duration {
	if turn := time.Until(term.NotBefore); turn > 0 && turn < period {
		return turn
	}
	return period
}

// enter names this node as the last one that could order, before it does so: a
// process that restarts on this machine while the predecessor's turn lasts finds
// the predecessor there, and waits as well.
func (e *Election) enter(term *Term) {
	value, err := json.Marshal(e.config.Self)
	if err != nil {
		e.config.Logger.Error().Err(err).Msg("record is not written")
		return
	}
	reply, err := e.transact(outside.Transaction{
		Compares:   []outside.Compare{{Key: e.holderKey(), ModRevision: term.Token}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: e.lastKey(), Value: value}},
	})
	if err != nil {
		e.config.Logger.Warn().Int64("token", term.Token).Err(err).Msg("turn not entered yet")
		return
	}
	record := e.config.Self
	record.Revision = reply.Revision
	e.mutex.Lock()
	e.last = &record
	e.mutex.Unlock()
	term.enter()
	e.config.Logger.Info().Int64("token", term.Token).Msg("turn entered")
}

func (e *Election) renewOnce() error {
	e.mutex.Lock()
	lease := e.lease
	e.mutex.Unlock()
	ended := make(chan error, 1)
	e.config.Store.KeepAlive(lease, storeTimeout, func(err error) { ended <- err })
	return <-ended
}

// drop ends a term whose lease is gone.
func (e *Election) drop(term *Term) {
	term.end()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.term = nil
	if e.holder != nil && e.holder.Revision == term.Token {
		e.holder = nil
		e.vacantAt = time.Now()
	}
}
