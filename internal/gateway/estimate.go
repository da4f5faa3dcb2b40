package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/router"
)

// Bounds of the Retry-After of refusals.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// defaultRetryAfter is used when there is no estimate of the wait.
	defaultRetryAfter = time.Second
)

// Parameters of the service time estimate.
const (
	// meanGain is the weight of a new sample in the mean.
	meanGain = 0.05
	// quantileStep scales the quantile's adjustment per sample, relative to the
	// mean.
	quantileStep = 0.02
	highQuantile = 0.98
)

// serviceTimes estimates the duration of an attempt, from measured ones: the mean
// and highQuantile. Both are in nanoseconds; zero if nothing was measured.
type serviceTimes struct {
	mean, high float64
}

// add updates the estimates with the duration of an attempt.
func (t *serviceTimes) add(duration time.Duration) {
	sample := float64(duration)
	if t.mean == 0 {
		*t = serviceTimes{mean: sample, high: sample}
		return
	}
	t.mean += meanGain * (sample - t.mean)
	t.high = updateQuantile(t.high, sample, t.mean, highQuantile)
}

// updateQuantile returns the new estimate of a quantile after a sample. The estimate
// moves up in proportion to quantile if the sample is above it, otherwise down in
// proportion to 1-quantile, so that the moves cancel out at the quantile.
func updateQuantile(estimate, sample, scale, quantile float64) float64 {
	if sample > estimate {
		return estimate + quantileStep*scale*quantile
	}
	return max(estimate-quantileStep*scale*(1-quantile), 0)
}

// estimate is the expected timing of a new request.
type estimate struct {
	// wait until an endpoint has free capacity for it.
	wait time.Duration
	// service is how long its attempt may take (highQuantile).
	service time.Duration
	// immediate: an endpoint has free capacity for it now.
	immediate bool
	// known: the wait is based on measurements or on a reported ready time.
	known bool
}

// estimate returns the expected wait of an entry, given the requests that are
// served before it.
func (g *group) estimate(e *entry, capacity router.Capacity, now time.Time) estimate {
	expected := estimate{service: time.Duration(g.service.high)}
	limit := capacity.Limit
	free := limit - capacity.InFlight
	if capacity.Usable == 0 {
		limit, free = 0, 0
		if capacity.ReadyAt.After(now) {
			expected.wait = capacity.ReadyAt.Sub(now)
			expected.known = true
		}
	}
	interval := time.Duration(g.service.mean / float64(max(limit, 1)))
	ahead := g.ahead(e, interval, now)
	expected.immediate = ahead < float64(free)
	if limit > 0 && ahead >= float64(free) && interval > 0 {
		queue := ahead - float64(free) + 1
		expected.wait += time.Duration(queue * float64(interval))
		expected.known = true
	}
	return expected
}

// unreachable reports whether the request is not expected to finish in the time
// left. A request that need not wait is always tried: otherwise a wrong estimate
// could refuse all requests and would never be corrected by a new measurement. The
// service time counts for at most half of the time left, since it may have been
// measured on longer requests.
func (e estimate) unreachable(left time.Duration) bool {
	if e.wait == 0 {
		return false
	}
	return e.wait+min(e.service, left/2) > left
}

// retryAfter returns the delay after which the caller should send the request
// again.
func (e estimate) retryAfter() time.Duration {
	if !e.known {
		return defaultRetryAfter
	}
	return min(max(e.wait, minRetryAfter), maxRetryAfter)
}

// ahead estimates the number of requests to be served before the entry: all
// waiting ones of higher priority, those of its flow with earlier deadlines, and of
// the other flows as many as their weights allow, whether they wait already or are
// expected to arrive meanwhile. Interval is the mean time between two served
// requests.
func (g *group) ahead(e *entry, interval time.Duration, now time.Time) float64 {
	priority := e.request.Priority
	ahead := e.flow.earlierDeadlines(e)
	target := max(e.flow.virtualTime, g.virtualTime) + ahead/e.flow.weight
	for higher := priority + 1; higher < priorities; higher++ {
		ahead += float64(g.byPriority[higher])
	}
	upperBound := ahead
	for _, other := range g.flows {
		upperBound += other.servedBefore(e.flow, priority, target)
	}
	wait := time.Duration(upperBound * float64(interval))
	for _, other := range g.flows {
		count := other.servedBefore(e.flow, priority, target)
		waiting := float64(len(other.heaps[priority]))
		if count > waiting {
			count = min(count, waiting+other.arrivals.rateAt(now)*wait.Seconds())
		}
		ahead += count
	}
	return ahead
}

// servedBefore estimates how many requests of the flow are served before one of
// another flow that starts at the virtual time target. The half request that is
// added is the average remainder of the one in progress. A flow without waiting
// requests of the priority counts as zero.
func (f *flow) servedBefore(other *flow, priority int, target float64) float64 {
	if f == other || len(f.heaps[priority]) == 0 {
		return 0
	}
	return max((target-f.virtualTime)*f.weight+0.5, 0)
}

// earlierDeadlines estimates how many of the flow's waiting entries of the same
// priority have an earlier deadline, assuming evenly spread deadlines.
func (f *flow) earlierDeadlines(e *entry) float64 {
	entries := f.heaps[e.request.Priority]
	if len(entries) == 0 {
		return 0
	}
	first := entries[0].refuseAt
	last := f.latest[e.request.Priority]
	switch {
	case !e.refuseAt.Before(last):
		return float64(len(entries))
	case e.refuseAt.Before(first):
		return 0
	}
	return float64(len(entries)) * float64(e.refuseAt.Sub(first)) / float64(last.Sub(first))
}
