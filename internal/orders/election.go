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
	// leaseMargin is the last part of the lease, in which no orders are sent. It allows for
	// clocks that run at different rates and for orders still on their way.
	leaseMargin = 250 * time.Millisecond
	// renewalsPerLease is the number of renewals within one lease of the time asked for. A shorter one is
	// renewed at its half at the latest.
	renewalsPerLease = 4
	// maxCampaignWait is the longest random wait of a node before it campaigns, and
	// campaignNodes the number of nodes up to which few of them wait equally short; see
	// campaignWait.
	maxCampaignWait = 120 * time.Millisecond
	campaignNodes   = 1000
	// campaignRetryPause is the pause after a failed campaign.
	campaignRetryPause = 300 * time.Millisecond
	// storeTimeout limits each call to the store.
	storeTimeout = 900 * time.Millisecond
)

// HolderRecord describes the holder in the store.
type HolderRecord struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Resigned is set if the node ended its term in a handover and no node has sent
	// orders since.
	Resigned bool `json:"resigned,omitempty"`
	// Recent lists the servers that were sent orders within the handover period before this
	// record was written, each with the age of the last order in milliseconds. If
	// Resigned is set, the list is complete.
	Recent map[string]int64 `json:"recent,omitempty"`
	// Era is the era of the store in which the record was written. A restore of the store
	// may bring back an older record and lose later ones.
	Era int64 `json:"era,omitempty"`
	// Revision is the revision at which the record was written. It is the term's token,
	// unless the term has outlasted a restore of the store.
	Revision int64 `json:"-"`
	// lease is the lease with which the record expires.
	lease outside.LeaseID
	// receivedAt is when this node received the record.
	receivedAt time.Time
}

// lastOrders returns the latest time at which each server in Recent may have been sent an order.
func (r *HolderRecord) lastOrders() map[string]time.Time {
	times := make(map[string]time.Time, len(r.Recent))
	for server, age := range r.Recent {
		times[server] = r.receivedAt.Add(-time.Duration(age) * time.Millisecond)
	}
	return times
}

// ElectionConfig configures an Election.
type ElectionConfig struct {
	Store outside.KeyValueService
	// Prefix of the two keys: one names the holder and expires with its lease, the other
	// names the last active holder, the last node that was allowed to send orders, and
	// doesn't expire.
	Prefix string
	// Self is this node's record.
	Self HolderRecord
	// Era returns the era that the store's current revisions name; nil means always 0.
	Era func() int64
	// Restored reports whether the store is known to have been restored from a backup since the
	// system first used it; nil means that it was if Era is not 0.
	Restored func() bool
	// Lease is the time after which a holder that does not renew its lease is replaced.
	Lease time.Duration
	// HandoverPeriod is the minimum time between orders of two holders to the same server;
	// zero if the servers check fencing tokens.
	HandoverPeriod time.Duration
	// ExtraCampaignWait is how much longer than others this node waits before it campaigns:
	// the time that its machine takes to send a change to all nodes. Without it, a holder
	// on one of the smallest of 985 machines ran out of file descriptors 14 s after the
	// start.
	ExtraCampaignWait time.Duration
	// LostShare returns the share of the servers with models that this node does not reach although
	// other nodes do, from 0 to 1; nil: always 0. A node that does not reach them campaigns later than
	// the others.
	LostShare func() float64
	Logger    zerolog.Logger
}

// Election elects one node as the holder, by a record in the store. It is safe for concurrent
// use.
type Election struct {
	config ElectionConfig

	mutex sync.Mutex
	// synced is set once the keys have been read.
	synced bool
	holder *HolderRecord
	// lastHolder is the record of the last active holder.
	lastHolder *HolderRecord
	term       *Term
	lease      outside.LeaseID
	// changed is closed, and replaced, on each change.
	changed  chan struct{}
	resigned bool
	// abstainsUntil is until when this node does not campaign, since it gave up its lease.
	abstainsUntil time.Time
	// vacantAt is when the holder's record was last seen to be deleted or expired, and
	// restoredAt when this node first observed the store's era restoredEra.
	vacantAt, restoredAt time.Time
	restoredEra          int64
}

// NewElection returns an election. Replace, Restored and Change pass it the keys of the store;
// Run takes part in it.
func NewElection(config ElectionConfig) *Election {
	if config.Era == nil {
		config.Era = func() int64 { return 0 }
	}
	if config.Restored == nil {
		config.Restored = func() bool { return config.Era() > 0 }
	}
	if config.LostShare == nil {
		config.LostShare = func() float64 { return 0 }
	}
	return &Election{config: config, changed: make(chan struct{})}
}

func (e *Election) holderKey() string { return e.config.Prefix + "holder" }

func (e *Election) lastKey() string { return e.config.Prefix + "holder-last" }

// Holder returns the current holder's record, if there is one.
func (e *Election) Holder() (HolderRecord, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.holder == nil {
		return HolderRecord{}, false
	}
	return *e.holder, true
}

// RemoteHolderAddress returns the address of the holder if that is another node, and otherwise
// an empty string.
func (e *Election) RemoteHolderAddress() string {
	holder, known := e.Holder()
	if !known || holder.Address == e.config.Self.Address {
		return ""
	}
	return holder.Address
}

// IsLocalHolder reports whether this node is the holder, as far as known.
func (e *Election) IsLocalHolder() bool {
	holder, known := e.Holder()
	return known && holder.Address == e.config.Self.Address
}

// Term returns this node's term, or nil if it has none.
func (e *Election) Term() *Term {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.term
}

// Replace replaces the known records by those of all keys that exist.
func (e *Election) Replace(keyValues []outside.KeyValue) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	holder := e.holder
	e.holder, e.lastHolder, e.synced = nil, nil, true
	for _, keyValue := range keyValues {
		e.applyRecord(keyValue)
	}
	if holder != nil && e.holder == nil {
		e.vacantAt = time.Now()
	}
	e.notifyChange()
}

// Change applies the change of one key.
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
		e.applyRecord(event.KeyValue)
	}
	e.notifyChange()
}

// applyRecord applies one key's record unless a newer one is known. One that can't be decoded counts
// as that of an unknown node, since a campaign has to name the key's revision. It must be called with
// the lock held.
func (e *Election) applyRecord(keyValue outside.KeyValue) {
	if keyValue.Key != e.holderKey() && keyValue.Key != e.lastKey() {
		return
	}
	var record HolderRecord
	if err := json.Unmarshal(keyValue.Value, &record); err != nil {
		e.config.Logger.Error().Err(err).Str("key", keyValue.Key).Int64("revision", keyValue.ModRevision).Msg("cannot decode an election record")
		record = HolderRecord{}
	}
	record.Revision, record.lease, record.receivedAt = keyValue.ModRevision, keyValue.Lease, time.Now()
	switch keyValue.Key {
	case e.holderKey():
		if e.holder == nil || e.holder.Revision < record.Revision {
			e.config.Logger.Info().Str("holder", record.Name).Int64("token", record.Revision).Msg("holder known")
			e.holder = &record
			e.endSupersededTerm(record)
		}
	case e.lastKey():
		if e.lastHolder == nil || e.lastHolder.Revision < record.Revision {
			e.lastHolder = &record
		}
	}
}

// endSupersededTerm ends this node's term if the record is that of a later holder. It must be
// called with the lock held.
func (e *Election) endSupersededTerm(record HolderRecord) {
	if e.term == nil || record.Revision <= e.term.revision || e.isOwnRecord(record) {
		return
	}
	e.config.Logger.Warn().Int64("token", e.term.Token).Str("holder", record.Name).Msg("term ended by a later holder")
	e.term.end()
	e.term = nil
}

// notifyChange wakes the goroutines that wait on changed. It must be called with the lock held.
func (e *Election) notifyChange() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// Resign ends this node's term with a handover, and keeps the node from campaigning again.
func (e *Election) Resign() {
	e.mutex.Lock()
	term, lease := e.term, e.lease
	e.resigned = true
	e.term = nil
	e.mutex.Unlock()
	if term != nil {
		e.giveUp(term, lease)
	}
}

// giveUp ends the term with a handover.
func (e *Election) giveUp(term *Term, lease outside.LeaseID) {
	term.end()
	handedOver := e.handOver(term)
	err := outside.AwaitError(func(done func(error)) { e.config.Store.RevokeLease(lease, storeTimeout, done) })
	e.config.Logger.Info().Int64("token", term.Token).Bool("told_orders", handedOver).AnErr("error", err).Msg("term handed over")
}

// handOver deletes this node's record as holder and leaves its successor the list of servers
// that were sent orders recently. It does so only if this node is the last active holder and
// its list is complete; otherwise it returns false, and the successor waits for the whole
// handover period at all servers.
func (e *Election) handOver(term *Term) bool {
	recent, complete := term.history.recent(time.Now())
	if !complete || !term.isActive() {
		return false
	}
	record := e.ownRecord()
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

// Run campaigns when there is no holder, and keeps the lease while this node is the holder,
// until ctx ends.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed, vacancy := e.vacancy()
		if vacancy == nil {
			e.wait(ctx, changed, time.Second)
			continue
		}
		e.wait(ctx, nil, e.campaignDelay(*vacancy))
		if _, vacancy = e.vacancy(); vacancy == nil {
			// Another node has become the holder meanwhile.
			continue
		}
		term, err := e.campaign(*vacancy)
		if err != nil {
			e.config.Logger.Debug().Err(err).Msg("campaign for the lease failed")
			e.wait(ctx, changed, campaignRetryPause)
			continue
		}
		e.keepLease(ctx, term)
	}
}

// campaignDelay returns the wait before a campaign. The extra wait does not apply to the record
// of an earlier process of this node, since no other node competes for it.
func (e *Election) campaignDelay(at vacancy) time.Duration {
	wait := campaignWait(rand.Float64())
	if at.holderRevision == 0 {
		wait += e.config.ExtraCampaignWait
	}
	if e.config.LostShare() >= maxLostShare {
		wait += partitionedCampaignWait
	}
	return wait
}

// campaignWait returns how long a node waits before it campaigns, by a random number from 0 to
// 1. The waits are distributed so that, whatever the number of nodes, few of them end before
// the record of the first one reaches the others (Nonnenmacher and Biersack, Optimal Multicast
// Feedback, INFOCOM 1998).
func campaignWait(random float64) time.Duration {
	share := 1 + math.Log(max(random, 1.0/campaignNodes))/math.Log(campaignNodes)
	return time.Duration(share * float64(maxCampaignWait))
}

// wait returns on a change, or when the time has passed or ctx has ended.
func (e *Election) wait(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
