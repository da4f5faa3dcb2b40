package ratelimit

import (
	"cmp"
	"time"

	"github.com/hatchplank/hatchplank/internal/window"
)

const (
	// bucketShare is the size of the token bucket as a share of what a window allows. Callers
	// that exceed the limit all the time then get an even rate, and not everything at once
	// and then nothing. After all nodes restarted at once, the usage before is unknown: one
	// bucket, the rate over the window and coldStartTime at that rate must together stay
	// below what is tolerated.
	bucketShare = 0.2
	// reserveShare is the share of the bucket that the least urgent requests leave to more
	// urgent ones.
	reserveShare = 0.5
	// costWeight is the weight of one request in the moving average of costs.
	costWeight = 0.05
	// coldStartTime bounds the initial level of the bucket, as time at the limit's rate, at a
	// node that has not run for a window yet and has not received the count before.
	coldStartTime = 500 * time.Millisecond
	// nearLimitLevel is the share of the bucket below which a limit is nearly reached.
	nearLimitLevel = 0.25
)

// meter counts the usage of one limit. It allows at most rate times window plus burst in any
// window and, so that this is not used at once, at most what a token bucket allows. Unlike
// golang.org/x/time/rate it accepts requests that cost more than the bucket holds when the
// bucket is full, and accepts returned tokens.
type meter struct {
	window time.Duration
	// counted is what this node counted within the window, and inherited what other nodes had
	// counted, as of inheritedAt.
	counted     window.Sum
	inherited   float64
	inheritedAt time.Time
	// level of the bucket, in the limit's unit, as of at; below zero after a request that cost
	// more than the bucket held.
	level float64
	at    time.Time
	// coldStartAt is when this node began to count without the count before; zero if the
	// initial state was known.
	coldStartAt time.Time
	// averageCost of the requests.
	averageCost float64
	// nextRetryAt is the earliest time that the next refused caller is told to retry at.
	nextRetryAt time.Time
}

// newMeter returns a full bucket if the node has run for a window, since nothing was taken from
// it in that time. The bucket of a paced limit is empty: the limit may just have been set, and
// the usage before it was not limited.
func newMeter(limit Limit, running time.Duration, now time.Time) *meter {
	m := &meter{window: limit.Window, counted: window.NewSum(limit.Window, now), level: bucketSize(limit), at: now}
	switch {
	case limit.Paced:
		m.level = 0
	case running < limit.Window:
		m.level = min(m.level, limit.Rate*coldStartTime.Seconds())
		m.coldStartAt = now
	}
	return m
}

// capacity is what the limit allows within a window.
func capacity(limit Limit) float64 {
	return limit.Rate*limit.Window.Seconds() + limit.Burst
}

func bucketSize(limit Limit) float64 { return bucketShare * capacity(limit) }

// isNearLimit reports whether the limit is nearly reached.
func isNearLimit(limit Limit, count Count) bool {
	return count.Level < nearLimitLevel*bucketSize(limit)
}

// refill adds the tokens for the time since the last call, and returns the level.
func (m *meter) refill(limit Limit, now time.Time) float64 {
	if passed := now.Sub(m.at); passed > 0 {
		m.level += limit.Rate * passed.Seconds()
		m.at = now
	}
	m.level = min(m.level, bucketSize(limit))
	return m.level
}

// used is the usage within the window. What other nodes had counted is assumed to leave the
// window evenly.
func (m *meter) used(now time.Time) float64 {
	return m.counted.Total(now) + decayed(m.inherited, now.Sub(m.inheritedAt), m.window)
}

// decayed is the part of an amount that is still within the window, if it was used evenly.
func decayed(amount float64, age, window time.Duration) float64 {
	return amount * max(0, 1-age.Seconds()/window.Seconds())
}

// count returns the state that is reported to other nodes.
func (m *meter) count(limit Limit, now time.Time) Count {
	return Count{Known: true, Level: m.refill(limit, now), Used: m.used(now)}
}

// merge lowers the level and raises the usage to the count of another node, where that leaves
// less than the count here. If the limit was nearly reached there, what became available since
// was probably used, and the count is taken as it was.
func (m *meter) merge(count Count, limit Limit, now time.Time) {
	level, used := count.Level, count.Used
	if !isNearLimit(limit, count) {
		level += limit.Rate * count.Age.Seconds()
		used = decayed(used, count.Age, m.window)
	}
	m.level = min(m.refill(limit, now), level)
	if missing := used - m.used(now); missing > 0 {
		m.inherited, m.inheritedAt = decayed(m.inherited, now.Sub(m.inheritedAt), m.window)+missing, now
	}
}

// take takes the cost if the limit has capacity for it now, or within the time that the
// requesting node waits. Otherwise it returns when to retry: a different time for each refused
// caller, as the limit frees capacity, so that they do not retry together. Times that come
// after a caller has left are not kept for it.
func (m *meter) take(limit Limit, request TakeRequest, now time.Time) Verdict {
	wait := m.wait(limit, request, now)
	if wait <= request.MaxWait {
		m.level -= request.Cost
		m.counted.Add(request.Cost, now)
		return Verdict{Allowed: true, Delay: wait}
	}
	retryAt := now.Add(wait)
	if retryAt.Before(m.nextRetryAt) {
		retryAt = m.nextRetryAt
	}
	latest := now.Add(max(cmp.Or(request.TimeLeft, m.window), wait))
	if retryAt.After(latest) {
		return Verdict{RetryAfter: latest.Sub(now), NextSlotIn: wait}
	}
	m.nextRetryAt = retryAt.Add(timeFor(request.Cost, limit.Rate))
	return Verdict{RetryAfter: retryAt.Sub(now), NextSlotIn: wait}
}

// wait is the time until the limit has capacity for the request; zero if it has now.
func (m *meter) wait(limit Limit, request TakeRequest, now time.Time) time.Duration {
	missing := min(request.Cost+m.reserve(limit, request.Cost, request.Rank, now), bucketSize(limit)) - m.refill(limit, now)
	wait := timeFor(max(missing, 0), limit.Rate)
	if limit.Paced {
		return wait
	}
	if over := m.used(now) + min(request.Cost, capacity(limit)) - capacity(limit); over > 0 {
		return max(wait, m.counted.TimeUntilExpired(over, now))
	}
	return wait
}

// reserve is the level that a request must leave to more urgent ones. A request that costs
// less than the average leaves much less, since refusing it would save little. After a cold
// start the reserve grows over a window, because the bucket holds little for any request.
func (m *meter) reserve(limit Limit, cost, rank float64, now time.Time) float64 {
	m.averageCost += costWeight * (cost - m.averageCost)
	size := min(cost/m.averageCost, 1)
	share := reserveShare * rank * size * size
	if !m.coldStartAt.IsZero() {
		share *= min(now.Sub(m.coldStartAt).Seconds()/m.window.Seconds(), 1)
	}
	return share * bucketSize(limit)
}

// giveBack returns the cost of a request that was not executed.
func (m *meter) giveBack(cost float64, now time.Time) {
	m.level += cost
	m.counted.Add(-min(cost, max(m.counted.Total(now), 0)), now)
}

// timeFor is the time in which the rate yields the units.
func timeFor(units, rate float64) time.Duration {
	return time.Duration(units / rate * float64(time.Second))
}
