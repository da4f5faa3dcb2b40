package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// marginShare is the largest part of a time limit that the margin takes.
const marginShare = 10

// admit queues a new request or refuses it at once.
func (s *shard) admit(e *entry, key string, turn *turn) {
	e.group = s.groupFor(e, key)
	e.group.lastUsed = turn.now
	e.flow = s.flowFor(e, "")
	e.flow.arrivals.note(turn.now)
	s.noteArrival(e.flow.demand, turn.now)
	e.refuseAt = s.gateway.refusalTime(e, turn.now)
	if refusal := s.admissible(e, turn); refusal != nil {
		s.wantIfCold(e, turn)
		s.refuse(e, *refusal, turn)
		return
	}
	e.event(turn, EventAccepted)
	e.expiry = timerItem{kind: timerExpiry, entry: e}
	s.schedule(&e.expiry, e.refuseAt)
	s.enqueue(e)
	s.dispatch(e.group, turn)
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

// admissible returns why a request is refused at once; nil if it may wait.
func (s *shard) admissible(e *entry, turn *turn) *result.Refusal {
	if s.gateway.drain.draining.Load() {
		return refusalf(result.NodeDraining, "this node is being stopped")
	}
	if !e.refuseAt.After(turn.now) {
		return refusalf(result.DeadlinePassed, "the time limit was over when the request arrived")
	}
	capacity := e.group.router.Capacity(e.group.name)
	if refusal := unservable(e, capacity); refusal != nil {
		return refusal
	}
	estimate := e.group.estimate(e, capacity, turn.now)
	if estimate.unreachable(e.refuseAt.Sub(turn.now)) {
		refusal := refusalf(result.DeadlineUnreachable, "the expected wait is %s, the time left %s",
			estimate.wait.Round(time.Millisecond), e.refuseAt.Sub(turn.now).Round(time.Millisecond))
		refusal.RetryAfter = estimate.retryAfter()
		return refusal
	}
	return s.makeRoom(e, estimate, turn)
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

// makeRoom keeps the queues bounded: a full queue takes a request only at the
// cost of one of lower priority, or of a tenant above its share.
func (s *shard) makeRoom(e *entry, estimate estimate, turn *turn) *result.Refusal {
	limits := s.gateway.config.Limits
	full := s.gateway.waiting.Load() >= int64(limits.Waiting) ||
		s.gateway.waitingBytes.Load()+int64(len(e.request.Body)) > limits.WaitingBytes
	if full {
		return queueRefusal(result.QueueFull, "this node's queues are full", estimate)
	}
	if e.group.waiting < limits.QueueLength {
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
	s.gateway.waiting.Add(1)
	s.gateway.waitingBytes.Add(int64(len(e.request.Body)))
	e.flow.demand.waiting++
}

// dequeue takes an entry out of its flow.
func (s *shard) dequeue(e *entry) {
	e.group.remove(e)
	s.gateway.waiting.Add(-1)
	s.gateway.waitingBytes.Add(-int64(len(e.request.Body)))
	e.flow.demand.waiting--
}
