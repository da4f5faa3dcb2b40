package orders

import "time"

// LoadRateLimits bound how many loads from the weight store begin in any window.
type LoadRateLimits struct {
	Window  time.Duration
	Overage float64
}

const (
	// ceilingMargin is the part of the burst that is not used.
	ceilingMargin = 0.75
	// firstAtOnce is how many loads are under way at once until it is known how
	// many the store serves at full speed.
	firstAtOnce = 4
	// longestGuess is how long loads may take at most, if the store serves only one at
	// full speed: four at once of 6 s, one of 13 s. In that time nothing is learned.
	longestGuess = 24 * time.Second
	// slowFactor times the undisturbed time is a load that others slowed down,
	// and onTimeFactor one that they did not.
	slowFactor, onTimeFactor = 1.25, 1.1
)

// ceiling bounds the loads from the weight store. It is a token bucket, the rate of
// the store with a burst as large as the overage of one window; and a bound on the
// loads under way at once, which grows while they are on time and shrinks to what
// the store served when they slow each other down.
type ceiling struct {
	limits LoadRateLimits
	tokens float64
	at     time.Time
	atOnce int
	// learned: a load ended and told how many the store serves.
	learned bool
}

func newCeiling(limits LoadRateLimits) *ceiling { return &ceiling{limits: limits, atOnce: firstAtOnce} }

// expect bounds the loads under way by the time that one takes, until it is learned how
// many the store serves: too many at once all end late, and only then tell so.
func (c *ceiling) expect(loadTime time.Duration) {
	if !c.learned && loadTime > 0 {
		c.atOnce = min(max(int(longestGuess/loadTime), 1), firstAtOnce)
	}
}

// storeLoads are the loads from the store that are under way.
type storeLoads struct {
	count int
	// nextEnd is the time until the first of them is expected to end.
	nextEnd time.Duration
}

// available is how many loads may begin now.
func (c *ceiling) available(rate float64, underWay storeLoads, now time.Time) int {
	burst := max(ceilingMargin*(rate*c.limits.Window.Seconds()*(c.limits.Overage-1)+2), 1)
	if c.at.IsZero() {
		// A holder before this one may have used its burst a moment ago.
		c.tokens = 0
	} else {
		c.tokens = min(c.tokens+rate*now.Sub(c.at).Seconds(), burst)
	}
	c.at = now
	return max(min(int(c.tokens), c.atOnce-underWay.count), 0)
}

// nextIn is the time until another load may begin, where none may now.
func (c *ceiling) nextIn(rate float64, underWay storeLoads) time.Duration {
	wait := time.Duration(0)
	if c.tokens < 1 && rate > 0 {
		wait = time.Duration((1 - c.tokens) / rate * float64(time.Second))
	}
	if underWay.count >= c.atOnce {
		wait = max(wait, underWay.nextEnd)
	}
	return wait
}

// take counts a load that begins.
func (c *ceiling) take() { c.tokens-- }

// ended learns from a load that took a multiple of its undisturbed time, when so
// many were under way as it began, itself included.
func (c *ceiling) ended(multiple float64, underWay int) {
	c.learned = true
	switch {
	case multiple >= slowFactor:
		c.atOnce = max(min(c.atOnce, int(float64(underWay)/multiple)), 1)
	case multiple <= onTimeFactor && underWay >= c.atOnce-1:
		// One less is under way where the last load is kept for who waits.
		c.atOnce++
	}
}
