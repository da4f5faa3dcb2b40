package keyvalue

import (
	"time"

	"golang.org/x/time/rate"
)

// Faults of the service; the zero value is none. They can be switched while
// the service runs and apply to the operations that arrive from then on.
type Faults struct {
	// Outage refuses every operation and ends all watches. Leases go on to
	// lapse.
	Outage bool
	// Delay is added to every operation: one half before it takes effect, the
	// other half before its reply.
	Delay time.Duration
	// LostReplies is the probability that a write takes effect and its reply
	// is lost.
	LostReplies float64
	// OperationsPerSecond that are not refused; zero: no limit.
	OperationsPerSecond float64
	// Burst is how many operations may come at once; zero: one second's worth.
	Burst int
	// WatchGaps is the probability, for each message with events, that the
	// watch drops it and all that follow, and then ends.
	WatchGaps float64
	// WatchGapDelay is the time from a gap's start to the end of the watch.
	WatchGapDelay time.Duration
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.OperationsPerSecond != s.faults.OperationsPerSecond || faults.Burst != s.faults.Burst {
		s.limiter = newLimiter(faults)
	}
	s.faults = faults
	if faults.Outage {
		s.endWatches(ErrOutage)
	}
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func newLimiter(faults Faults) *rate.Limiter {
	if faults.OperationsPerSecond <= 0 {
		return nil
	}
	burst := faults.Burst
	if burst == 0 {
		burst = max(1, int(faults.OperationsPerSecond))
	}
	return rate.NewLimiter(rate.Limit(faults.OperationsPerSecond), burst)
}

// admission is what the faults do to one operation.
type admission struct {
	refused   error
	delay     time.Duration
	replyLost bool
}

// admit counts an operation and decides what the faults do to it.
func (s *Store) admit(kind Kind) admission {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Operations[kind]++
	if refused := s.refuse(); refused != nil {
		s.counters.Refused[kind]++
		return admission{refused: refused}
	}
	decided := admission{delay: s.faults.Delay}
	if kind.writes() && s.happens(s.faults.LostReplies) {
		s.counters.RepliesLost++
		decided.replyLost = true
	}
	return decided
}

func (s *Store) refuse() error {
	if s.closed {
		return errClosed
	}
	if s.faults.Outage {
		return ErrOutage
	}
	if s.limiter != nil && !s.limiter.AllowN(s.clock.Now(), 1) {
		return ErrRateLimited
	}
	return nil
}

func (s *Store) happens(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}

// Submit runs one operation under the faults. Reply is called exactly once,
// possibly before submit returns; with ErrReplyLost the front end must let the
// client wait in vain.
func Submit[Result any](s *Store, kind Kind, run func() (Result, error), reply func(Result, error)) {
	var none Result
	admitted := s.admit(kind)
	if admitted.refused != nil {
		reply(none, admitted.refused)
		return
	}
	s.after(admitted.delay/2, func() {
		result, err := run()
		if admitted.replyLost {
			reply(none, ErrReplyLost)
			return
		}
		s.after(admitted.delay/2, func() { reply(result, err) })
	})
}

// after calls function after the delay, at once if there is none.
func (s *Store) after(delay time.Duration, function func()) {
	if delay <= 0 {
		function()
		return
	}
	s.clock.AfterFunc(delay, function)
}
