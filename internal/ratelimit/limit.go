// Package ratelimit enforces rate limits over all nodes together: on what tenants use, and on
// what servers are sent.
//
// Each limit is counted by one of a few counter nodes, which the other nodes ask before they
// use something; if that node does not reply, the next one in the limit's order counts. A
// request passes through these files: take (this node asks a counter node), meters and meter
// (the counter node counts), remote_counts (this node keeps the count in the reply), fallback
// (no counter node replied). counters.go determines which nodes count. Voted limits pass through
// ballot (this node asks all counter nodes) and votes (each of them votes).
package ratelimit

import "time"

// Limit bounds what all nodes together use of something.
type Limit struct {
	// Rate in units a second; 0: no limit.
	Rate float64
	// Burst in units in excess of the rate, in each window.
	Burst float64
	// Window over which the limit holds.
	Window time.Duration
	// Paced limits spread the usage evenly and may grant a slot in the future; the usage is not
	// summed over the window. At first nothing is available, since the limit may just have
	// been set. A node that reaches no counter node grants its first request only after the
	// time in which its part of the rate yields one: otherwise each of 985 nodes would grant
	// one at once.
	Paced bool
	// Voted limits may be used up at once, and only the sum over the window is bounded. They
	// need no counter node that knows what was used: each counter node votes by what it allowed
	// itself, and a quorum of votes grants a request (votes.go). The sum stays within the limit
	// also while counter nodes fail, restart or are partitioned. It costs a call to each
	// counter node. What was granted can't be returned. A counter node of an earlier build,
	// which does not know the field, counts the limit as one with a token bucket, and so allows
	// no more.
	Voted bool
}

// Request is something to be counted.
type Request struct {
	// Name of the limit.
	Name string
	// Limit as this node has it. A counter node that has a limit of the name in its
	// configuration uses that one (Config.ConfiguredLimit).
	Limit Limit
	// Cost in the limit's unit.
	Cost float64
	// Rank is the urgency, from 0 (most urgent) to 1.
	Rank float64
	// MaxWait is how long the caller would wait for a slot of a paced limit.
	MaxWait time.Duration
	// TimeLeft is the time that the caller has, in which it may come back after a refusal; zero: a window.
	TimeLeft time.Duration
}

// Verdict is the decision on a Request.
type Verdict struct {
	// Allowed reports whether the request is within its limit.
	Allowed bool
	// Delay is the time until its slot, if it is allowed.
	Delay time.Duration
	// RetryAfter is the time until the limit has capacity for this request, if it is refused:
	// after the callers that were refused before.
	RetryAfter time.Duration
	// NextSlotIn is the time until the limit has capacity for any request, if this one is
	// refused.
	NextSlotIn time.Duration
	// CountedBy is the address of the counter node; empty if this node decided without one.
	CountedBy string
	// Queued: the request first waited for other requests of this node. If no counter node replied
	// in the remaining time, that does not show that they are out of reach.
	Queued bool
	// process of the counter node.
	process int64
	takenAt time.Time
}
