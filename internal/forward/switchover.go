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
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() { s.try(cause) })
}

// try cancels the attempt if another server can take the request, or else tries again after
// a poll period.
func (s *switchover) try(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.target != nil {
		return
	}
	s.target = s.forwarder.reserveAnother(&s.flow)
	if s.target == nil {
		s.timer = time.AfterFunc(pollPeriod, func() { s.try(cause) })
		return
	}
	s.cancel(cause)
}

// pause stops the timer until after is called again.
func (s *switchover) pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// end stops the switchover for good and returns the server that was reserved, or nil.
func (s *switchover) end() *candidate {
	s.pause()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	return s.target
}

// reserveAnother reserves capacity at a server that was not tried, and takes a retry from the
// budget; nil if either is not available.
func (f *Forwarder) reserveAnother(flow *flow) *candidate {
	if _, held := f.quarantined(flow); held || flow.trial {
		return nil
	}
	now := time.Now()
	found := f.choose(flow, f.view.Load(), now)
	if found.best == nil {
		return nil
	}
	if !f.takeSlot(f.lifetime, flow, found.best, 0) {
		return nil
	}
	if !f.budgets.takeRetry(flow.pool, now) {
		f.release(flow, found.best, nil)
		return nil
	}
	return found.best
}
