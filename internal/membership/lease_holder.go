package membership

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// leaseHolder keeps this node's own record registered, attached to a lease.
//
// The first registration replaces the record of an earlier incarnation. If a node
// has been registered and then finds the record of another incarnation, it was
// superseded and does not register again.
type leaseHolder struct {
	service outside.KeyValueService
	clock   clock.Clock
	options LeaseOptions
	log     zerolog.Logger
	// reportReachable is called after each call to the service, without the lock
	// held, with whether the service answered.
	reportReachable func(answered bool)

	mutex  sync.Mutex
	random *rand.Rand
	self   Member
	lease  outside.LeaseID
	// recordedLease and recordedSelf are what the record holds, as last observed or
	// written; recordedLease is 0 if the record has to be written. modRevision is
	// the record's revision; 0: no record.
	recordedLease outside.LeaseID
	recordedSelf  Member
	modRevision   int64
	// busy: a grant or a write is in flight, or the pause before the next one.
	busy bool
	// everRegistered: the record has named this incarnation at least once.
	everRegistered bool
	superseded     bool
	stopped        bool
	retry          backoff
	keepAliveRetry backoff
	// extendedAt is when the lease was last granted or extended.
	extendedAt     time.Time
	timer          clock.Timer
	keepAliveTimer clock.Timer
}

func newLeaseHolder(service outside.KeyValueService, c clock.Clock, random *rand.Rand, options LeaseOptions, log zerolog.Logger, reportReachable func(bool)) *leaseHolder {
	return &leaseHolder{
		service: service, clock: c, random: random, options: options, log: log, reportReachable: reportReachable,
		retry:          backoff{minimum: options.MinBackoff, maximum: options.MaxBackoff},
		keepAliveRetry: backoff{minimum: options.KeepAliveInterval / 2, maximum: 2 * options.KeepAliveInterval},
	}
}

func (h *leaseHolder) start(self Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.self = self
	h.reconcileLocked()
	h.scheduleKeepAliveLocked()
}

func (h *leaseHolder) update(self Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.self = self
	h.reconcileLocked()
}

// stop revokes the lease, which deletes the record. done is called afterwards,
// also after a failure.
func (h *leaseHolder) stop(done func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopped = true
	for _, timer := range []clock.Timer{h.timer, h.keepAliveTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	if h.lease == 0 {
		h.clock.AfterFunc(0, done)
		return
	}
	h.service.RevokeLease(h.lease, h.options.Timeout, func(error) { done() })
}

func (h *leaseHolder) isSuperseded() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.superseded
}

func (h *leaseHolder) wasRegistered() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.everRegistered
}

// observeOwnKey is called with the own record as read from the service.
func (h *leaseHolder) observeOwnKey(keyValue outside.KeyValue, member Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if keyValue.ModRevision <= h.modRevision {
		return
	}
	h.observeRecordLocked(keyValue, member)
	h.reconcileLocked()
}

// observeOwnKeyMissing is called when the own record was absent at a revision.
func (h *leaseHolder) observeOwnKeyMissing(revision int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if revision < h.modRevision || h.recordedLease == 0 {
		return
	}
	h.modRevision = 0
	h.recordedLease = 0
	h.reconcileLocked()
}

// observeRecordLocked updates the state from the record in the service.
func (h *leaseHolder) observeRecordLocked(keyValue outside.KeyValue, member Member) {
	h.modRevision = keyValue.ModRevision
	if member.Incarnation == h.self.Incarnation {
		h.everRegistered = true
		h.recordedSelf = member
		h.recordedLease = keyValue.Lease
		return
	}
	h.recordedLease = 0
	if h.everRegistered && !h.superseded {
		h.superseded = true
		h.log.Error().Str("member", h.self.ID()).Str("by", member.ID()).Msg("another incarnation took this node's place")
	}
}

// reconcileLocked grants a lease if there is none, and writes the record if it
// differs from the desired one; one call at a time.
func (h *leaseHolder) reconcileLocked() {
	switch {
	case h.busy || h.stopped || h.superseded:
	case h.lease == 0:
		h.grantLocked()
	case h.recordedLease != h.lease || h.recordedSelf != h.self:
		h.writeLocked()
	}
}

func (h *leaseHolder) grantLocked() {
	h.busy = true
	h.service.GrantLease(h.options.TimeToLive, h.options.Timeout, func(lease outside.Lease, err error) {
		h.completeCall(err, func() {
			h.lease = lease.ID
			h.extendedAt = h.clock.Now()
		})
	})
}

func (h *leaseHolder) writeLocked() {
	h.busy = true
	key := MemberPrefix + h.self.Name
	self, lease := h.self, h.lease
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: key, ModRevision: h.modRevision}},
		Operations: []outside.Operation{{Key: key, Value: encodeMember(self), Lease: lease}},
	}
	h.service.Transact(transaction, h.options.Timeout, func(result outside.TransactionResult, err error) {
		h.completeCall(err, func() { h.applyWriteResultLocked(self, lease, result) })
	})
}

// applyWriteResultLocked applies the reply to a write. A write whose reply was
// lost is repeated; its compare then fails and the reply contains the record that
// exists.
func (h *leaseHolder) applyWriteResultLocked(self Member, lease outside.LeaseID, result outside.TransactionResult) {
	if result.Succeeded {
		h.modRevision = max(h.modRevision, result.Revision)
		h.recordedSelf, h.recordedLease = self, lease
		h.everRegistered = true
		return
	}
	if len(result.Current) == 0 {
		h.modRevision = 0
		h.recordedLease = 0
		return
	}
	member, err := decodeMember(result.Current[0].Value)
	if err != nil {
		member = Member{}
	}
	h.observeRecordLocked(result.Current[0], member)
}

// completeCall ends a grant or a write. After a success the next call is made at
// once, after an error following a backoff.
func (h *leaseHolder) completeCall(err error, onSuccess func()) {
	h.reportReachable(err == nil || errors.Is(err, outside.ErrLeaseNotFound))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.busy = false
	if err == nil {
		h.retry.reset()
		onSuccess()
		h.reconcileLocked()
		return
	}
	if errors.Is(err, outside.ErrLeaseNotFound) {
		h.lease = 0
	}
	h.reconcileLaterLocked()
}

func (h *leaseHolder) reconcileLaterLocked() {
	if h.stopped {
		return
	}
	h.busy = true
	h.timer = h.clock.AfterFunc(h.retry.next(h.random), func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.busy = false
		h.reconcileLocked()
	})
}

func (h *leaseHolder) scheduleKeepAliveLocked() {
	h.keepAliveTimer = h.clock.AfterFunc(jittered(h.random, h.options.KeepAliveInterval), h.keepAlive)
}

func (h *leaseHolder) keepAlive() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stopped || h.superseded {
		return
	}
	if h.lease == 0 {
		h.scheduleKeepAliveLocked()
		return
	}
	lease := h.lease
	h.service.KeepAlive(lease, h.options.Timeout, func(err error) { h.handleKeepAliveReply(lease, err) })
}

// keepAliveRetryPauseLocked returns a short pause while the lease may still be
// extended, and growing ones once its time to live is over.
func (h *leaseHolder) keepAliveRetryPauseLocked() time.Duration {
	if h.clock.Now().Sub(h.extendedAt) < h.options.TimeToLive {
		return jittered(h.random, h.options.KeepAliveInterval/3)
	}
	return h.keepAliveRetry.next(h.random)
}

func (h *leaseHolder) handleKeepAliveReply(lease outside.LeaseID, err error) {
	expired := errors.Is(err, outside.ErrLeaseNotFound)
	h.reportReachable(err == nil || expired)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stopped {
		return
	}
	if expired && h.lease == lease {
		h.lease = 0
		if !h.busy {
			h.reconcileLaterLocked()
		}
	}
	if err != nil && !expired {
		h.keepAliveTimer = h.clock.AfterFunc(h.keepAliveRetryPauseLocked(), h.keepAlive)
		return
	}
	h.extendedAt = h.clock.Now()
	h.keepAliveRetry.reset()
	h.scheduleKeepAliveLocked()
}
