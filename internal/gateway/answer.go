package gateway

import (
	"github.com/hatchplank/hatchplank/internal/result"
)

// finish answers the request successfully.
func (s *shard) finish(e *entry, answer Answer, section *criticalSection) {
	server := answer.Server
	s.markFinal(e, section)
	s.counts.served++
	event := e.event(section, EventServed)
	event.Server = server
	event.Replayed = answer.Replayed
	e.post(section, delivery{answer: &answer})
}

// refuse answers the request with its final refusal. The caller must dequeue it
// and cancel its attempt; abort does both.
func (s *shard) refuse(e *entry, refusal result.Refusal, section *criticalSection) {
	s.markFinal(e, section)
	s.counts.refused[refusal.Code]++
	event := e.event(section, EventRefused)
	event.Refusal = refusal
	e.post(section, delivery{refusal: &refusal})
}

// abort refuses a request in any phase: it is removed from its queue, its attempt
// is cancelled, and its claim is released if it is proved not to have run.
func (s *shard) abort(e *entry, refusal result.Refusal, section *criticalSection) {
	if e.phase == phaseFinal {
		return
	}
	refusal.Ran = max(refusal.Ran, e.ranSoFar())
	phase := e.phase
	if phase == phaseWaiting {
		s.dequeue(e)
	}
	s.refuse(e, refusal, section)
	if phase == phaseRunning && e.attempt != nil {
		s.cancelAttempt(e.attempt, section)
		return
	}
	s.releaseClaim(e)
}

// markFinal marks a request as finally answered and stops its timers.
func (s *shard) markFinal(e *entry, section *criticalSection) {
	e.phase = phaseFinal
	s.unschedule(&e.expiry)
	s.unschedule(&e.backOff)
	section.finishedWork++
}

// expire refuses a request whose refusal time has come, shortly before its
// deadline.
func (s *shard) expire(e *entry, section *criticalSection) {
	if e.phase == phaseFinal {
		return
	}
	code := result.DeadlinePassed
	if e.attempt != nil && !e.repeatable() {
		code = result.OutcomeUnknown
	}
	refusal := refusalf(code, "the time limit is over")
	refusal.RetryAfter = s.retryAfter(e, section.now)
	s.abort(e, *refusal, section)
}

// cancel aborts the request because the caller has disconnected.
func (e *entry) cancel() {
	s := e.shard
	section := s.lock()
	s.abort(e, *refusalf(result.CallerGone, "the caller closed the connection"), section)
	s.unlock(section)
}
