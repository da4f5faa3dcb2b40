package gateway

import (
	"github.com/hatchplank/hatchplank/internal/result"
)

// finish gives the complete answer.
func (s *shard) finish(e *entry, answer Answer, turn *turn) {
	server := answer.Server
	s.conclude(e, turn)
	s.counts.served++
	event := e.event(turn, EventServed)
	event.Server = server
	event.Replayed = answer.Replayed
	e.post(turn, delivery{answer: &answer})
}

// refuse gives the final refusal of a request that is in no queue and has no
// attempt.
func (s *shard) refuse(e *entry, refusal result.Refusal, turn *turn) {
	s.conclude(e, turn)
	s.counts.refused[refusal.Code]++
	event := e.event(turn, EventRefused)
	event.Refusal = refusal
	e.post(turn, delivery{refusal: &refusal})
}

// giveUp refuses a request in any phase: what is waiting is taken from the
// queue, what runs is cancelled, and a claim whose request is proved not to
// have run is released.
func (s *shard) giveUp(e *entry, refusal result.Refusal, turn *turn) {
	if e.phase == phaseFinal {
		return
	}
	refusal.Ran = max(refusal.Ran, e.ranSoFar())
	phase := e.phase
	if phase == phaseWaiting {
		s.dequeue(e)
	}
	s.refuse(e, refusal, turn)
	if phase == phaseRunning && e.attempt != nil {
		s.stop(e.attempt, turn)
		return
	}
	s.releaseClaim(e)
}

// conclude ends the responsibility for a request.
func (s *shard) conclude(e *entry, turn *turn) {
	e.phase = phaseFinal
	s.unschedule(&e.expiry)
	s.unschedule(&e.backOff)
	turn.closed++
}

// expire refuses a request whose deadline is near.
func (s *shard) expire(e *entry, turn *turn) {
	if e.phase == phaseFinal {
		return
	}
	code := result.DeadlinePassed
	if e.attempt != nil && !e.repeatable() {
		code = result.OutcomeUnknown
	}
	refusal := refusalf(code, "the time limit is over")
	refusal.RetryAfter = s.retryAfter(e, turn.now)
	s.giveUp(e, *refusal, turn)
}

// cancel tells that the caller is gone.
func (e *entry) cancel() {
	s := e.shard
	turn := s.begin()
	s.giveUp(e, *refusalf(result.CallerGone, "the caller closed the connection"), turn)
	s.end(turn)
}
