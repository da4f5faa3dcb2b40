package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// marginDivisor limits the refusal margin to one tenth of a request's time
// limit.
const marginDivisor = 10

// decision is the result of admitting a new request.
type decision uint8

const (
	// decided: the request was queued, dispatched or refused.
	decided decision = iota
	// displacementNeeded: the node's queues are full, and requests of lower
	// priority may be displaced. That locks other shards, so the caller must
	// release this shard's lock, displace them and decide again.
	displacementNeeded
)

// admit records the arrival of a new request and decides on it.
func (s *shard) admit(e *entry, key string, section *criticalSection) decision {
	e.group = s.groupFor(e, key)
	e.group.lastUsed = section.now
	e.flow = s.flowFor(e, "")
	e.flow.arrivals.record(section.now)
	s.recordArrival(e.flow.demand, section.now)
	e.refuseAt = s.gateway.refusalTime(e, section.now)
	return s.decide(e, section, true)
}

// decide queues a new request or refuses it. If the node's queues are full and
// mayDisplace is set, it may return displacementNeeded instead.
func (s *shard) decide(e *entry, section *criticalSection, mayDisplace bool) decision {
	estimate, refusal := s.checkAdmission(e, section)
	if refusal == nil && !estimate.immediate && s.gateway.queuesFull(&e.request) {
		if mayDisplace && s.gateway.canDisplaceFor(&e.request) {
			return displacementNeeded
		}
		refusal = queueRefusal(result.QueueFull, "this node's queues are full", estimate)
	}
	if refusal == nil {
		refusal = s.enforceQueueLength(e, estimate, section)
	}
	if refusal != nil {
		s.reportDemandIfCold(e, section)
		s.refuse(e, *refusal, section)
		return decided
	}
	e.event(section, EventAccepted)
	e.expiry = timerItem{kind: timerExpiry, entry: e}
	s.schedule(&e.expiry, e.refuseAt)
	s.enqueue(e)
	s.dispatch(e.group, section)
	return decided
}

// refusalTime returns the request's deadline minus the margin. A request without
// a deadline gets its row's time limit.
func (g *Gateway) refusalTime(e *entry, now time.Time) time.Time {
	if e.request.Accepted.IsZero() {
		e.request.Accepted = now
	}
	if e.request.Deadline.IsZero() {
		e.request.Deadline = e.request.Accepted.Add(e.row.TimeLimit)
	}
	limit := e.request.Deadline.Sub(e.request.Accepted)
	margin := min(g.config.Limits.Margin, limit/marginDivisor)
	return e.request.Deadline.Add(-margin)
}

// checkAdmission returns the expected wait of a request, or the refusal of one
// that can't be served in time, regardless of the queues' limits.
func (s *shard) checkAdmission(e *entry, section *criticalSection) (estimate, *result.Refusal) {
	var expected estimate
	if s.gateway.drain.draining.Load() {
		return expected, refusalf(result.NodeDraining, "this node is being stopped")
	}
	if !e.refuseAt.After(section.now) {
		return expected, refusalf(result.DeadlinePassed, "the time limit was over when the request arrived")
	}
	capacity := e.group.router.Capacity(e.group.name)
	if refusal := unservable(e, capacity); refusal != nil {
		return expected, refusal
	}
	expected = e.group.estimate(e, capacity, section.now)
	if expected.unreachable(e.refuseAt.Sub(section.now)) {
		refusal := refusalf(result.DeadlineUnreachable, "the expected wait is %s, the time left %s",
			expected.wait.Round(time.Millisecond), e.refuseAt.Sub(section.now).Round(time.Millisecond))
		refusal.RetryAfter = expected.retryAfter()
		return expected, refusal
	}
	return expected, nil
}

// unservable returns a refusal if no endpoint is usable and no cell can load the
// model; otherwise nil.
func unservable(e *entry, capacity router.Capacity) *result.Refusal {
	if capacity.Refused == "" || capacity.Usable > 0 {
		return nil
	}
	refusal := refusalf(result.NoBackEnd, "the model can't be loaded: %s", capacity.Refused)
	refusal.RetryAfter = defaultRetryAfter
	return refusal
}

// enforceQueueLength bounds a group's queue: a full queue admits a request only
// by displacing one of lower priority or of a flow above its fair share.
func (s *shard) enforceQueueLength(e *entry, estimate estimate, section *criticalSection) *result.Refusal {
	if e.group.waiting < s.gateway.config.Limits.QueueLength {
		return nil
	}
	if victim := e.group.displacementCandidate(e.request.Priority); victim != nil {
		s.displace(victim, result.Displaced, "gave way to a request of higher priority", estimate, section)
		return nil
	}
	return s.enforceFairShare(e, estimate, section)
}

// enforceFairShare divides a full queue among the flows by weight: it displaces
// a request of the flow most above its share, or refuses the new one.
func (s *shard) enforceFairShare(e *entry, estimate estimate, section *criticalSection) *result.Refusal {
	heaviest := e.group.mostOverShare(e.request.Priority)
	switch {
	case heaviest == nil || heaviest == e.flow && e.group.occupiedFlows() == 1:
		return queueRefusal(result.QueueFull, "the queue of the model is full", estimate)
	case heaviest == e.flow || e.flow.load(1) > heaviest.load(0):
		return queueRefusal(result.OverShare, "the tenant has used its share of the queue", estimate)
	}
	s.displace(heaviest.lateEntry(e.request.Priority), result.OverShare, "gave way to a tenant below its share", estimate, section)
	return nil
}

func queueRefusal(code result.Code, message string, estimate estimate) *result.Refusal {
	refusal := refusalf(code, "%s", message)
	refusal.RetryAfter = estimate.retryAfter()
	return refusal
}

// displace refuses a waiting request to free its place in the queue.
func (s *shard) displace(victim *entry, code result.Code, message string, estimate estimate, section *criticalSection) {
	refusal := queueRefusal(code, message, estimate)
	s.abort(victim, *refusal, section)
}

// enqueue adds an entry to its flow's queue and to the waiting counts.
func (s *shard) enqueue(e *entry) {
	e.phase = phaseWaiting
	e.group.push(e)
	s.byPriority[e.request.Priority]++
	s.gateway.queueUsage.add(&e.request, 1)
	e.flow.demand.waiting++
}

// dequeue removes an entry from its flow's queue and from the waiting counts.
func (s *shard) dequeue(e *entry) {
	e.group.remove(e)
	s.byPriority[e.request.Priority]--
	s.gateway.queueUsage.add(&e.request, -1)
	e.flow.demand.waiting--
}
