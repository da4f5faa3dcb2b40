package membership

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// maxHoldDoublings bounds the growth of RefutationHold.
	maxHoldDoublings = 5
	// maxAccusationPause bounds the pause of an accuser that was wrong.
	maxAccusationPause = time.Minute
)

// removalState is what this node knows of its own accusations.
type removalState struct {
	// pause after an accusation that was refuted: this node may be the one
	// that is cut off.
	pause backoff
	// accuseAfter is when this node may accuse again.
	accuseAfter time.Time
}

func newRemovalState(options HeartbeatOptions) removalState {
	return removalState{pause: backoff{minimum: options.Period, maximum: maxAccusationPause}}
}

// judgeLocked accuses the suspects, and removes those that were accused and did
// not refute. It does nothing while this node's own knowledge is doubtful.
func (d *HeartbeatDetector) judgeLocked(now time.Time) {
	if d.interrupted || !d.registration.everRegistered {
		return
	}
	for _, suspect := range d.sortedSuspectsLocked() {
		if suspect.failedRounds > d.options.SuspicionRounds && !suspect.writing && !now.Before(suspect.retryAt) {
			d.judgeSuspectLocked(suspect, now)
		}
	}
}

func (d *HeartbeatDetector) judgeSuspectLocked(suspect *suspect, now time.Time) {
	known := d.registered[suspect.member.Name]
	if known.record.Accused {
		if now.Sub(known.seenAt) >= d.refutationGraceLocked(now) {
			d.removeLocked(suspect, known)
		}
		return
	}
	if suspect.accusedHere {
		suspect.accusedHere = false
		d.removal.accuseAfter = now.Add(d.removal.pause.next(d.random))
	}
	if now.Before(d.removal.accuseAfter) || now.Sub(known.seenAt) < d.refutationHold(known.record) {
		return
	}
	d.accuseLocked(suspect, known)
}

// trouble is why accusations may go unnoticed by the accused for a while.
type trouble struct {
	at    time.Time
	grace time.Duration
}

// note keeps the longer grace while an earlier one lasts.
func (t *trouble) note(now time.Time, grace time.Duration) {
	t.grace = max(grace, t.graceAt(now))
	t.at = now
}

// graceAt returns the grace that still applies, or zero.
func (t *trouble) graceAt(now time.Time) time.Duration {
	if t.at.IsZero() || now.Sub(t.at) >= t.grace {
		return 0
	}
	return t.grace
}

// interruptionEndedLocked notes what an interruption of the watch tells of the
// others' watches: one that ended with the first reading may have been a blip
// that they too recover from at once; a longer one was an outage.
func (d *HeartbeatDetector) interruptionEndedLocked(now time.Time) {
	if !d.interrupted {
		return
	}
	d.interrupted = false
	if now.Sub(d.interruptedAt) <= d.options.Watch.RecoverySpread+d.options.Timeout {
		d.trouble.note(now, d.options.BlipGrace)
		return
	}
	d.trouble.note(now, d.options.OutageGrace)
}

// refutationGraceLocked returns how long an accusation must have stood.
func (d *HeartbeatDetector) refutationGraceLocked(now time.Time) time.Duration {
	return max(d.options.RefutationGrace, d.trouble.graceAt(now))
}

// refutationHold returns how long a record must have stood before its member
// may be accused.
func (d *HeartbeatDetector) refutationHold(record heartbeatRecord) time.Duration {
	if record.Refutations == 0 {
		return 0
	}
	return d.options.RefutationHold << min(record.Refutations-1, maxHoldDoublings)
}

func (d *HeartbeatDetector) accuseLocked(suspect *suspect, known *registeredMember) {
	accusation := known.record
	accusation.Accused = true
	key := HeartbeatPrefix + suspect.member.Name
	operation := outside.Operation{Kind: outside.OperationPut, Key: key, Value: accusation.encode()}
	d.writeVerdictLocked(suspect, known, operation, func() {
		suspect.accusedHere = true
		d.log.Info().Str("member", suspect.member.ID()).Str("reason", "probes unanswered").Msg("member accused")
	})
}

// removeLocked deletes the record if the accusation still stands there.
func (d *HeartbeatDetector) removeLocked(suspect *suspect, known *registeredMember) {
	key := HeartbeatPrefix + suspect.member.Name
	operation := outside.Operation{Kind: outside.OperationDelete, Key: key}
	d.writeVerdictLocked(suspect, known, operation, func() {
		d.removal.pause.reset()
		d.log.Info().Str("member", suspect.member.ID()).Str("reason", "accusation not refuted").Msg("member removed")
	})
}

// writeVerdictLocked makes one try. Whatever the reply, the next tick goes by
// the record as it then stands, so a lost reply needs no special care.
func (d *HeartbeatDetector) writeVerdictLocked(suspect *suspect, known *registeredMember, operation outside.Operation, succeeded func()) {
	suspect.writing = true
	d.transactLocked(operation.Key, known.modRevision, operation, func(done bool, err error) {
		suspect.writing = false
		if err != nil {
			suspect.retryAt = d.clock.Now().Add(jittered(d.random, d.options.Timeout))
		}
		if done {
			succeeded()
		}
	})
}
