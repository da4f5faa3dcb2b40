package membership

import (
	"math/rand/v2"
	"time"
)

// backoff computes exponentially growing, jittered pauses between attempts.
type backoff struct {
	minimum, maximum time.Duration
	current          time.Duration
}

// next returns the pause before the next attempt. It is drawn from the upper half
// of an interval that doubles with each call, up to the maximum.
func (b *backoff) next(random *rand.Rand) time.Duration {
	if b.current == 0 {
		b.current = b.minimum
	}
	pause := b.current/2 + randomBelow(random, b.current/2)
	b.current = min(2*b.current, b.maximum)
	return pause
}

// reset returns the interval to its minimum.
func (b *backoff) reset() { b.current = 0 }

// randomBelow returns a uniformly distributed duration in [0, limit), or zero if
// the limit is not positive.
func randomBelow(random *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(limit)))
}

// jittered returns a random duration between 80% and 120% of the mean.
func jittered(random *rand.Rand, mean time.Duration) time.Duration {
	return mean*4/5 + randomBelow(random, mean*2/5)
}
