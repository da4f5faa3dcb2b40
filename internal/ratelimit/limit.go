// Package ratelimit keeps limits over all nodes together: of what tenants get, and of what
// servers take.
//
// One node counts each limit, and the others ask it before they use something; if that
// node does not answer, the next one in the limit's order counts. A question walks through
// the files: ask (this node asks), keeper and account (another one counts), heard (what
// this node learns from the answer), alone (nobody answered). File counters says who counts.
package ratelimit

import "time"

// Limit bounds what all nodes together use of something.
type Limit struct {
	// Rate in units a second; 0: no limit.
	Rate float64
	// Burst in units above the rate, in each window.
	Burst float64
	// Window over which the limit holds.
	Window time.Duration
	// Paced: what is used is spread over time, and may be granted ahead of it; nothing is
	// summed over the window. Nothing is left at first, since the limit may have begun just
	// now, and a node that has to decide alone gives its first request only after its share
	// of time: without that each of 985 nodes would give one at once.
	Paced bool
}

// Request is something that is to be counted.
type Request struct {
	// Name of the limit.
	Name string
	// Limit as this node knows it. The node that counts goes by its own word where it has
	// one (Config.Known).
	Limit Limit
	// Cost in the limit's unit.
	Cost float64
	// Rank among the requests, from 0, the most urgent, to 1.
	Rank float64
	// MaxWait is how long who asks would wait for its turn, where the limit is paced.
	MaxWait time.Duration
}

// Verdict says whether a request is within its limit.
type Verdict struct {
	Allowed bool
	// Delay is the time until it may be used, if it is within.
	Delay time.Duration
	// RetryAfter is the time until there is room for this request, if it is not within: others
	// were told that they come before.
	RetryAfter time.Duration
	// NextSlotIn is the time until there is room for any request, if it is not within.
	NextSlotIn time.Duration
	// CountedBy is the address of the node that counted for all; empty if this node
	// had to decide alone.
	CountedBy string
	// process of that node which did.
	process int64
	takenAt time.Time
}
