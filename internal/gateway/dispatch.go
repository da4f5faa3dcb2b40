package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
)

// dispatch gives waiting requests to endpoints while there are places.
func (s *shard) dispatch(g *group, turn *turn) {
	g.pass++
	for {
		flow := g.next()
		if flow == nil {
			return
		}
		e := flow.head()
		if s.refuseHopeless(e, turn) {
			continue
		}
		choice := g.router.Pick(g.name, e.routing())
		if choice.Verdict == router.Reserved {
			s.start(e, choice.Reservation, turn)
			continue
		}
		if s.blocked(e, choice, turn) {
			return
		}
	}
}

// routing is what the router must know of the request.
func (e *entry) routing() *router.Request {
	e.stream.routing.Avoid = e.avoid
	e.stream.routing.PinnedVersion = e.flow.key.version
	return &e.stream.routing
}

// refuseHopeless refuses a request that would probably use a place in vain,
// because an attempt may take longer than the time left, if another waits for
// the place.
func (s *shard) refuseHopeless(e *entry, turn *turn) bool {
	left := e.refuseAt.Sub(turn.now)
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
	refusal.RetryAfter = s.retryAfter(e, turn.now)
	s.giveUp(e, *refusal, turn)
	return true
}

// blocked handles a request for which there is no place, and reports whether
// the whole group is blocked.
func (s *shard) blocked(e *entry, choice router.Choice, turn *turn) bool {
	e.flow.blockedPass = e.group.pass
	switch choice.Verdict {
	case router.Full:
		return e.plainRouting()
	case router.CircuitOpen:
		if !choice.RetryAt.IsZero() {
			s.wakeAt(e.group, choice.RetryAt, turn.now)
		}
	case router.NoEndpoint:
		s.noEndpoint(e, turn)
	}
	return false
}

// plainRouting reports whether any endpoint of the group could take the
// request, so that what blocks it blocks all.
func (e *entry) plainRouting() bool {
	return e.stream.routing.Adapter == "" && e.flow.key.version == ""
}

// noEndpoint handles a request that no known endpoint can take: a model is
// asked for, a pool has nothing to wait for, and a stream that has begun is
// broken if no endpoint has its version and none will be loaded with it.
func (s *shard) noEndpoint(e *entry, turn *turn) {
	switch {
	case e.isPool():
		refusal := refusalf(result.NoBackEnd, "no server of the pool takes requests")
		refusal.RetryAfter = unknownRetryAfter
		s.giveUp(e, *refusal, turn)
		e.flow.blockedPass = 0
	case e.flow.key.version != "" && e.flow.key.version != s.gateway.currentVersion(e):
		s.giveUp(e, *refusalf(result.StreamBroken, "no replica of version %s can continue the stream", e.flow.key.version), turn)
		e.flow.blockedPass = 0
	default:
		e.cold = true
		s.want(e.flow.demand, turn.now)
	}
}

// currentVersion is the version that replicas of the entry's base model are
// loaded with now; empty: none is.
func (g *Gateway) currentVersion(e *entry) string {
	base, known := g.config.Table.Row(e.group.name)
	if !known || base.MaxReplicas == 0 {
		return ""
	}
	return base.Version
}

// wakeAt makes the group try again at a time, or earlier.
func (s *shard) wakeAt(g *group, at, now time.Time) {
	if g.wake.position > 0 && g.wake.at.After(now) && !at.Before(g.wake.at) {
		return
	}
	s.schedule(&g.wake, at)
}

// start gives an entry its reserved place: the key is claimed first if there
// is one and it is not held yet.
func (s *shard) start(e *entry, place router.Reservation, turn *turn) {
	s.dequeue(e)
	e.group.charge(e.flow)
	if e.attempts == 0 {
		e.group.budget.earn()
		s.gateway.budget.earn()
	}
	if e.claim.needed && !e.claim.held {
		s.claim(e, place, turn)
		return
	}
	s.launch(e, place, turn)
}

// refuseUnreachable refuses the waiting requests whose deadline comes before
// the first replica will be ready, or all if no cell can load the model.
func (s *shard) refuseUnreachable(g *group, turn *turn) {
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
				refusal.RetryAfter = s.retryAfter(e, turn.now)
			}
			if refusal == nil {
				break
			}
			s.giveUp(e, *refusal, turn)
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

// retryAfter estimates when a new try of the same request makes sense.
func (s *shard) retryAfter(e *entry, now time.Time) time.Duration {
	capacity := e.group.router.Capacity(e.group.name)
	return e.group.estimate(e, capacity, now).retryAfter()
}
