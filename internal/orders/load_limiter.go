package orders

import "time"

// LoadRateLimits bound how many loads from the weight store may start in any window.
type LoadRateLimits struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Overage is the number of loads allowed in a window, as a multiple of what the store
	// sustains in it.
	Overage float64
}

const (
	// burstShare is the share of the permitted burst that is used.
	burstShare = 0.75
	// initialConcurrency bounds the concurrent loads until it has been measured how many
	// the store serves at full speed.
	initialConcurrency = 4
	// maxFirstLoadTime bounds the duration of the first loads, assuming that the store
	// serves only one at full speed: it admits four concurrent loads of 6 s, or one of
	// 13 s. Nothing is measured before the first load completes.
	maxFirstLoadTime = 24 * time.Second
	// A load that takes slowFactor times its undisturbed time or more was slowed down by
	// concurrent loads; one that takes onTimeFactor times that time or less was not.
	slowFactor, onTimeFactor = 1.25, 1.1
)

// loadLimiter bounds the loads from the weight store. It combines a token bucket, which
// refills at the rate of the store and allows a burst as large as the overage of one
// window, with a bound on concurrent loads. That bound grows while loads complete on
// time, and shrinks to what the store sustained when they slow each other down.
type loadLimiter struct {
	limits        LoadRateLimits
	tokens        float64
	refilledAt    time.Time
	maxConcurrent int
	// measured is set once a completed load has shown how many the store serves.
	measured bool
}

func newLoadLimiter(limits LoadRateLimits) *loadLimiter {
	return &loadLimiter{limits: limits, maxConcurrent: initialConcurrency}
}

// limitInitialConcurrency bounds the concurrent loads by the expected time of one, until
// it has been measured how many the store serves. Too many concurrent loads would all
// complete late, and the overload would be noticed only then.
func (l *loadLimiter) limitInitialConcurrency(loadTime time.Duration) {
	if !l.measured && loadTime > 0 {
		l.maxConcurrent = min(max(int(maxFirstLoadTime/loadTime), 1), initialConcurrency)
	}
}

// storeLoads summarizes the loads from the weight store that are in progress.
type storeLoads struct {
	count int
	// nextEnd is the time until the first of them is expected to complete.
	nextEnd time.Duration
}

// available refills the bucket and returns how many loads may start now.
func (l *loadLimiter) available(rate float64, inProgress storeLoads, now time.Time) int {
	burst := max(burstShare*(rate*l.limits.Window.Seconds()*(l.limits.Overage-1)+2), 1)
	if l.refilledAt.IsZero() {
		// Starts empty, since the previous holder may just have used its burst.
		l.tokens = 0
	} else {
		l.tokens = min(l.tokens+rate*now.Sub(l.refilledAt).Seconds(), burst)
	}
	l.refilledAt = now
	return max(min(int(l.tokens), l.maxConcurrent-inProgress.count), 0)
}

// nextIn returns the time until another load may start, if none may now.
func (l *loadLimiter) nextIn(rate float64, inProgress storeLoads) time.Duration {
	wait := time.Duration(0)
	if l.tokens < 1 && rate > 0 {
		wait = time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	if inProgress.count >= l.maxConcurrent {
		wait = max(wait, inProgress.nextEnd)
	}
	return wait
}

// take removes a token for a load that starts.
func (l *loadLimiter) take() { l.tokens-- }

// observe adjusts the bound on concurrent loads by a load that took slowdown times its
// undisturbed time. inProgress counts the loads in progress when it started, itself included.
func (l *loadLimiter) observe(slowdown float64, inProgress int) {
	l.measured = true
	switch {
	case slowdown >= slowFactor:
		l.maxConcurrent = max(min(l.maxConcurrent, int(float64(inProgress)/slowdown)), 1)
	case slowdown <= onTimeFactor && inProgress >= l.maxConcurrent-1:
		// One less than the bound suffices: the planner may reserve one load for models
		// with waiting requests.
		l.maxConcurrent++
	}
}
