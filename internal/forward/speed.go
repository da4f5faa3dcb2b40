package forward

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/observation"
)

const (
	// sustainedHalfLife is the half-life of a server's sustained slowdown: of its mean over the
	// reports, and of its deviation from usual once the newest report has expired.
	sustainedHalfLife = 4 * time.Second
	// maxSlowdownWeight bounds the weight of one report in the sustained slowdown, since it may
	// have been made in a moment in which the server was slowed more.
	maxSlowdownWeight = 0.5
)

// speed is how long a server's work takes as a multiple of usual, from the slowdowns that it
// reports. The zero value stands for a server that reports none. It answers servers that share
// their machines with other work and are slower than others for long. Moments of a tenth of a
// second have passed by the time at which other nodes know of them: with a term for the newest
// report as well, replays had more late starts (276 instead of 158 of 12,773) and as many pauses.
type speed struct {
	// sustained is the mean slowdown as of at.
	sustained float64
	at        time.Time
}

// with returns the speed after another report; older ones and those without a slowdown change
// nothing.
func (s speed) with(slowdown float64, at time.Time) speed {
	if slowdown <= 0 || !at.After(s.at) {
		return s
	}
	before := s.sustainedAt(at)
	weight := min(1-decay(at.Sub(s.at), sustainedHalfLife), maxSlowdownWeight)
	return speed{sustained: before + weight*(slowdown-before), at: at}
}

// sustainedAt is the sustained slowdown; 1 is usual.
func (s speed) sustainedAt(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return 1 + (s.sustained-1)*decay(now.Sub(s.at)-observation.LoadLifetime, sustainedHalfLife)
}

// decay is the share that is left after a time.
func decay(after, halfLife time.Duration) float64 {
	return math.Exp2(-max(after, 0).Seconds() / halfLife.Seconds())
}
