package forward

import (
	"context"
	"maps"
	"sync"
	"time"
)

// switchover cancels an attempt that is too slow, so that the request goes on at another
// server. It reserves capacity there, and takes a retry from the budget, before it cancels
// the attempt: an attempt that no other server can take over goes on.
type switchover struct {
	forwarder *Forwarder
	// flow is a copy of the flow as it was when the attempt began.
	flow   flow
	cancel context.CancelCauseFunc

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
	target  *candidate
	// cancelReserving cancels the search for another server; nil while there is none. Since the
	// search may wait for other nodes, the lock is not held meanwhile.
	cancelReserving context.CancelFunc
}

func (f *Forwarder) newSwitchover(flow *flow, cancel context.CancelCauseFunc) *switchover {
	s := &switchover{forwarder: f, flow: *flow, cancel: cancel}
	s.flow.tried, s.flow.slotsAt = maps.Clone(flow.tried), maps.Clone(flow.slotsAt)
	return s
}

// after cancels the attempt with the cause once the time has passed and another server can
// take the request, unless after is called again or the attempt ends first.
func (s *switchover) after(wait time.Duration, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return
	}
	s.stopTimer()
	s.timer = time.AfterFunc(wait, func() { s.try(cause) })
}

// stopTimer stops the timer and the search for another server. The lock must be held.
func (s *switchover) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.cancelReserving != nil {
		s.cancelReserving()
	}
}

// try cancels the attempt if another server can take the request, or else tries again after
// a poll period.
func (s *switchover) try(cause error) {
	ctx, mayReserve := s.beginReserving(cause)
	if !mayReserve {
		return
	}
	target := s.forwarder.reserveAnother(ctx, &s.flow)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cancelled := ctx.Err() != nil
	s.cancelReserving()
	s.cancelReserving = nil
	switch {
	case target == nil && !cancelled:
		s.timer = time.AfterFunc(pollPeriod, func() { s.try(cause) })
	case target == nil:
	case cancelled:
		s.forwarder.release(&s.flow, target, nil)
	default:
		s.target = target
		s.cancel(cause)
	}
}

// beginReserving returns the context of a search for another server, unless none is needed. If
// an earlier, cancelled search has not ended yet, try is called again after a poll period.
func (s *switchover) beginReserving(cause error) (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.target != nil {
		return nil, false
	}
	if s.cancelReserving != nil {
		s.timer = time.AfterFunc(pollPeriod, func() { s.try(cause) })
		return nil, false
	}
	ctx, cancel := context.WithCancel(s.forwarder.lifetime)
	s.cancelReserving = cancel
	return ctx, true
}

// pause stops the timer until after is called again.
func (s *switchover) pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopTimer()
}

// end stops the switchover for good and returns the server that was reserved, or nil.
func (s *switchover) end() *candidate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopTimer()
	s.stopped = true
	return s.target
}

// reserveAnother reserves capacity at a server that was not tried, and takes a retry from the
// budget; nil if either is not available, or once the context is done.
func (f *Forwarder) reserveAnother(ctx context.Context, flow *flow) *candidate {
	if _, held := f.poison.Refused(flow.poisonRequest()); held || flow.trial != nil {
		return nil
	}
	found := f.choose(flow, f.view.Load(), time.Now())
	if found.best == nil {
		return nil
	}
	if !f.takeSlot(f.lifetime, flow, found.best, 0) {
		return nil
	}
	if ctx.Err() != nil || !f.takeRetry(ctx, flow) {
		f.release(flow, found.best, nil)
		return nil
	}
	return found.best
}
