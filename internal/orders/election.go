package orders

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// leaseMargin is the part of the lease in which no order is given, for
	// clocks that run at different rates and orders on their way.
	leaseMargin = 250 * time.Millisecond
	// renewals within one lease.
	renewals = 4
	// campaignSpread is the longest wait of a node that wants to be the holder, and
	// campaignNodes the number of nodes up to which few wait equally short; see
	// campaignWait.
	campaignSpread = 120 * time.Millisecond
	campaignNodes  = 1000
	// campaignPause between tries that failed.
	campaignPause = 300 * time.Millisecond
	// storeTimeout of a call.
	storeTimeout = 900 * time.Millisecond
)

// HolderRecord is the holder as it stands in the store.
type HolderRecord struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Resigned: the node ended its term in order, and no node has ordered since.
	Resigned bool `json:"resigned,omitempty"`
	// Recent orders of before this record was written: for each server that was
	// ordered within a turn, how long ago, in milliseconds. All others were not.
	Recent map[string]int64 `json:"recent,omitempty"`
	// Era of the store in which the record was written. After a restore an older record
	// may be back, and later ones are lost.
	Era int64 `json:"era,omitempty"`
	// Revision at which the record was written; it is the term's token, unless the term
	// has outlasted a restore of the store.
	Revision int64 `json:"-"`
	// lease that the record ends with.
	lease outside.LeaseID
	// seenAt is when this node learned of the record.
	seenAt time.Time
}

// inherited is when each server may have been ordered last.
func (r *HolderRecord) inherited() map[string]time.Time {
	times := make(map[string]time.Time, len(r.Recent))
	for server, age := range r.Recent {
		times[server] = r.seenAt.Add(-time.Duration(age) * time.Millisecond)
	}
	return times
}

// ElectionConfig configures an Election.
type ElectionConfig struct {
	Store outside.KeyValueService
	// Prefix of the two keys: the holder, under its lease, and the one who was
	// the last that could order, which stays.
	Prefix string
	Self   HolderRecord
	// Era counts how often the store was restored from a backup; nil: never.
	Era func() int64
	// Lease is the time after which a holder that is not heard is replaced.
	Lease time.Duration
	// HandoverPeriod is the time between the orders of two holders.
	HandoverPeriod time.Duration
	// ExtraCampaignWait is how much longer than others this node waits before it campaigns: the
	// time that its machine takes to tell all nodes of a change. A holder on one of the
	// smallest of 985 machines ran out of descriptors 14 s after the start.
	ExtraCampaignWait time.Duration
	Logger            zerolog.Logger
}

// Election finds the one holder by a record in the store.
type Election struct {
	config ElectionConfig

	mutex   sync.Mutex
	known   bool
	holder  *HolderRecord
	last    *HolderRecord
	term    *Term
	lease   outside.LeaseID
	changed chan struct{}
	resign  bool
	// vacantAt is when the holder was seen to be gone, and restoredAt when this node first
	// knew of the store's era restoredEra.
	vacantAt, restoredAt time.Time
	restoredEra          int64
}

// NewElection returns an election; Replace and Change feed it, Run takes part.
func NewElection(config ElectionConfig) *Election {
	if config.Era == nil {
		config.Era = func() int64 { return 0 }
	}
	return &Election{config: config, changed: make(chan struct{})}
}

func (e *Election) holderKey() string { return e.config.Prefix + "holder" }

func (e *Election) lastKey() string { return e.config.Prefix + "holder-last" }

// Holder returns the current holder, if one is known.
func (e *Election) Holder() (HolderRecord, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.holder == nil {
		return HolderRecord{}, false
	}
	return *e.holder, true
}

// RemoteHolderAddress returns the address of the holder if that is another node, else
// an empty one.
func (e *Election) RemoteHolderAddress() string {
	holder, known := e.Holder()
	if !known || holder.Address == e.config.Self.Address {
		return ""
	}
	return holder.Address
}

// IsLocalHolder reports whether the holder, as far as known, is this node.
func (e *Election) IsLocalHolder() bool {
	holder, known := e.Holder()
	return known && holder.Address == e.config.Self.Address
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
	var record HolderRecord
	if err := json.Unmarshal(keyValue.Value, &record); err != nil {
		e.config.Logger.Error().Err(err).Str("key", keyValue.Key).Msg("record is not understood")
		return
	}
	record.Revision, record.lease, record.seenAt = keyValue.ModRevision, keyValue.Lease, time.Now()
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
func (e *Election) endReplaced(record HolderRecord) {
	if e.term == nil || record.Revision <= e.term.revision || e.isOwn(record) {
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
	told := e.tellRecent(term)
	err := outside.AwaitError(func(done func(error)) { e.config.Store.RevokeLease(lease, storeTimeout, done) })
	e.config.Logger.Info().Int64("token", term.Token).Bool("told_orders", told).AnErr("error", err).Msg("term handed over")
}

// tellRecent ends this node's record as holder, and tells the successor which
// servers were ordered lately, if this node was the last one that could order and
// knows all of them. Otherwise the successor waits for the whole turn.
func (e *Election) tellRecent(term *Term) bool {
	recent, complete := term.turns.recent(time.Now())
	if !complete || !term.hasEntered() {
		return false
	}
	record := e.self()
	record.Resigned, record.Recent = true, recent
	value, err := json.Marshal(record)
	if err != nil {
		return false
	}
	_, err = e.transact(outside.Transaction{
		Compares: []outside.Compare{{Key: e.holderKey(), ModRevision: e.revisionOf(term)}},
		Operations: []outside.Operation{
			{Kind: outside.OperationPut, Key: e.lastKey(), Value: value},
			{Kind: outside.OperationDelete, Key: e.holderKey()},
		},
	})
	return err == nil
}

// Run takes part until ctx ends.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, vacancy := e.vacancy()
		if vacancy == nil {
			e.wait(ctx, changed, time.Second)
			continue
		}
		e.wait(ctx, nil, e.campaignDelay(*vacancy))
		if _, vacancy = e.vacancy(); vacancy == nil {
			// Another node was first meanwhile.
			continue
		}
		term, err := e.campaign(*vacancy)
		if err != nil {
			e.config.Logger.Debug().Err(err).Msg("not holder")
			e.wait(ctx, changed, campaignPause)
			continue
		}
		e.keep(ctx, term)
	}
}

// campaignDelay is the wait before a campaign. Nobody competes for the record of a
// process before this one.
func (e *Election) campaignDelay(at vacancy) time.Duration {
	wait := campaignWait(rand.Float64())
	if at.holderRevision == 0 {
		wait += e.config.ExtraCampaignWait
	}
	return wait
}

// campaignWait is how long a node waits before it campaigns, by a random number
// from 0 to 1. The waits are spread so that, whatever the number of nodes, few of
// them end before the first one's record is known to the others (Nonnenmacher and
// Biersack, Optimal Multicast Feedback, INFOCOM 1998).
func campaignWait(random float64) time.Duration {
	share := 1 + math.Log(max(random, 1.0/campaignNodes))/math.Log(campaignNodes)
	return time.Duration(share * float64(campaignSpread))
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
