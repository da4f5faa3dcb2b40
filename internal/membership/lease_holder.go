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

// leaseHolder keeps this node's own record registered under a lease.
//
// A first registration replaces the record of an earlier incarnation. A node
// that was registered before and finds another incarnation in its place was
// superseded, and stays away.
type leaseHolder struct {
	service outside.KeyValueService
	clock   clock.Clock
	options LeaseOptions
	log     zerolog.Logger
	// contact is told, without the lock held, whether the service answered.
	contact func(answered bool)

	mutex  sync.Mutex
	random *rand.Rand
	self   Member
	lease  outside.LeaseID
	// writtenLease and writtenSelf are what the record holds, as far as known.
	writtenLease outside.LeaseID
	writtenSelf  Member
	modRevision  int64
	busy         bool
	// everRegistered: the record was ours at least once.
	everRegistered bool
	superseded     bool
	stopped        bool
	retry          backoff
	keepAliveRetry backoff
	// keptAliveAt is when the lease was last granted or extended.
	keptAliveAt    time.Time
	timer          clock.Timer
	keepAliveTimer clock.Timer
}

func newLeaseHolder(service outside.KeyValueService, c clock.Clock, random *rand.Rand, options LeaseOptions, log zerolog.Logger, contact func(bool)) *leaseHolder {
	return &leaseHolder{
		service: service, clock: c, random: random, options: options, log: log, contact: contact,
		retry:          backoff{minimum: options.MinBackoff, maximum: options.MaxBackoff},
		keepAliveRetry: backoff{minimum: options.KeepAliveInterval / 2, maximum: 2 * options.KeepAliveInterval},
	}
}

func (h *leaseHolder) start(self Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.self = self
	h.convergeLocked()
	h.scheduleKeepAliveLocked()
}

func (h *leaseHolder) update(self Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.self = self
	h.convergeLocked()
}

// stop revokes the lease, which deletes the record.
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

// ownKeySeen is told of the own record as read from the service.
func (h *leaseHolder) ownKeySeen(keyValue outside.KeyValue, member Member) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if keyValue.ModRevision <= h.modRevision {
		return
	}
	h.foundLocked(keyValue, member)
	h.convergeLocked()
}

// ownKeyMissing is told that the own record was missing at a revision.
func (h *leaseHolder) ownKeyMissing(revision int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if revision < h.modRevision || h.writtenLease == 0 {
		return
	}
	h.modRevision = 0
	h.writtenLease = 0
	h.convergeLocked()
}

// foundLocked takes notice of the record that stands in the service.
func (h *leaseHolder) foundLocked(keyValue outside.KeyValue, member Member) {
	h.modRevision = keyValue.ModRevision
	if member.Incarnation == h.self.Incarnation {
		h.everRegistered = true
		h.writtenSelf = member
		h.writtenLease = keyValue.Lease
		return
	}
	h.writtenLease = 0
	if h.everRegistered && !h.superseded {
		h.superseded = true
		h.log.Error().Str("member", h.self.ID()).Str("by", member.ID()).Msg("another incarnation took this node's place")
	}
}

// convergeLocked makes the record in the service equal to what it should be,
// one call at a time.
func (h *leaseHolder) convergeLocked() {
	switch {
	case h.busy || h.stopped || h.superseded:
	case h.lease == 0:
		h.grantLocked()
	case h.writtenLease != h.lease || h.writtenSelf != h.self:
		h.writeLocked()
	}
}

func (h *leaseHolder) grantLocked() {
	h.busy = true
	h.service.GrantLease(h.options.TimeToLive, h.options.Timeout, func(lease outside.LeaseID, err error) {
		h.finish(err, func() {
			h.lease = lease
			h.keptAliveAt = h.clock.Now()
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
		h.finish(err, func() { h.writtenLocked(self, lease, result) })
	})
}

// writtenLocked handles the reply to a write. A write whose reply was lost is
// repeated; the failed comparison then shows the record that stands.
func (h *leaseHolder) writtenLocked(self Member, lease outside.LeaseID, result outside.TransactionResult) {
	if result.Succeeded {
		h.modRevision = max(h.modRevision, result.Revision)
		h.writtenSelf, h.writtenLease = self, lease
		h.everRegistered = true
		return
	}
	if len(result.Current) == 0 {
		h.modRevision = 0
		h.writtenLease = 0
		return
	}
	member, err := decodeMember(result.Current[0].Value)
	if err != nil {
		member = Member{}
	}
	h.foundLocked(result.Current[0], member)
}

// finish ends a call: on success it goes on at once, else after a pause.
func (h *leaseHolder) finish(err error, onSuccess func()) {
	h.contact(err == nil || errors.Is(err, outside.ErrLeaseGone))
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.busy = false
	if err == nil {
		h.retry.reset()
		onSuccess()
		h.convergeLocked()
		return
	}
	if errors.Is(err, outside.ErrLeaseGone) {
		h.lease = 0
	}
	h.convergeLaterLocked()
}

func (h *leaseHolder) convergeLaterLocked() {
	if h.stopped {
		return
	}
	h.busy = true
	h.timer = h.clock.AfterFunc(h.retry.next(h.random), func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.busy = false
		h.convergeLocked()
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
	h.service.KeepAlive(lease, h.options.Timeout, func(err error) { h.keptAlive(lease, err) })
}

// keepAliveRetryPauseLocked returns a short pause while the lease may still be
// saved, and growing ones after that.
func (h *leaseHolder) keepAliveRetryPauseLocked() time.Duration {
	if h.clock.Now().Sub(h.keptAliveAt) < h.options.TimeToLive {
		return jittered(h.random, h.options.KeepAliveInterval/3)
	}
	return h.keepAliveRetry.next(h.random)
}

func (h *leaseHolder) keptAlive(lease outside.LeaseID, err error) {
	gone := errors.Is(err, outside.ErrLeaseGone)
	h.contact(err == nil || gone)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.stopped {
		return
	}
	if gone && h.lease == lease {
		h.lease = 0
		if !h.busy {
			h.convergeLaterLocked()
		}
	}
	if err != nil && !gone {
		h.keepAliveTimer = h.clock.AfterFunc(h.keepAliveRetryPauseLocked(), h.keepAlive)
		return
	}
	h.keptAliveAt = h.clock.Now()
	h.keepAliveRetry.reset()
	h.scheduleKeepAliveLocked()
}
