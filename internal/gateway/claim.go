package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// longestClaim is how long a place stays reserved for a claim. After that the
// endpoint may have changed, and is chosen anew.
const longestClaim = 500 * time.Millisecond

// claim asks for the key of a non-repeatable request, while its place stays
// reserved.
func (s *shard) claim(e *entry, place router.Reservation, turn *turn) {
	e.phase = phaseClaiming
	e.claim.asked = turn.now
	if e.claim.attempt == "" {
		e.claim.attempt = s.gateway.newAttempt()
	}
	s.gateway.drain.open.Add(1)
	s.gateway.config.Claims.Claim(e.claimKey(), e.claim.attempt, digest(&e.request), e.refuseAt, func(outcome claims.Result) {
		s.claimed(e, place, outcome)
	})
}

// claimed handles a claim's result, which may come after the request's end.
func (s *shard) claimed(e *entry, place router.Reservation, outcome claims.Result) {
	turn := s.begin()
	turn.closed++
	e.claim.held = outcome.Verdict == claims.Granted
	if e.phase == phaseClaiming && e.claim.held && s.inTime(e, turn.now) {
		s.launch(e, place, turn)
	} else {
		e.group.router.Done(place, router.Neutral, nil)
		s.notLaunched(e, outcome, turn)
	}
	s.dispatch(e.group, turn)
	s.end(turn)
}

// inTime reports whether the reserved place may still be used.
func (s *shard) inTime(e *entry, now time.Time) bool {
	return now.Sub(e.claim.asked) <= longestClaim && now.Before(e.refuseAt)
}

// notLaunched handles a claim's result that leads to no attempt.
func (s *shard) notLaunched(e *entry, outcome claims.Result, turn *turn) {
	if outcome.Verdict == claims.Unavailable {
		// A minority may have granted the claim; it is not used.
		s.gateway.config.Claims.Release(e.claimKey(), e.claim.attempt)
	}
	switch {
	case e.phase != phaseClaiming:
		s.releaseClaim(e)
	case e.claim.held:
		s.enqueue(e)
	default:
		s.claimRefused(e, outcome, turn)
	}
}

// claimRefused answers a request whose key was not granted to it.
func (s *shard) claimRefused(e *entry, outcome claims.Result, turn *turn) {
	switch outcome.Verdict {
	case claims.Conflict:
		s.giveUp(e, *refusalf(result.KeyConflict, "the key was used for another request"), turn)
	case claims.Denied:
		s.denied(e, outcome, turn)
	default:
		refusal := refusalf(result.ClaimUnavailable, "the key could not be claimed in time")
		refusal.RetryAfter = unknownRetryAfter
		s.giveUp(e, *refusal, turn)
	}
}

// denied gives back the outcome of the run that holds the key.
func (s *shard) denied(e *entry, outcome claims.Result, turn *turn) {
	if outcome.Outcome == nil {
		refusal := refusalf(result.AlreadyClaimed, "another attempt holds the key and its outcome is not recorded")
		refusal.Ran = result.RanUnknown
		refusal.RetryAfter = unknownRetryAfter
		s.giveUp(e, *refusal, turn)
		return
	}
	if outcome.Outcome.Truncated {
		s.refuseTruncated(e, turn)
		return
	}
	s.replay(e, *outcome.Outcome, turn)
}

func (s *shard) refuseTruncated(e *entry, turn *turn) {
	refusal := refusalf(result.AlreadyClaimed, "the request ran; its answer was too large to be kept")
	refusal.Ran = result.RanYes
	s.giveUp(e, *refusal, turn)
}

// releaseClaim frees the key of a request that is given up and proved not to
// have run.
func (s *shard) releaseClaim(e *entry) {
	if !e.claim.held || e.attempt != nil || e.ran != result.RanNo || e.stream.next > 0 {
		return
	}
	e.claim.held = false
	s.gateway.config.Claims.Release(e.claimKey(), e.claim.attempt)
}

// digest is a hash of what makes two requests the same.
func digest(request *Request) uint64 {
	hash := xxhash.New()
	for _, part := range []string{request.Model, request.Pool, request.Method, request.Path, request.ContentType} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(request.Body)
	return hash.Sum64()
}
