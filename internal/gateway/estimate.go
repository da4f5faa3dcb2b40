package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/router"
)

// Limits of what a refused caller is told.
const (
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = time.Minute
	// unknownRetryAfter is told when nothing is measured.
	unknownRetryAfter = time.Second
)

// Parameters of the service time estimate.
const (
	// meanGain is the weight of a new sample in the mean.
	meanGain = 0.05
	// quantileStep is the step of the quantiles, relative to the mean.
	quantileStep = 0.02
	highQuantile = 0.98
)

// serviceTimes estimates, from measured attempts, how long one takes. All
// figures are in nanoseconds; zero: nothing measured.
type serviceTimes struct {
	mean, high float64
}

// add takes in the duration of an attempt.
func (t *serviceTimes) add(duration time.Duration) {
	sample := float64(duration)
	if t.mean == 0 {
		*t = serviceTimes{mean: sample, high: sample}
		return
	}
	t.mean += meanGain * (sample - t.mean)
	t.high = track(t.high, sample, t.mean, highQuantile)
}

// track moves a quantile's estimate up or down by steps whose sizes balance at
// the quantile.
func track(estimate, sample, scale, quantile float64) float64 {
	if sample > estimate {
		return estimate + quantileStep*scale*quantile
	}
	return max(estimate-quantileStep*scale*(1-quantile), 0)
}

// estimate is what a new request has to expect.
type estimate struct {
	// wait until a place is free for it.
	wait time.Duration
	// service is how long its attempt may take.
	service time.Duration
	// immediate: a place is free for it now.
	immediate bool
	// known: the wait follows from something measured or told.
	known bool
}

// estimate returns the wait behind the requests that go first.
func (g *group) estimate(e *entry, capacity router.Capacity, now time.Time) estimate {
	expected := estimate{service: time.Duration(g.service.high)}
	places := capacity.Limit
	free := places - capacity.InFlight
	if capacity.Usable == 0 {
		places, free = 0, 0
		if capacity.ReadyAt.After(now) {
			expected.wait = capacity.ReadyAt.Sub(now)
			expected.known = true
		}
	}
	each := time.Duration(g.service.mean / float64(max(places, 1)))
	ahead := g.ahead(e, each, now)
	expected.immediate = ahead < float64(free)
	if places > 0 && ahead >= float64(free) && each > 0 {
		queue := ahead - float64(free) + 1
		expected.wait += time.Duration(queue * float64(each))
		expected.known = true
	}
	return expected
}

// unreachable reports whether the request can't be expected to be done in the
// time left. A request that needs not wait is always tried, so that the
// estimate can't refuse everything for ever; and the service time counts for
// no more than half of the time left, since it may come from longer requests.
func (e estimate) unreachable(left time.Duration) bool {
	if e.wait == 0 {
		return false
	}
	return e.wait+min(e.service, left/2) > left
}

// retryAfter is when a new try makes sense.
func (e estimate) retryAfter() time.Duration {
	if !e.known {
		return unknownRetryAfter
	}
	return min(max(e.wait, shortestRetryAfter), longestRetryAfter)
}

// ahead is the number of requests to be served before the entry, with the time
// that each takes off a place: all waiting of higher priority, those of its flow
// with earlier deadlines, and of the other flows as many as their weights allow,
// whether they wait already or will come meanwhile.
func (g *group) ahead(e *entry, each time.Duration, now time.Time) float64 {
	priority := e.request.Priority
	ahead := e.flow.earlier(e)
	target := max(e.flow.virtualTime, g.virtualTime) + ahead/e.flow.weight
	for higher := priority + 1; higher < priorities; higher++ {
		ahead += float64(g.byPriority[higher])
	}
	longest := ahead
	for _, other := range g.flows {
		longest += other.due(e.flow, priority, target)
	}
	wait := time.Duration(longest * float64(each))
	for _, other := range g.flows {
		due := other.due(e.flow, priority, target)
		waiting := float64(len(other.heaps[priority]))
		if due > waiting {
			due = min(due, waiting+other.arrivals.rateAt(now)*wait.Seconds())
		}
		ahead += due
	}
	return ahead
}

// due is how many requests the flow may have served before one of another flow
// that starts at a virtual time; on average half a request of the flow is under
// way. A flow in which nothing waits at the priority has no claim yet.
func (f *flow) due(other *flow, priority int, target float64) float64 {
	if f == other || len(f.heaps[priority]) == 0 {
		return 0
	}
	return max((target-f.virtualTime)*f.weight+0.5, 0)
}

// earlier estimates how many of the flow's entries of the same priority have an
// earlier deadline, as if the deadlines were spread evenly.
func (f *flow) earlier(e *entry) float64 {
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
