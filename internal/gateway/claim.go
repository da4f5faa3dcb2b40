package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// maxClaimWait is how long an endpoint stays reserved while a key is claimed.
// After that the endpoint's state may have changed, so the router picks again.
const maxClaimWait = 500 * time.Millisecond

// claim requests the key of a non-repeatable request. Its endpoint stays
// reserved meanwhile.
func (s *shard) claim(e *entry, reservation router.Reservation, section *criticalSection) {
	e.phase = phaseClaiming
	e.claim.requestedAt = section.now
	if e.claim.attempt == "" {
		e.claim.attempt = s.gateway.newAttempt()
	}
	s.gateway.drain.openWork.Add(1)
	s.gateway.config.Claims.Claim(e.claimKey(), e.claim.attempt, digest(&e.request), e.refuseAt, func(outcome claims.Result) {
		s.claimDecided(e, reservation, outcome)
	})
}

// claimDecided handles a claim's result, which may arrive after the request got
// its final answer.
func (s *shard) claimDecided(e *entry, reservation router.Reservation, outcome claims.Result) {
	section := s.lock()
	section.finishedWork++
	e.claim.held = outcome.Verdict == claims.Granted
	if e.phase == phaseClaiming && e.claim.held && s.claimInTime(e, section.now) {
		s.launch(e, reservation, section)
	} else {
		e.group.router.Done(reservation, router.Neutral, nil)
		s.claimNotUsed(e, outcome, section)
	}
	s.dispatch(e.group, section)
	s.unlock(section)
}

// claimInTime reports whether the reserved endpoint may still be used.
func (s *shard) claimInTime(e *entry, now time.Time) bool {
	return now.Sub(e.claim.requestedAt) <= maxClaimWait && now.Before(e.refuseAt)
}

// claimNotUsed handles a claim's result that does not lead to an attempt.
func (s *shard) claimNotUsed(e *entry, outcome claims.Result, section *criticalSection) {
	if outcome.Verdict == claims.Unavailable {
		// A minority of the claim's replicas may have granted it; release those
		// votes.
		s.gateway.config.Claims.Release(e.claimKey(), e.claim.attempt)
	}
	switch {
	case e.phase != phaseClaiming:
		s.releaseClaim(e)
	case e.claim.held:
		s.enqueue(e)
	default:
		s.claimRefused(e, outcome, section)
	}
}

// claimRefused answers a request whose claim was not granted.
func (s *shard) claimRefused(e *entry, outcome claims.Result, section *criticalSection) {
	switch outcome.Verdict {
	case claims.Conflict:
		s.abort(e, *refusalf(result.KeyConflict, "the key was used for another request"), section)
	case claims.Denied:
		s.claimDenied(e, outcome, section)
	default:
		refusal := refusalf(result.ClaimUnavailable, "the key could not be claimed in time")
		refusal.RetryAfter = defaultRetryAfter
		s.abort(e, *refusal, section)
	}
}

// claimDenied answers with the outcome of the attempt that holds the key, or
// refuses the request if no outcome is recorded.
func (s *shard) claimDenied(e *entry, outcome claims.Result, section *criticalSection) {
	if outcome.Outcome == nil {
		refusal := refusalf(result.AlreadyClaimed, "another attempt holds the key and its outcome is not recorded")
		refusal.Ran = result.RanUnknown
		refusal.RetryAfter = defaultRetryAfter
		s.abort(e, *refusal, section)
		return
	}
	if outcome.Outcome.Truncated {
		s.refuseTruncated(e, section)
		return
	}
	s.replay(e, *outcome.Outcome, section)
}

// refuseTruncated refuses a request that ran earlier, but whose recorded outcome
// can't be replayed.
func (s *shard) refuseTruncated(e *entry, section *criticalSection) {
	refusal := refusalf(result.AlreadyClaimed, "the request ran; its answer was too large to be kept")
	refusal.Ran = result.RanYes
	s.abort(e, *refusal, section)
}

// releaseClaim releases the key of a refused request that is proved not to have
// run.
func (s *shard) releaseClaim(e *entry) {
	if !e.claim.held || e.attempt != nil || e.ran != result.RanNo || e.stream.next > 0 {
		return
	}
	e.claim.held = false
	s.gateway.config.Claims.Release(e.claimKey(), e.claim.attempt)
}

// digest hashes the fields that must be equal for two requests with the same
// key to count as the same request.
func digest(request *Request) uint64 {
	hash := xxhash.New()
	for _, part := range []string{request.Model, request.Pool, request.Method, request.Path, request.ContentType} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(request.Body)
	return hash.Sum64()
}
