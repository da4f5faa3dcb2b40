package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// marginShare is the largest part of a time limit that the margin takes.
const marginShare = 10

// decision says what became of a new request.
type decision uint8

const (
	// decided: the request waits, runs or was refused.
	decided decision = iota
	// roomNeeded: it is to be decided on again when room was made, which can't
	// be done under the shard's lock.
	roomNeeded
)

// admit counts a new request and decides on it.
func (s *shard) admit(e *entry, key string, turn *turn) decision {
	e.group = s.groupFor(e, key)
	e.group.lastUsed = turn.now
	e.flow = s.flowFor(e, "")
	e.flow.arrivals.note(turn.now)
	s.noteArrival(e.flow.demand, turn.now)
	e.refuseAt = s.gateway.refusalTime(e, turn.now)
	return s.decide(e, turn, true)
}

// decide queues a new request or refuses it, unless room may be made for it.
func (s *shard) decide(e *entry, turn *turn, mayMakeRoom bool) decision {
	estimate, refusal := s.admissible(e, turn)
	if refusal == nil && !estimate.immediate && s.gateway.full(&e.request) {
		if mayMakeRoom && s.gateway.canMakeRoom(&e.request) {
			return roomNeeded
		}
		refusal = queueRefusal(result.QueueFull, "this node's queues are full", estimate)
	}
	if refusal == nil {
		refusal = s.makeRoom(e, estimate, turn)
	}
	if refusal != nil {
		s.wantIfCold(e, turn)
		s.refuse(e, *refusal, turn)
		return decided
	}
	e.event(turn, EventAccepted)
	e.expiry = timerItem{kind: timerExpiry, entry: e}
	s.schedule(&e.expiry, e.refuseAt)
	s.enqueue(e)
	s.dispatch(e.group, turn)
	return decided
}

// refusalTime is the request's deadline less the margin. A request without a
// deadline gets its row's limit.
func (g *Gateway) refusalTime(e *entry, now time.Time) time.Time {
	if e.request.Accepted.IsZero() {
		e.request.Accepted = now
	}
	if e.request.Deadline.IsZero() {
		e.request.Deadline = e.request.Accepted.Add(e.row.TimeLimit)
	}
	limit := e.request.Deadline.Sub(e.request.Accepted)
	margin := min(g.config.Limits.Margin, limit/marginShare)
	return e.request.Deadline.Add(-margin)
}

// admissible returns why a request is refused at once, whatever else waits; nil
// if it may wait, with what it has to expect.
func (s *shard) admissible(e *entry, turn *turn) (estimate, *result.Refusal) {
	var expected estimate
	if s.gateway.drain.draining.Load() {
		return expected, refusalf(result.NodeDraining, "this node is being stopped")
	}
	if !e.refuseAt.After(turn.now) {
		return expected, refusalf(result.DeadlinePassed, "the time limit was over when the request arrived")
	}
	capacity := e.group.router.Capacity(e.group.name)
	if refusal := unservable(e, capacity); refusal != nil {
		return expected, refusal
	}
	expected = e.group.estimate(e, capacity, turn.now)
	if expected.unreachable(e.refuseAt.Sub(turn.now)) {
		refusal := refusalf(result.DeadlineUnreachable, "the expected wait is %s, the time left %s",
			expected.wait.Round(time.Millisecond), e.refuseAt.Sub(turn.now).Round(time.Millisecond))
		refusal.RetryAfter = expected.retryAfter()
		return expected, refusal
	}
	return expected, nil
}

// unservable refuses a request that no cell and no server can take.
func unservable(e *entry, capacity router.Capacity) *result.Refusal {
	if capacity.Refused == "" || capacity.Usable > 0 {
		return nil
	}
	refusal := refusalf(result.NoBackEnd, "the model can't be loaded: %s", capacity.Refused)
	refusal.RetryAfter = unknownRetryAfter
	return refusal
}

// makeRoom keeps a group's queue bounded: a full one takes a request only at the
// cost of one of lower priority, or of a tenant above its share.
func (s *shard) makeRoom(e *entry, estimate estimate, turn *turn) *result.Refusal {
	if e.group.waiting < s.gateway.config.Limits.QueueLength {
		return nil
	}
	if victim := e.group.lowerThan(e.request.Priority); victim != nil {
		s.displace(victim, result.Displaced, "gave way to a request of higher priority", estimate, turn)
		return nil
	}
	return s.shareRoom(e, estimate, turn)
}

// shareRoom divides a full queue among the flows by weight.
func (s *shard) shareRoom(e *entry, estimate estimate, turn *turn) *result.Refusal {
	most := e.group.mostOverShare(e.request.Priority)
	switch {
	case most == nil || most == e.flow && e.group.occupiedFlows() == 1:
		return queueRefusal(result.QueueFull, "the queue of the model is full", estimate)
	case most == e.flow || e.flow.load(1) > most.load(0):
		return queueRefusal(result.OverShare, "the tenant has used its share of the queue", estimate)
	}
	s.displace(most.last(e.request.Priority), result.OverShare, "gave way to a tenant below its share", estimate, turn)
	return nil
}

func queueRefusal(code result.Code, message string, estimate estimate) *result.Refusal {
	refusal := refusalf(code, "%s", message)
	refusal.RetryAfter = estimate.retryAfter()
	return refusal
}

func (s *shard) displace(victim *entry, code result.Code, message string, estimate estimate, turn *turn) {
	refusal := queueRefusal(code, message, estimate)
	s.giveUp(victim, *refusal, turn)
}

// enqueue puts an entry into its flow.
func (s *shard) enqueue(e *entry) {
	e.phase = phaseWaiting
	e.group.push(e)
	s.byPriority[e.request.Priority]++
	s.gateway.room.add(&e.request, 1)
	e.flow.demand.waiting++
}

// dequeue takes an entry out of its flow.
func (s *shard) dequeue(e *entry) {
	e.group.remove(e)
	s.byPriority[e.request.Priority]--
	s.gateway.room.add(&e.request, -1)
	e.flow.demand.waiting--
}
