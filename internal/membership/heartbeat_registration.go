package membership

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// refutationMemory is how long a refutation counts for the next one.
	refutationMemory = time.Hour
	// rejoinMemory is how long a member must have been registered for its next
	// removal to count as the first.
	rejoinMemory = 10 * time.Minute
	// withdrawTries is how often the withdrawal of the own record is tried
	// against other writers of the record.
	withdrawTries = 3
)

// registrationState is what is known of this node's own record.
type registrationState struct {
	// busy: a write is under way, or a pause before the next.
	busy bool
	// everRegistered: the record was this incarnation's at least once.
	everRegistered bool
	// superseded by a later incarnation: this node stays away.
	superseded bool
	// rejoining: the pause before a registration after a removal is over.
	rejoining    bool
	registeredAt time.Time
	refutedAt    time.Time
	retry        backoff
	rejoin       backoff
}

func newRegistrationState(options HeartbeatOptions) registrationState {
	return registrationState{
		retry:  backoff{minimum: options.MinBackoff, maximum: options.MaxBackoff},
		rejoin: backoff{minimum: options.MinBackoff, maximum: options.OutageGrace},
	}
}

// noteOwnRecordLocked takes notice of the own record as it stands.
func (d *HeartbeatDetector) noteOwnRecordLocked() {
	known := d.registered[d.self.Name]
	state := &d.registration
	switch {
	case known == nil:
	case known.record.Member.Incarnation == d.self.Incarnation:
		if !state.everRegistered || state.rejoining {
			state.registeredAt = d.clock.Now()
		}
		state.everRegistered = true
		state.rejoining = false
	case state.everRegistered && !state.superseded:
		state.superseded = true
		d.log.Error().Str("member", d.self.ID()).Str("by", known.record.Member.ID()).
			Msg("another incarnation took this node's place")
	}
}

// convergeLocked makes the own record equal to what it should be, one write at
// a time. It does not wait for the first reading: a write that finds the record
// of a former incarnation fails and shows that record.
func (d *HeartbeatDetector) convergeLocked() {
	state := &d.registration
	if d.stopped || state.busy || state.superseded {
		return
	}
	known := d.registered[d.self.Name]
	if known == nil && state.everRegistered && !state.rejoining {
		d.rejoinLaterLocked()
		return
	}
	desired := d.desiredRecordLocked(known)
	if known == nil {
		d.writeOwnLocked(desired, 0)
	} else if known.record != desired {
		d.writeOwnLocked(desired, known.modRevision)
	}
}

func (d *HeartbeatDetector) desiredRecordLocked(known *registeredMember) heartbeatRecord {
	desired := heartbeatRecord{Member: d.self}
	if known == nil || known.record.Member.Incarnation != d.self.Incarnation {
		return desired
	}
	desired.Refutations = known.record.Refutations
	if known.record.Accused {
		if d.clock.Now().Sub(d.registration.refutedAt) > refutationMemory {
			desired.Refutations = 0
		}
		desired.Refutations++
	}
	return desired
}

// rejoinLaterLocked registers again after a pause that grows while this node
// is removed time and again.
func (d *HeartbeatDetector) rejoinLaterLocked() {
	state := &d.registration
	if d.clock.Now().Sub(state.registeredAt) > rejoinMemory {
		state.rejoin.reset()
	}
	d.log.Warn().Str("member", d.self.ID()).Str("reason", "record removed").Msg("registering again")
	d.pauseLocked(state.rejoin.next(d.random), func() { state.rejoining = true })
}

func (d *HeartbeatDetector) pauseLocked(pause time.Duration, after func()) {
	d.registration.busy = true
	d.clock.AfterFunc(pause, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.registration.busy = false
		after()
		d.convergeLocked()
	})
}

func (d *HeartbeatDetector) writeOwnLocked(desired heartbeatRecord, modRevision int64) {
	state := &d.registration
	state.busy = true
	key := HeartbeatPrefix + d.self.Name
	operation := outside.Operation{Kind: outside.OperationPut, Key: key, Value: desired.encode()}
	d.transactLocked(key, modRevision, operation, func(_ bool, err error) {
		state.busy = false
		if err != nil {
			d.pauseLocked(state.retry.next(d.random), func() {})
			return
		}
		state.retry.reset()
		if desired.Refutations > 0 {
			state.refutedAt = d.clock.Now()
		}
	})
}

// withdrawLocked deletes the own record, unless a later incarnation has it.
func (d *HeartbeatDetector) withdrawLocked(tries int, done func()) {
	known := d.registered[d.self.Name]
	if tries == 0 || known == nil || known.record.Member.Incarnation != d.self.Incarnation {
		d.clock.AfterFunc(0, done)
		return
	}
	key := HeartbeatPrefix + d.self.Name
	operation := outside.Operation{Kind: outside.OperationDelete, Key: key}
	d.transactLocked(key, known.modRevision, operation, func(succeeded bool, err error) {
		if succeeded || err != nil {
			d.clock.AfterFunc(0, done)
			return
		}
		d.withdrawLocked(tries-1, done)
	})
}
