package ratelimit

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/window"
)

const (
	// surgeShare of what a window allows may come at once, so that callers who ask
	// for more all the time get the rate, and not all at once and then nothing. After a
	// loss of all nodes nobody knows what came before, and a surge, the rate over the
	// window and startTime of it must stay below what is tolerated.
	surgeShare = 0.2
	// reserveShare of a surge is left to more urgent requests by the least urgent ones.
	reserveShare = 0.5
	// costWeight of a request in the usual cost.
	costWeight = 0.05
	// startTime of the rate is what may be had at once from a node that has not
	// run for a window yet, and has not heard what came before.
	startTime = 500 * time.Millisecond
	// nearLimit is the share of a surge below which a limit is nearly reached.
	nearLimit = 0.25
)

// account counts what may still be had of one limit: no more than rate times window plus
// burst in any window and, so that this does not go at once, no more than a token
// bucket gives. Unlike golang.org/x/time/rate it takes requests that cost more than
// the bucket holds, when it is full, and takes tokens back.
type account struct {
	length time.Duration
	// recent is what this node counted within the window, before what others had.
	recent   window.Sum
	before   float64
	beforeAt time.Time
	// level of the bucket in the limit's unit as of at; below zero after a request
	// that cost more than there was.
	level float64
	at    time.Time
	// carefulFrom is when this node began to count without knowing what came before;
	// zero if it knew.
	carefulFrom time.Time
	// usualCost of the requests.
	usualCost float64
	// nextRoom is until when refused callers were told to stay away.
	nextRoom time.Time
}

// newAccount is full if the node has run for a window, in which nobody asked it for
// the limit. It is empty where the limit may have begun just now, after as much was used
// as was asked for.
func newAccount(limit Limit, running time.Duration, now time.Time) *account {
	a := &account{length: limit.Window, recent: window.NewSum(limit.Window, now), level: surge(limit), at: now}
	switch {
	case limit.Paced:
		a.level = 0
	case running < limit.Window:
		a.level = min(a.level, limit.Rate*startTime.Seconds())
		a.carefulFrom = now
	}
	return a
}

// capacity is what may be had within a window.
func capacity(limit Limit) float64 {
	return limit.Rate*limit.Window.Seconds() + limit.Burst
}

func surge(limit Limit) float64 { return surgeShare * capacity(limit) }

// near reports whether so little is left that the limit is nearly reached.
func near(limit Limit, count Count) bool {
	return count.Level < nearLimit*surge(limit)
}

// levelNow adds what the time since the last call brings.
func (a *account) levelNow(limit Limit, now time.Time) float64 {
	if passed := now.Sub(a.at); passed > 0 {
		a.level += limit.Rate * passed.Seconds()
		a.at = now
	}
	a.level = min(a.level, surge(limit))
	return a.level
}

// used is what counts within the window now. What other nodes had counted leaves
// evenly.
func (a *account) used(now time.Time) float64 {
	return a.recent.Total(now) + aged(a.before, now.Sub(a.beforeAt), a.length)
}

// aged is how much of an amount is still within the window, if it came evenly.
func aged(amount float64, age, length time.Duration) float64 {
	return amount * max(0, 1-age.Seconds()/length.Seconds())
}

// count is what others are told.
func (a *account) count(limit Limit, now time.Time) Count {
	return Count{Known: true, Level: a.levelNow(limit, now), Used: a.used(now)}
}

// hear takes over what another node had counted, where that leaves less than is known
// here. Where little was left, what came since was probably used.
func (a *account) hear(count Count, limit Limit, now time.Time) {
	left, used := count.Level, count.Used
	if !near(limit, count) {
		left += limit.Rate * count.Age.Seconds()
		used = aged(used, count.Age, a.length)
	}
	a.level = min(a.levelNow(limit, now), left)
	if missing := used - a.used(now); missing > 0 {
		a.before, a.beforeAt = aged(a.before, now.Sub(a.beforeAt), a.length)+missing, now
	}
}

// take takes the cost, if there is room for it, or will be within the time that the asking
// node waits. Otherwise it tells how long it takes until there is, and each refused caller
// another time within a window, so that they don't come back together.
func (a *account) take(limit Limit, ask TakeRequest, now time.Time) Verdict {
	wait := a.wait(limit, ask, now)
	if wait <= ask.MaxWait {
		a.level -= ask.Cost
		a.recent.Add(ask.Cost, now)
		return Verdict{Allowed: true, Delay: wait}
	}
	room := now.Add(wait)
	if room.Before(a.nextRoom) {
		room = a.nextRoom
	}
	a.nextRoom = room.Add(timeFor(ask.Cost, limit.Rate))
	return Verdict{RetryAfter: min(room.Sub(now), max(a.length, wait)), NextSlotIn: wait}
}

// wait is the time until there is room; zero: there is.
func (a *account) wait(limit Limit, ask TakeRequest, now time.Time) time.Duration {
	missing := min(ask.Cost+a.reserve(limit, ask.Cost, ask.Rank, now), surge(limit)) - a.levelNow(limit, now)
	wait := timeFor(max(missing, 0), limit.Rate)
	if limit.Paced {
		return wait
	}
	if over := a.used(now) + min(ask.Cost, capacity(limit)) - capacity(limit); over > 0 {
		return max(wait, a.recent.LeavesIn(over, now))
	}
	return wait
}

// reserve is what a request has to leave to more urgent ones. One that costs less than
// the others leaves much less: refusing it would spare little. After a careful
// start the reserve grows over a window, as there is little in the bucket for anybody.
func (a *account) reserve(limit Limit, cost, rank float64, now time.Time) float64 {
	a.usualCost += costWeight * (cost - a.usualCost)
	size := min(cost/a.usualCost, 1)
	share := reserveShare * rank * size * size
	if !a.carefulFrom.IsZero() {
		share *= min(now.Sub(a.carefulFrom).Seconds()/a.length.Seconds(), 1)
	}
	return share * surge(limit)
}

// giveBack returns the cost of a request that has not run.
func (a *account) giveBack(cost float64, now time.Time) {
	a.level += cost
	a.recent.Add(-min(cost, max(a.recent.Total(now), 0)), now)
}

// timeFor is how long a rate takes to bring the units.
func timeFor(units, rate float64) time.Duration {
	return time.Duration(units / rate * float64(time.Second))
}
