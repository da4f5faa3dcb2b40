package membership

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// refutationWindow is the time after a refutation in which the next one adds
	// to the count; after it the count restarts.
	refutationWindow = time.Hour
	// rejoinBackoffReset is how long a member must have been registered for its
	// rejoin backoff to restart at the minimum when it is removed.
	rejoinBackoffReset = 10 * time.Minute
	// maxWithdrawAttempts is the maximum number of attempts at deleting the own
	// record when other nodes write it concurrently.
	maxWithdrawAttempts = 3
)

// registrationState is the state of this node's own record.
type registrationState struct {
	// busy: a write is in flight, or the pause before the next one.
	busy bool
	// everRegistered: the record has named this incarnation at least once.
	everRegistered bool
	// superseded: a later incarnation has registered, so this one does not
	// register again.
	superseded bool
	// rejoinAllowed: this node was removed, and the pause before it registers
	// again is over.
	rejoinAllowed bool
	registeredAt  time.Time
	refutedAt     time.Time
	retry         backoff
	rejoin        backoff
}

func newRegistrationState(options HeartbeatOptions) registrationState {
	return registrationState{
		retry:  backoff{minimum: options.MinBackoff, maximum: options.MaxBackoff},
		rejoin: backoff{minimum: options.MinBackoff, maximum: options.OutageGrace},
	}
}

// observeOwnRecordLocked updates the registration state from the own record as
// last observed.
func (d *HeartbeatDetector) observeOwnRecordLocked() {
	entry := d.registered[d.self.Name]
	state := &d.registration
	switch {
	case entry == nil:
	case entry.record.Member.Incarnation == d.self.Incarnation:
		if !state.everRegistered || state.rejoinAllowed {
			state.registeredAt = d.clock.Now()
		}
		state.everRegistered = true
		state.rejoinAllowed = false
	case state.everRegistered && !state.superseded:
		state.superseded = true
		d.log.Error().Str("member", d.self.ID()).Str("by", entry.record.Member.ID()).
			Msg("another incarnation took this node's place")
	}
}

// reconcileOwnRecordLocked writes the own record if it differs from the desired
// one, one write at a time. It does not wait for the first snapshot: if a former
// incarnation's record exists, the write fails and returns that record.
func (d *HeartbeatDetector) reconcileOwnRecordLocked() {
	state := &d.registration
	if d.stopped || state.busy || state.superseded {
		return
	}
	entry := d.registered[d.self.Name]
	if entry == nil && state.everRegistered && !state.rejoinAllowed {
		d.scheduleRejoinLocked()
		return
	}
	desired := d.desiredRecordLocked(entry)
	if entry == nil {
		d.writeOwnLocked(desired, 0)
	} else if entry.record != desired {
		d.writeOwnLocked(desired, entry.modRevision)
	}
}

// desiredRecordLocked returns the record that this node should have: never
// accused, and with the refutations counted.
func (d *HeartbeatDetector) desiredRecordLocked(entry *registeredMember) heartbeatRecord {
	desired := heartbeatRecord{Member: d.self}
	if entry == nil || entry.record.Member.Incarnation != d.self.Incarnation {
		return desired
	}
	desired.Refutations = entry.record.Refutations
	if entry.record.Accused {
		if d.clock.Now().Sub(d.registration.refutedAt) > refutationWindow {
			desired.Refutations = 0
		}
		desired.Refutations++
	}
	return desired
}

// scheduleRejoinLocked registers this node again after a pause that grows with
// each removal in quick succession.
func (d *HeartbeatDetector) scheduleRejoinLocked() {
	state := &d.registration
	if d.clock.Now().Sub(state.registeredAt) > rejoinBackoffReset {
		state.rejoin.reset()
	}
	d.log.Warn().Str("member", d.self.ID()).Str("reason", "record removed").Msg("registering again")
	d.reconcileAfterLocked(state.rejoin.next(d.random), func() { state.rejoinAllowed = true })
}

// reconcileAfterLocked reconciles the own record after a pause, in which no write
// is started. It calls after with the lock held before that.
func (d *HeartbeatDetector) reconcileAfterLocked(pause time.Duration, after func()) {
	d.registration.busy = true
	d.clock.AfterFunc(pause, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.registration.busy = false
		after()
		d.reconcileOwnRecordLocked()
	})
}

// writeOwnLocked writes the own record if its revision is still modRevision; 0
// stands for no record.
func (d *HeartbeatDetector) writeOwnLocked(desired heartbeatRecord, modRevision int64) {
	state := &d.registration
	state.busy = true
	key := HeartbeatPrefix + d.self.Name
	operation := outside.Operation{Kind: outside.OperationPut, Key: key, Value: desired.encode()}
	d.transactLocked(key, modRevision, operation, func(_ bool, err error) {
		state.busy = false
		if err != nil {
			d.reconcileAfterLocked(state.retry.next(d.random), func() {})
			return
		}
		state.retry.reset()
		if desired.Refutations > 0 {
			state.refutedAt = d.clock.Now()
		}
	})
}

// withdrawLocked deletes the own record, unless another incarnation has written
// it. done is called afterwards, also after a failure.
func (d *HeartbeatDetector) withdrawLocked(attempts int, done func()) {
	entry := d.registered[d.self.Name]
	if attempts == 0 || entry == nil || entry.record.Member.Incarnation != d.self.Incarnation {
		d.clock.AfterFunc(0, done)
		return
	}
	key := HeartbeatPrefix + d.self.Name
	operation := outside.Operation{Kind: outside.OperationDelete, Key: key}
	d.transactLocked(key, entry.modRevision, operation, func(succeeded bool, err error) {
		if succeeded || err != nil {
			d.clock.AfterFunc(0, done)
			return
		}
		d.withdrawLocked(attempts-1, done)
	})
}
