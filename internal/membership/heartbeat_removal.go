package membership

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// maxHoldDoublings bounds the growth of RefutationHold.
	maxHoldDoublings = 5
	// maxAccusationBackoff bounds the pause after an accusation that was refuted.
	maxAccusationBackoff = time.Minute
)

// accusationState limits the accusations that this node writes.
type accusationState struct {
	// backoff computes the pause after an accusation that was refuted: this node
	// may be the one that is partitioned.
	backoff backoff
	// pausedUntil is when this node may accuse again.
	pausedUntil time.Time
}

func newAccusationState(options HeartbeatOptions) accusationState {
	return accusationState{backoff: backoff{minimum: options.Period, maximum: maxAccusationBackoff}}
}

// evaluateSuspectsLocked accuses suspects, and removes those that did not refute
// an accusation in time. It does nothing while this node's watch is interrupted,
// since its view of the records may be stale, and before this node is registered.
func (d *HeartbeatDetector) evaluateSuspectsLocked(now time.Time) {
	if d.interrupted || !d.registration.everRegistered {
		return
	}
	for _, suspect := range d.sortedSuspectsLocked() {
		if suspect.failedRounds > d.options.SuspicionRounds && !suspect.writing && !now.Before(suspect.retryAt) {
			d.evaluateSuspectLocked(suspect, now)
		}
	}
}

// evaluateSuspectLocked accuses or removes one suspect, if that is due. A suspect
// that this node accused and whose record is not accused any more has refuted the
// accusation; this node then pauses its accusations.
func (d *HeartbeatDetector) evaluateSuspectLocked(suspect *suspect, now time.Time) {
	entry := d.registered[suspect.member.Name]
	if entry.record.Accused {
		if now.Sub(entry.seenAt) >= d.refutationGraceLocked(now) {
			d.removeLocked(suspect, entry)
		}
		return
	}
	if suspect.accusedBySelf {
		suspect.accusedBySelf = false
		d.accusations.pausedUntil = now.Add(d.accusations.backoff.next(d.random))
	}
	if now.Before(d.accusations.pausedUntil) || now.Sub(entry.seenAt) < d.refutationHold(entry.record) {
		return
	}
	d.accuseLocked(suspect, entry)
}

// graceExtension is a longer grace period that applies for a limited time after a
// fault, since accused members may not have observed their accusations.
type graceExtension struct {
	// at is when the fault was observed; grace is both the grace period and how
	// long it applies.
	at    time.Time
	grace time.Duration
}

// extend starts an extension by grace, or by that of an unexpired earlier one if
// that is longer.
func (t *graceExtension) extend(now time.Time, grace time.Duration) {
	t.grace = max(grace, t.graceAt(now))
	t.at = now
}

// graceAt returns the extended grace period if it still applies, or zero.
func (t *graceExtension) graceAt(now time.Time) time.Duration {
	if t.at.IsZero() || now.Sub(t.at) >= t.grace {
		return 0
	}
	return t.grace
}

// interruptionEndedLocked extends the grace after an interruption of the watch,
// which may have hit the watches of other nodes too. If it lasted no longer than
// the pause before the first read and that read may take, it may have been brief,
// and the other nodes recover at once as well; a longer one counts as an outage.
func (d *HeartbeatDetector) interruptionEndedLocked(now time.Time) {
	if !d.interrupted {
		return
	}
	d.interrupted = false
	if now.Sub(d.interruptedAt) <= d.options.Watch.RecoveryJitter+d.options.Timeout {
		d.graceExtension.extend(now, d.options.BriefInterruptionGrace)
		return
	}
	d.graceExtension.extend(now, d.options.OutageGrace)
}

// refutationGraceLocked returns how long an accusation must have been in the
// record before the member may be removed.
func (d *HeartbeatDetector) refutationGraceLocked(now time.Time) time.Duration {
	return max(d.options.RefutationGrace, d.graceExtension.graceAt(now))
}

// refutationHold returns how long a record must have been unchanged before its
// member may be accused. It doubles with each refutation, up to
// maxHoldDoublings times.
func (d *HeartbeatDetector) refutationHold(record heartbeatRecord) time.Duration {
	if record.Refutations == 0 {
		return 0
	}
	return d.options.RefutationHold << min(record.Refutations-1, maxHoldDoublings)
}

// accuseLocked writes an accusation into the suspect's record.
func (d *HeartbeatDetector) accuseLocked(suspect *suspect, entry *registeredMember) {
	accusation := entry.record
	accusation.Accused = true
	key := HeartbeatPrefix + suspect.member.Name
	operation := outside.Operation{Kind: outside.OperationPut, Key: key, Value: accusation.encode()}
	d.writeSuspectRecordLocked(suspect, entry, operation, func() {
		suspect.accusedBySelf = true
		d.log.Info().Str("member", suspect.member.ID()).Str("reason", "probes unanswered").Msg("member accused")
	})
}

// removeLocked deletes the suspect's record, unless the record was changed since
// the accusation.
func (d *HeartbeatDetector) removeLocked(suspect *suspect, entry *registeredMember) {
	key := HeartbeatPrefix + suspect.member.Name
	operation := outside.Operation{Kind: outside.OperationDelete, Key: key}
	d.writeSuspectRecordLocked(suspect, entry, operation, func() {
		d.accusations.backoff.reset()
		d.log.Info().Str("member", suspect.member.ID()).Str("reason", "accusation not refuted").Msg("member removed")
	})
}

// writeSuspectRecordLocked makes one attempt at an accusation or a removal. Since
// the next tick acts on the record as it then is, whatever the reply was, a lost
// reply needs no special handling.
func (d *HeartbeatDetector) writeSuspectRecordLocked(suspect *suspect, entry *registeredMember, operation outside.Operation, succeeded func()) {
	suspect.writing = true
	d.transactLocked(operation.Key, entry.modRevision, operation, func(done bool, err error) {
		suspect.writing = false
		if err != nil {
			suspect.retryAt = d.clock.Now().Add(jittered(d.random, d.options.Timeout))
		}
		if done {
			succeeded()
		}
	})
}
