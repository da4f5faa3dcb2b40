package orders

import "time"

// CeilingLimits bound how many loads from the weight store begin in any window.
type CeilingLimits struct {
	Window  time.Duration
	Overage float64
}

const (
	// fullSpeedSeconds: loads under way at once, for each load a second that
	// the store allows, before they slow each other down.
	fullSpeedSeconds = 1.75
	// ceilingMargin is the part of the burst that is not used.
	ceilingMargin = 0.75
)

// ceiling is a token bucket: the rate of the store, with a burst as large as
// the overage of one window.
type ceiling struct {
	limits CeilingLimits
	tokens float64
	at     time.Time
}

func newCeiling(limits CeilingLimits) *ceiling { return &ceiling{limits: limits} }

// available is how many loads may begin now, with the given number under way.
func (c *ceiling) available(rate float64, underWay int, now time.Time) int {
	burst := max(ceilingMargin*(rate*c.limits.Window.Seconds()*(c.limits.Overage-1)+2), 1)
	if c.at.IsZero() {
		// A holder before this one may have used its burst a moment ago.
		c.tokens = 0
	} else {
		c.tokens = min(c.tokens+rate*now.Sub(c.at).Seconds(), burst)
	}
	c.at = now
	atOnce := max(int(fullSpeedSeconds*rate), 1)
	return max(min(int(c.tokens), atOnce-underWay), 0)
}

// nextIn is the time until the rate allows another load.
func (c *ceiling) nextIn(rate float64) time.Duration {
	if c.tokens >= 1 || rate <= 0 {
		return 0
	}
	return time.Duration((1 - c.tokens) / rate * float64(time.Second))
}

// take counts a load that begins.
func (c *ceiling) take() { c.tokens-- }
