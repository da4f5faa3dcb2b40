package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// abandonAfter is how long an attempt that was cancelled may take to end before
// its place is given back all the same.
const abandonAfter = 5 * time.Second

// attempt is one dispatch of an entry to a back end. It is the sink of its own
// stream, so that nothing of another attempt can reach it.
type attempt struct {
	id      outside.AttemptID
	entry   *entry
	place   router.Reservation
	started time.Time
	// cancelled work is not waited for longer than abandonAfter.
	cancel  func()
	abandon timerItem
	// ended: End or Failed came, or the attempt was abandoned.
	ended bool
	// stopped: the attempt was cancelled. The time it held its place counts as
	// service time: to leave it out would keep only the short attempts, and so
	// admit more than can be served.
	stopped bool
	// answered: the attempt's first chunk came.
	answered bool
}

// launch sends an attempt. The place is reserved, the claim, if any, held.
func (s *shard) launch(e *entry, place router.Reservation, turn *turn) {
	a := &attempt{id: s.gateway.newAttempt(), entry: e, place: place, started: turn.now}
	a.abandon = timerItem{kind: timerAbandon, attempt: a}
	e.phase = phaseRunning
	e.attempt = a
	e.attempts++
	e.dispatchedAt = turn.now
	e.group.running++
	e.flow.demand.running++
	s.gateway.drain.open.Add(1)
	a.note(e.event(turn, EventDispatched))
	if e.isPool() {
		s.gateway.config.BackEnds.Call(a.backEndRequest(), a.responded)
		return
	}
	a.cancel = s.gateway.config.Engines.Generate(a.generateRequest(), a)
}

func (a *attempt) note(event *Event) {
	event.Attempt = a.id
	event.Server = a.place.Endpoint.Server
	event.Slot = a.place.Endpoint.Slot
}

func (a *attempt) generateRequest() outside.GenerateRequest {
	e := a.entry
	return outside.GenerateRequest{
		Server:     a.place.Endpoint.Server,
		Attempt:    a.id,
		RequestID:  e.request.ID,
		Model:      baseOf(e.row),
		Adapter:    e.stream.routing.Adapter,
		Version:    a.place.Endpoint.Version,
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
		Server:      a.place.Endpoint.Server,
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

// current reports whether the entry still waits for this attempt.
func (a *attempt) current() bool {
	return !a.ended && a.entry.attempt == a && a.entry.phase == phaseRunning
}

// names reports whether a piece of an answer belongs to this attempt.
func (a *attempt) names(id outside.AttemptID) bool {
	return id == a.id || a.entry.shard.gateway.config.IgnoreAttemptIdentity
}

// Chunk implements outside.GenerateSink.
func (a *attempt) Chunk(chunk outside.Chunk) {
	s := a.entry.shard
	turn := s.begin()
	if a.names(chunk.Attempt) && a.current() {
		s.receive(a, chunk, turn)
	}
	s.end(turn)
}

// End implements outside.GenerateSink. The end of a stream with chunks missing
// is a failure.
func (a *attempt) End(end outside.GenerateEnd) {
	s := a.entry.shard
	turn := s.begin()
	if a.names(end.Attempt) && !a.ended {
		s.streamEnded(a, end, turn)
	}
	s.end(turn)
}

// Failed implements outside.GenerateSink.
func (a *attempt) Failed(err *outside.AttemptError) {
	s := a.entry.shard
	turn := s.begin()
	if err == nil {
		err = &outside.AttemptError{Attempt: a.id, Ran: result.RanUnknown, Reason: reasonFailed}
	}
	if err.Attempt == a.id && !a.ended {
		s.settle(a, outcomeOf(err), &err.Load, turn)
		s.failed(a, err.Ran, err.Reason, turn)
	}
	s.end(turn)
}

// settle ends an attempt and gives its place back, exactly once.
func (s *shard) settle(a *attempt, outcome router.Outcome, load *outside.LoadHint, turn *turn) {
	a.ended = true
	s.unschedule(&a.abandon)
	g := a.entry.group
	g.running--
	g.lastUsed = turn.now
	a.entry.flow.demand.running--
	g.router.Done(a.place, outcome, load)
	if outcome == router.Succeeded || a.stopped {
		g.service.add(turn.now.Sub(a.started))
	}
	if load != nil && load.Leaving {
		turn.rejects = append(turn.rejects, a.rejection(true))
	}
	turn.closed++
}

func (a *attempt) rejection(leaving bool) rejection {
	return rejection{
		pool:    a.entry.isPool(),
		leaving: leaving,
		model:   a.entry.group.name,
		server:  a.place.Endpoint.Server,
		slot:    a.place.Endpoint.Slot,
	}
}

// stop cancels an attempt whose result is no longer wanted.
func (s *shard) stop(a *attempt, turn *turn) {
	if a.ended {
		return
	}
	a.stopped = true
	s.schedule(&a.abandon, turn.now.Add(abandonAfter))
	if a.cancel != nil {
		a.cancel()
	}
}

// abandoned gives back the place of an attempt that does not end.
func (s *shard) abandoned(a *attempt, turn *turn) {
	if a.ended {
		return
	}
	outcome := router.Failed
	if !a.answered && !a.entry.isPool() {
		outcome = router.Unreachable
	}
	s.settle(a, outcome, nil, turn)
	s.dispatch(a.entry.group, turn)
}
