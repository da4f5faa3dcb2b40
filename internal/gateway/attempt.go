package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// cancelTimeout is how long a cancelled attempt may take to end before its
// reservation at the endpoint is released anyway.
const cancelTimeout = 5 * time.Second

// attempt is one dispatch of an entry to a back end. Each attempt is the sink of
// its own stream, so that chunks of another attempt can't be mixed in.
type attempt struct {
	id          outside.AttemptID
	entry       *entry
	reservation router.Reservation
	started     time.Time
	// cancel stops a generation at its server; nil for a pool request.
	cancel func()
	// abandon fires cancelTimeout after the attempt was cancelled.
	abandon timerItem
	// ended: the answer's end or a failure was received, or the attempt was
	// abandoned.
	ended bool
	// cancelled: the attempt was cancelled. The time that it occupied its
	// endpoint still counts as service time: without it only the short attempts
	// would be measured, and more would be admitted than can be served.
	cancelled bool
	// answered: the attempt's first chunk was received.
	answered bool
}

// launch sends a new attempt to its endpoint. The endpoint is already reserved,
// and the claim, if one is needed, is held.
func (s *shard) launch(e *entry, reservation router.Reservation, section *criticalSection) {
	a := &attempt{id: s.gateway.newAttempt(), entry: e, reservation: reservation, started: section.now}
	a.abandon = timerItem{kind: timerAbandon, attempt: a}
	e.phase = phaseRunning
	e.attempt = a
	e.attempts++
	e.dispatchedAt = section.now
	e.group.running++
	e.flow.demand.running++
	s.gateway.drain.openWork.Add(1)
	a.annotate(e.event(section, EventDispatched))
	if e.isPool() {
		s.gateway.config.BackEnds.Call(a.backEndRequest(), a.responded)
		return
	}
	a.cancel = s.gateway.config.Engines.Generate(a.generateRequest(), a)
}

// annotate adds the attempt's identity and endpoint to an event.
func (a *attempt) annotate(event *Event) {
	event.Attempt = a.id
	event.Server = a.reservation.Endpoint.Server
	event.Slot = a.reservation.Endpoint.Slot
}

func (a *attempt) generateRequest() outside.GenerateRequest {
	e := a.entry
	return outside.GenerateRequest{
		Server:     a.reservation.Endpoint.Server,
		Attempt:    a.id,
		RequestID:  e.request.ID,
		Model:      baseOf(e.row),
		Adapter:    e.stream.routing.Adapter,
		Version:    a.reservation.Endpoint.Version,
		Path:       e.request.Path,
		Body:       e.request.Body,
		Priority:   e.request.Priority,
		Deadline:   e.request.Deadline,
		Key:        e.request.Key,
		ResumeFrom: e.stream.next,
	}
}

func (a *attempt) backEndRequest() outside.BackEndRequest {
	e := a.entry
	return outside.BackEndRequest{
		Server:      a.reservation.Endpoint.Server,
		Attempt:     a.id,
		RequestID:   e.request.ID,
		Key:         e.request.Key,
		Method:      e.request.Method,
		Path:        e.request.Path,
		ContentType: e.request.ContentType,
		Body:        e.request.Body,
		Deadline:    e.request.Deadline,
	}
}

// current reports whether this is the attempt that the entry is waiting for.
func (a *attempt) current() bool {
	return !a.ended && a.entry.attempt == a && a.entry.phase == phaseRunning
}

// matches reports whether a chunk or end with the id belongs to this attempt.
func (a *attempt) matches(id outside.AttemptID) bool {
	return id == a.id || a.entry.shard.gateway.config.IgnoreAttemptIdentity
}

// Chunk implements outside.GenerateSink.
func (a *attempt) Chunk(chunk outside.Chunk) {
	s := a.entry.shard
	section := s.lock()
	if a.matches(chunk.Attempt) && a.current() {
		s.receiveChunk(a, chunk, section)
	}
	s.unlock(section)
}

// End implements outside.GenerateSink. The end of a stream of which chunks are
// missing is a failure.
func (a *attempt) End(end outside.GenerateEnd) {
	s := a.entry.shard
	section := s.lock()
	if a.matches(end.Attempt) && !a.ended {
		s.streamEnded(a, end, section)
	}
	s.unlock(section)
}

// Failed implements outside.GenerateSink.
func (a *attempt) Failed(err *outside.AttemptError) {
	s := a.entry.shard
	section := s.lock()
	if err == nil {
		err = &outside.AttemptError{Attempt: a.id, Ran: result.RanUnknown, Reason: reasonFailed}
	}
	if err.Attempt == a.id && !a.ended {
		s.finishAttempt(a, outcomeOf(err), &err.Load, section)
		s.attemptFailed(a, err.Ran, err.Reason, section)
	}
	s.unlock(section)
}

// finishAttempt marks an attempt as ended and releases its reservation at the
// endpoint. It is called exactly once for each attempt.
func (s *shard) finishAttempt(a *attempt, outcome router.Outcome, load *outside.LoadHint, section *criticalSection) {
	a.ended = true
	s.unschedule(&a.abandon)
	g := a.entry.group
	g.running--
	g.lastUsed = section.now
	a.entry.flow.demand.running--
	g.router.Done(a.reservation, outcome, load)
	if outcome == router.Succeeded || a.cancelled {
		g.service.add(section.now.Sub(a.started))
	}
	if load != nil && load.Leaving {
		section.rejects = append(section.rejects, a.rejection(true))
	}
	section.finishedWork++
}

// rejection identifies the attempt's endpoint for reject.
func (a *attempt) rejection(leaving bool) rejection {
	return rejection{
		pool:    a.entry.isPool(),
		leaving: leaving,
		model:   a.entry.group.name,
		server:  a.reservation.Endpoint.Server,
		slot:    a.reservation.Endpoint.Slot,
	}
}

// cancelAttempt cancels an attempt whose result is no longer needed.
func (s *shard) cancelAttempt(a *attempt, section *criticalSection) {
	if a.ended {
		return
	}
	a.cancelled = true
	s.schedule(&a.abandon, section.now.Add(cancelTimeout))
	if a.cancel != nil {
		a.cancel()
	}
}

// abandonAttempt releases the reservation of a cancelled attempt that did not
// end within cancelTimeout. An engine that never sent a chunk counts as
// unreachable.
func (s *shard) abandonAttempt(a *attempt, section *criticalSection) {
	if a.ended {
		return
	}
	outcome := router.Failed
	if !a.answered && !a.entry.isPool() {
		outcome = router.Unreachable
	}
	s.finishAttempt(a, outcome, nil, section)
	s.dispatch(a.entry.group, section)
}
