package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
)

// maxOwnChanges bounds the changes of a server's own requests that are kept. Where loads of other
// nodes are in force, a node sends a server a few requests per second at most.
const maxOwnChanges = 256

// LoadSource is where the load of a chosen server is from.
type LoadSource string

// The sources.
const (
	// LoadFromOwnRequests: only this node's requests in flight are known.
	LoadFromOwnRequests LoadSource = "own requests"
	// LoadFromReport: the server reported its load to this node.
	LoadFromReport LoadSource = "report"
	// LoadFromNodes: the newest load that any node observed, with others than this one
	// observing the server.
	LoadFromNodes LoadSource = "nodes"
)

// sharedLoad is the newest load that any node observed of a server.
type sharedLoad struct {
	// inForce: nodes other than this one observe the server.
	inForce bool
	load    observation.Load
	at      time.Time
	// othersAt is the time of the newest load that another node observed.
	othersAt time.Time
}

// ownChange is a change of the number of this node's requests at a server.
type ownChange struct {
	at     time.Time
	change int
}

// recordArrival counts a request for the arrival rates of its model, or of its pool if it needs none.
func (f *Forwarder) recordArrival(flow *flow) {
	f.demand.addArrival(flow.demandKey())
	f.priorities.record(flow.pool, flow.priority)
	if f.observations != nil && flow.request.Model == "" {
		f.observations.RecordArrival(flow.pool)
	}
}

// refreshLoad takes the newest load of the server from the table of observations. Without one, or
// with only this node's own loads in it, the choice is based on this node's reports. The load's lock,
// under which recordAnswer writes to the table, must be held: ownLoadAt tells whose load it is.
func (f *Forwarder) refreshLoad(server *fleet.Server, load *serverLoad, now time.Time) {
	if f.observations == nil {
		return
	}
	if !load.adoptIncarnation(server.Incarnation()) {
		// The server restarted with its clock set back: what is listed counts.
		load.discardObserved()
		load.incarnation = server.Incarnation()
	}
	newest, at, known := f.observations.Load(server.Incarnation(), now)
	if !known {
		load.shared = sharedLoad{}
		return
	}
	if !at.Equal(load.ownLoadAt) {
		load.shared.othersAt = at
	}
	load.shared.load, load.shared.at = newest, at
	load.speed = load.speed.with(newest.Slowdown, at)
	load.shared.inForce = now.Sub(load.shared.othersAt) < observation.LoadLifetime
}

// adoptIncarnation discards what was known about an earlier incarnation of the server. It reports whether the
// incarnation is not itself an earlier one, whose statements don't count. The lock must be held.
func (s *serverLoad) adoptIncarnation(incarnation fleet.Incarnation) bool {
	if s.incarnation.Follows(incarnation) {
		return false
	}
	if incarnation.Follows(s.incarnation) {
		s.discardObserved()
	}
	s.incarnation = incarnation
	return true
}

// discardObserved discards what belongs to one incarnation of the server. The lock must be held.
func (s *serverLoad) discardObserved() {
	s.speed, s.shared, s.ownLoadAt = speed{}, sharedLoad{}, time.Time{}
}

// source is where the estimate of the load is from, and the age of the report, if there was one. The
// lock must be held.
func (s *serverLoad) source(request *Request, now time.Time) (LoadSource, time.Duration) {
	switch {
	case s.usesSharedFor(request):
		return LoadFromNodes, now.Sub(s.shared.at)
	case !s.report.Reported:
		return LoadFromOwnRequests, 0
	case now.Sub(s.reportedAt) < reportedLoadTTL:
		return LoadFromReport, now.Sub(s.reportedAt)
	}
	return LoadFromOwnRequests, now.Sub(s.reportedAt)
}

// usesShared reports whether the newest load that any node observed is used: nodes other than this
// one observe the server. The lock must be held.
func (s *serverLoad) usesShared() bool { return s.shared.inForce }

// changeOwn counts this node's requests at the server. The lock must be held.
func (s *serverLoad) changeOwn(change int, now time.Time) {
	s.own += change
	oldest := 0
	for oldest < len(s.ownChanges) && (now.Sub(s.ownChanges[oldest].at) >= observation.LoadLifetime || len(s.ownChanges)-oldest >= maxOwnChanges) {
		oldest++
	}
	s.ownChanges = append(s.ownChanges[oldest:], ownChange{at: now, change: change})
}

// ownAt is the number of this node's requests at the server at a time within
// observation.LoadLifetime. The lock must be held.
func (s *serverLoad) ownAt(at time.Time) int {
	own := s.own
	for i := len(s.ownChanges) - 1; i >= 0 && s.ownChanges[i].at.After(at); i-- {
		own -= s.ownChanges[i].change
	}
	return own
}

// sharedEstimate is the estimated number of requests at the server from the newest load that any
// node observed, corrected by this node's requests since. The lock must be held.
func (s *serverLoad) sharedEstimate() int {
	return max(s.own, s.shared.load.Running+s.shared.load.Waiting+s.own-s.ownAt(s.shared.at))
}

// recordAnswer records for all nodes that a server answered, with the load that it reported.
func (f *Forwarder) recordAnswer(target *candidate, load Load, now time.Time) {
	if f.observations == nil {
		return
	}
	incarnation := target.server.Incarnation()
	f.observations.RecordReachable(incarnation, now)
	if !load.Reported {
		return
	}
	target.load.mutex.Lock()
	defer target.load.mutex.Unlock()
	if !target.load.adoptIncarnation(incarnation) {
		return
	}
	// Responses at about the same time may be recorded in another order; the table keeps the
	// newest load.
	if now.After(target.load.ownLoadAt) {
		target.load.ownLoadAt = now
	}
	f.observations.RecordLoad(incarnation, observation.Load{
		Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Slowdown: load.Slowdown,
	}, now)
}

// recordFailedAttempt records for all nodes what a failed attempt shows of its server: a refused
// connection, another incarnation at its address, or an answer that the request did not run. An
// attempt that timed out or was cancelled may have failed because of this node or its link.
func (f *Forwarder) recordFailedAttempt(ctx context.Context, target *candidate, failure *AttemptError, now time.Time) {
	if f.observations == nil {
		return
	}
	switch failure.Reason {
	case FailureConnect:
		if ctx.Err() == nil && errors.Is(failure.Cause, syscall.ECONNREFUSED) {
			f.observations.RecordUnreachable(target.server.Incarnation(), now)
		}
	case FailureOtherInstance:
		f.observations.RecordUnreachable(target.server.Incarnation(), now)
	case FailureFull:
		reported := failure.Load
		if !reported.explainsFull() {
			reported = Load{}
		}
		f.recordAnswer(target, reported, now)
	case FailureNotHeld, FailureRefused, FailureBackoff:
		f.recordAnswer(target, failure.Load, now)
	case FailureBroken, FailureTimeout:
		// Neither shows whether the server is reachable.
	case FailureStatus:
		// recordResponse recorded the answer when its head arrived.
	}
}
