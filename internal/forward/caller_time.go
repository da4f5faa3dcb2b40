package forward

import "time"

// maxWorkShare bounds the expected time of an attempt, as a share of the time that the request had when
// it arrived: long responses to others must not shut out those whose callers have less time.
const maxWorkShare = 0.5

// respondBy is the time by which the response must begin, or go on, before the caller leaves. A caller who
// has got events waits as long for the next one as for the first.
func (fl *flow) respondBy() time.Time {
	if fl.route.CallerWaitLimit <= 0 {
		return fl.deadline
	}
	since := fl.request.Accepted
	if last := fl.lastPassedOn.Load(); last != nil {
		since = *last
	}
	return earlier(fl.deadline, since.Add(fl.route.CallerWaitLimit-deadlineMargin))
}

// latestStart is the latest time at which a server can begin with the request and still serve it: the
// response has to begin while the caller waits for it, and to end before the deadline. Every request is
// held for as long as a server is expected to begin by then, and refused once none is.
func (f *Forwarder) latestStart(flow *flow) time.Time {
	firstByte := time.Duration(flow.request.PromptTokens+baseTokens) * f.tracker.averageTokenTime(flow.pool)
	whole := firstByte + f.tracker.expectedRunTime(flow.pool, flow.request.AnswerTokens)
	return earlier(flow.startFor(firstByte, flow.respondBy()), flow.startFor(whole, flow.deadline))
}

// startFor is the latest time to begin work that has to be done by the given one.
func (fl *flow) startFor(work time.Duration, doneBy time.Time) time.Time {
	total := doneBy.Sub(fl.request.Accepted)
	return doneBy.Add(-min(work, time.Duration(maxWorkShare*float64(total))))
}

// maxQueueWait is the longest queue at a server that the request may join. One that need not wait is
// always tried while its caller waits, so that an estimate can't shut out requests for good.
func (fl *flow) maxQueueWait(latestStart, now time.Time) time.Duration {
	left := latestStart.Sub(now)
	if left < 0 && now.Before(fl.respondBy()) {
		return 0
	}
	return left
}

// expectCapacity records when a server is expected to take the request, unless one was expected before.
func (fl *flow) expectCapacity(at time.Time) {
	if fl.capacityExpected.IsZero() {
		fl.capacityExpected = at
	}
}

// overdue is the time since a server was first expected to take the request; zero before that. What is
// overdue is expected to take as long again, even if servers report free slots: they may reject all the same.
func (fl *flow) overdue(now time.Time) time.Duration {
	if fl.capacityExpected.IsZero() {
		return 0
	}
	return max(now.Sub(fl.capacityExpected), 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
