package forward

import (
	"context"
	"maps"
	"sync"
	"time"
)

// switchover ends an attempt that is too slow, so that the request goes on at
// another server. It takes the place there, and its share of the retry budget,
// before it ends the attempt: one that no other server can take on is left alone.
type switchover struct {
	forwarder *Forwarder
	// asked is the flow as it was when the attempt began.
	asked  flow
	cancel context.CancelCauseFunc

	mutex   sync.Mutex
	timer   *time.Timer
	stopped bool
	place   *candidate
}

func (f *Forwarder) newSwitchover(flow *flow, cancel context.CancelCauseFunc) *switchover {
	s := &switchover{forwarder: f, asked: *flow, cancel: cancel}
	s.asked.tried, s.asked.turns = maps.Clone(flow.tried), maps.Clone(flow.turns)
	return s
}

// after ends the attempt with the cause once the time has passed and another
// server can take the request, unless it is called again or the attempt ends.
func (s *switchover) after(wait time.Duration, cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timer = time.AfterFunc(wait, func() { s.act(cause) })
}

func (s *switchover) act(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || s.place != nil {
		return
	}
	s.place = s.forwarder.reserveAnother(&s.asked)
	if s.place == nil {
		s.timer = time.AfterFunc(pollPeriod, func() { s.act(cause) })
		return
	}
	s.cancel(cause)
}

// pause stops the clock until after is called again.
func (s *switchover) pause() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// end stops it for good and returns the place that was taken, or nil.
func (s *switchover) end() *candidate {
	s.pause()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	return s.place
}

// reserveAnother takes a place at a server that was not tried, and one attempt of
// the retry budget; nil if there is none.
func (f *Forwarder) reserveAnother(asked *flow) *candidate {
	if _, held := f.poison.Held(asked.request.Identity); held {
		return nil
	}
	now := time.Now()
	found := f.choose(asked, f.view.Load(), now)
	if found.best == nil {
		return nil
	}
	if !f.takeTurn(f.life, asked, found.best, 0) {
		return nil
	}
	if !f.budgets.repeat(asked.pool, now) {
		f.release(asked, found.best, nil)
		return nil
	}
	return found.best
}
