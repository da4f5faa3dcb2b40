package orders

import (
	"sync"
	"time"
)

// sizeRetention is how long nodes that no longer report are counted at least. They may be out of
// reach only, and use their shares of limits for retrybudget.ShareLifetime and a window.
const sizeRetention = time.Minute

// fleetSize is the number of nodes that share limits: the largest number that was counted in the last
// one to two times sizeRetention. It is safe for concurrent use.
type fleetSize struct {
	mutex sync.Mutex
	// current is the most since rotatedAt, and previous the most in the time before it.
	current, previous int
	rotatedAt         time.Time
}

// newFleetSize returns the size with which counting begins; saved is the size before, 0 if it is not
// known.
func newFleetSize(saved int, now time.Time) *fleetSize {
	return &fleetSize{previous: saved, rotatedAt: now}
}

// count takes the number of nodes that are counted now into account and returns the size.
func (s *fleetSize) count(counted int, now time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if now.Sub(s.rotatedAt) >= sizeRetention {
		s.previous, s.current, s.rotatedAt = s.current, 0, now
	}
	s.current = max(s.current, counted)
	return max(s.current, s.previous)
}

// isKnown reports whether the size includes a number from before, and so nodes that have not reported
// yet.
func (s *fleetSize) isKnown() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.previous > 0
}
