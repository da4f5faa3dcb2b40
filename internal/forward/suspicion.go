package forward

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// checkSuspectedAfter is the age of a suspicion, from when this node received it, from which the
// server is checked although others can take its requests. Until then the node that reached the
// server after all has time to end the suspicion.
const checkSuspectedAfter = 300 * time.Millisecond

// suspicionCheckTimeout bounds a check: a request waits for it.
const suspicionCheckTimeout = 300 * time.Millisecond

// SuspicionCheck describes a check of a server that another node found unreachable, for logs and
// metrics.
type SuspicionCheck struct {
	Server *fleet.Server
	// Err is nil if the server accepted a connection.
	Err error
}

// needsCheck reports whether a suspicion is to be checked by connecting: once, where no other
// server can take the request, or once the suspicion is checkSuspectedAfter old. It answers the
// crash of a server, which each of many nodes would otherwise find out with a request of its own.
func needsCheck(since, checkedSince time.Time, others bool, now time.Time) bool {
	return !since.Equal(checkedSince) && (!others || now.Sub(since) >= checkSuspectedAfter)
}

// avoidSuspected removes the candidates that another node found unreachable, and starts the checks
// that are due. If no others are left, it returns the check that the request may wait for, or nil if
// another request does, and whether any check is in progress.
func (f *Forwarder) avoidSuspected(flow *flow, candidates []candidate, now time.Time) (left []candidate, check <-chan struct{}, checking bool) {
	flow.decision.Suspected = 0
	if f.observations == nil || f.connect == nil {
		return candidates, nil, false
	}
	var suspected []candidate
	left = candidates[:0]
	for _, one := range candidates {
		since, isSuspected := f.observations.SuspectedSince(one.server.Incarnation(), now)
		if !isSuspected {
			left = append(left, one)
			continue
		}
		one.suspectedSince = since
		suspected = append(suspected, one)
	}
	flow.decision.Suspected = len(suspected)
	for i := range suspected {
		started, inProgress := f.checkSuspected(&suspected[i], len(left) > 0, now)
		if started != nil && len(left) == 0 {
			check = started
		}
		checking = checking || inProgress
	}
	return left, check, checking
}

// checkSuspected starts the check of a candidate if it is due; nil if not. It reports whether a check
// is in progress.
func (f *Forwarder) checkSuspected(c *candidate, others bool, now time.Time) (started <-chan struct{}, inProgress bool) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	if !needsCheck(c.suspectedSince, c.load.checkedSince, others, now) {
		return nil, c.load.checks > 0
	}
	done := make(chan struct{})
	c.load.checkedSince = c.suspectedSince
	c.load.checks++
	go f.connectToSuspected(c.server, c.load, done)
	return done, true
}

// connectToSuspected ends the suspicion of a server that accepts a connection. A failure counts as
// this node's own: the server is paused, and all nodes are told of a refused connection.
func (f *Forwarder) connectToSuspected(server *fleet.Server, load *serverLoad, done chan struct{}) {
	defer f.tracker.notifyFreed()
	defer close(done)
	defer load.checkEnded()
	ctx, cancel := context.WithTimeout(f.lifetime, suspicionCheckTimeout)
	defer cancel()
	err := f.connect(ctx, server.Address)
	now := time.Now()
	f.onSuspicionCheck(SuspicionCheck{Server: server, Err: err})
	if err == nil {
		f.observations.RecordReachable(server.Incarnation(), now)
		return
	}
	if f.lifetime.Err() != nil {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		f.observations.RecordUnreachable(server.Incarnation(), now)
	}
	load.mutex.Lock()
	defer load.mutex.Unlock()
	load.recordUnreachable(now)
}

// checkEnded counts the end of a check.
func (s *serverLoad) checkEnded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.checks--
}

// hasEnded reports whether a check has ended.
func hasEnded(check <-chan struct{}) bool {
	select {
	case <-check:
		return true
	default:
		return false
	}
}
