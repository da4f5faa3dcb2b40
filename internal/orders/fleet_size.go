package orders

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// sizeRetention is the time for which nodes that do not report are still counted. They may only be out
// of reach, and then use their shares for the lifetime of a share; what they allowed counts for a window
// more, which is shorter than that.
const sizeRetention = 2 * retrybudget.ShareLifetime

// fleetSize is the number of nodes that share limits: the largest number that was counted in the last
// one to two times sizeRetention. It is not safe for concurrent use.
type fleetSize struct {
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
	if now.Sub(s.rotatedAt) >= sizeRetention {
		s.previous, s.current, s.rotatedAt = s.current, 0, now
	}
	s.current = max(s.current, counted)
	return max(s.current, s.previous)
}

// isKnown reports whether the size includes a number from before, and so nodes that have not reported
// yet.
func (s *fleetSize) isKnown() bool {
	return s.previous > 0
}
