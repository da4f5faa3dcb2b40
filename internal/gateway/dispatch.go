package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// dispatch sends waiting requests to endpoints while these have free capacity.
func (s *shard) dispatch(g *group, section *criticalSection) {
	g.pass++
	for {
		flow := g.next()
		if flow == nil {
			return
		}
		e := flow.head()
		if s.refuseIfInfeasible(e, section) {
			continue
		}
		choice := g.router.Pick(g.name, e.routing())
		if choice.Verdict == router.Reserved {
			s.dispatchTo(e, choice.Reservation, section)
			continue
		}
		if s.blocked(e, choice, section) {
			return
		}
	}
}

// routing returns the routing constraints of the entry's next attempt.
func (e *entry) routing() *router.Request {
	e.stream.routing.Avoid = e.avoid
	e.stream.routing.PinnedVersion = e.flow.key.version
	return &e.stream.routing
}

// refuseIfInfeasible refuses a request whose refusal time has come. It also refuses
// one that would probably occupy an endpoint without being finished, because an
// attempt may take longer than the time left, but only if another request of the
// group waits and no more than half of the request's time is left. It reports
// whether the request was refused.
func (s *shard) refuseIfInfeasible(e *entry, section *criticalSection) bool {
	left := e.refuseAt.Sub(section.now)
	if left > 0 && (e.group.waiting < 2 || float64(left) >= e.group.service.high) {
		return false
	}
	if left > 0 && left*2 > e.refuseAt.Sub(e.request.Accepted) {
		return false
	}
	code := result.DeadlineUnreachable
	if left <= 0 {
		code = result.DeadlinePassed
	}
	refusal := refusalf(code, "the time left, %s, is too short", left.Round(time.Millisecond))
	refusal.RetryAfter = s.retryAfter(e, section.now)
	s.abort(e, *refusal, section)
	return true
}

// blocked handles a request that no endpoint can take now, and reports whether
// that holds for the whole group.
func (s *shard) blocked(e *entry, choice router.Choice, section *criticalSection) bool {
	e.flow.blockedPass = e.group.pass
	switch choice.Verdict {
	case router.Full:
		return e.unconstrained()
	case router.CircuitOpen:
		if !choice.RetryAt.IsZero() {
			s.scheduleDispatch(e.group, choice.RetryAt, section.now)
		}
	case router.NoEndpoint:
		s.noEndpoint(e, section)
	}
	return false
}

// unconstrained reports whether the request needs neither an adapter nor a
// specific version. Any endpoint of the group could take it, so if it is blocked,
// all others are.
func (e *entry) unconstrained() bool {
	return e.stream.routing.Adapter == "" && e.flow.key.version == ""
}

// noEndpoint handles a request for which no suitable endpoint exists. For a model
// the demand is reported and the request waits for a replica. A pool request is
// refused, since nothing will be loaded. A stream that has begun is refused as
// broken if no replica of its version will be loaded any more.
func (s *shard) noEndpoint(e *entry, section *criticalSection) {
	switch {
	case e.isPool():
		refusal := refusalf(result.NoBackEnd, "no server of the pool takes requests")
		refusal.RetryAfter = defaultRetryAfter
		s.abort(e, *refusal, section)
		e.flow.blockedPass = 0
	case e.flow.key.version != "" && e.flow.key.version != s.gateway.currentVersion(e):
		s.abort(e, *refusalf(result.StreamBroken, "no replica of version %s can continue the stream", e.flow.key.version), section)
		e.flow.blockedPass = 0
	default:
		e.cold = true
		s.reportDemand(e.flow.demand, section.now)
	}
}

// currentVersion returns the version that new replicas of the entry's base model
// are loaded with; empty if none is to be loaded.
func (g *Gateway) currentVersion(e *entry) string {
	base, known := g.config.Table.Row(e.group.name)
	if !known || base.MaxReplicas == 0 {
		return ""
	}
	return base.Version
}

// scheduleDispatch schedules a dispatch of the group at the given time, unless an
// earlier one is scheduled.
func (s *shard) scheduleDispatch(g *group, at, now time.Time) {
	if g.dispatchTimer.position > 0 && g.dispatchTimer.at.After(now) && !at.Before(g.dispatchTimer.at) {
		return
	}
	s.schedule(&g.dispatchTimer, at)
}

// dispatchTo takes an entry from the queue and sends it to its reserved endpoint.
// A key that is needed and not held yet is claimed first.
func (s *shard) dispatchTo(e *entry, reservation router.Reservation, section *criticalSection) {
	s.dequeue(e)
	e.group.charge(e.flow)
	if e.attempts == 0 {
		e.group.budget.refill()
		s.gateway.budget.refill()
	}
	if e.claim.needed && !e.claim.held {
		s.claim(e, reservation, section)
		return
	}
	s.launch(e, reservation, section)
}

// refuseUnreachableDeadlines refuses the waiting requests whose deadline is before
// the time at which the first replica will be ready, or all of them if no cell can
// load the model.
func (s *shard) refuseUnreachableDeadlines(g *group, section *criticalSection) {
	if g.waiting == 0 {
		return
	}
	capacity := g.router.Capacity(g.name)
	if capacity.Usable > 0 {
		return
	}
	for _, flow := range g.flows {
		for flow.waiting > 0 {
			e := flow.earliest()
			refusal := unservable(e, capacity)
			if refusal == nil && capacity.ReadyAt.After(e.refuseAt) {
				refusal = refusalf(result.DeadlineUnreachable, "the next replica will be ready after the time limit")
				refusal.RetryAfter = s.retryAfter(e, section.now)
			}
			if refusal == nil {
				break
			}
			s.abort(e, *refusal, section)
		}
	}
}

// earliest returns the waiting entry with the earliest deadline.
func (f *flow) earliest() *entry {
	var earliest *entry
	for priority := range f.heaps {
		if len(f.heaps[priority]) == 0 {
			continue
		}
		head := f.heaps[priority][0]
		if earliest == nil || head.refuseAt.Before(earliest.refuseAt) {
			earliest = head
		}
	}
	return earliest
}

// retryAfter estimates the delay after which the caller should send the request
// again.
func (s *shard) retryAfter(e *entry, now time.Time) time.Duration {
	capacity := e.group.router.Capacity(e.group.name)
	return e.group.estimate(e, capacity, now).retryAfter()
}
