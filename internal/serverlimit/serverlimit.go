// Package serverlimit enforces the request rate limits that servers announce in their
// responses.
//
// A server announces its limit in a response to one node, but the limit applies to all nodes
// together. The registry of package notice holds the limits that this node observed or
// received from other nodes; package ratelimit counts what all nodes send.
package serverlimit

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

const (
	// window over which a server's limit is enforced: servers announce requests a second.
	window = time.Second
	// minRate is the lowest rate in requests a second. A server that accepts less, or nothing,
	// still gets one request in 20 s, since the response shows whether its limit still holds.
	minRate = 0.05
	// minLookaheadShare is the share of the time for which the least urgent requests would wait
	// in which they are granted a slot, which leaves later slots to more urgent requests that
	// arrive until then. The most urgent ones are granted any slot in their time.
	minLookaheadShare = 0.1
	// controlIntervals is the number of average intervals between two control calls to a server with a
	// limit: at most half of what the limit allows is for them.
	controlIntervals = 2
	// keyPrefix of the names of servers' limits. Names of tenants' limits have no prefix.
	keyPrefix = "server "
)

// Request asks whether something may be sent to a server.
type Request struct {
	// Rank is the urgency, from 0 (most urgent) to 1.
	Rank float64
	// MaxWait is how long the caller would wait for its slot.
	MaxWait time.Duration
	// Control marks an order or a call for a report. Its response doesn't show whether the limit still
	// holds, so it leaves slots to requests, whose responses do.
	Control bool
}

// Grant is the result of a Request. The zero Grant allows nothing.
type Grant struct {
	// Allowed reports whether the request may be sent.
	Allowed bool
	// Limited reports whether the server has a limit, against which the request was counted.
	Limited bool
	// Delay is the time until the request may be sent, if it is allowed.
	Delay time.Duration
	// RetryAfter is the time until the limit has capacity for the request, if it is refused.
	RetryAfter time.Duration
	request    ratelimit.Request
	verdict    ratelimit.Verdict
}

// CountedFleetWide reports whether a counter node counted the grant, for all nodes. If not,
// this node decided without one, or the server has no limit.
func (g Grant) CountedFleetWide() bool { return g.verdict.CountedBy != "" }

// LimitSource has the limits that servers have announced.
type LimitSource interface {
	Limit(server *fleet.Server) notice.Limit
}

// Limiter counts requests over all nodes, as ratelimit.Limiter does.
type Limiter interface {
	Take(ctx context.Context, request ratelimit.Request) ratelimit.Verdict
	Return(request ratelimit.Request, verdict ratelimit.Verdict)
}

// Limits enforces the limits of all servers at this node. It is safe for concurrent use.
type Limits struct {
	source  LimitSource
	limiter Limiter
	// onGrant is called with each grant or refusal at a server with a limit.
	onGrant func(grant Grant)

	mutex sync.Mutex
	// nextSlotAt is the time of the next free slot by server ID, as of this node's last request.
	nextSlotAt map[string]time.Time
	// nextControlAt is the time from which a control call may take a slot, by server ID. One node sends
	// them all.
	nextControlAt map[string]time.Time
}

// New returns Limits without state; onGrant may be nil.
func New(source LimitSource, limiter Limiter, onGrant func(grant Grant)) *Limits {
	if onGrant == nil {
		onGrant = func(Grant) {}
	}
	return &Limits{source: source, limiter: limiter, onGrant: onGrant, nextSlotAt: map[string]time.Time{}, nextControlAt: map[string]time.Time{}}
}

// Take asks whether one request may be sent to a server, and counts it if it may.
func (l *Limits) Take(ctx context.Context, server *fleet.Server, need Request) Grant {
	limit := l.source.Limit(server)
	if !limit.Named {
		return Grant{Allowed: true}
	}
	if wait := l.controlWait(server.ID, need); wait > 0 {
		return Grant{Limited: true, RetryAfter: wait}
	}
	request := ratelimit.Request{
		Name: keyPrefix + server.ID, Cost: 1, Rank: need.Rank, MaxWait: lookahead(need), TimeLeft: need.MaxWait,
		Limit: ratelimit.Limit{Rate: max(limit.PerSecond, minRate), Window: window, Paced: true},
	}
	verdict := l.limiter.Take(ctx, request)
	next := verdict.NextSlotIn
	if verdict.Allowed && verdict.Delay > 0 {
		next = verdict.Delay + interval(limit)
	}
	l.setNextSlot(server.ID, time.Now().Add(next))
	if need.Control && verdict.Allowed {
		l.setNextControl(server.ID, time.Now().Add(verdict.Delay+controlIntervals*interval(limit)))
	}
	grant := Grant{
		Allowed: verdict.Allowed, Limited: true, Delay: verdict.Delay, RetryAfter: verdict.RetryAfter, request: request, verdict: verdict,
	}
	l.onGrant(grant)
	return grant
}

// lookahead is how far ahead the request is granted a slot.
func lookahead(need Request) time.Duration {
	return time.Duration((1 - (1-minLookaheadShare)*need.Rank) * float64(need.MaxWait))
}

// Return gives back a grant for something that was not sent.
func (l *Limits) Return(grant Grant) {
	if grant.Allowed && grant.Limited {
		l.limiter.Return(grant.request, grant.verdict)
	}
}

// Limited reports whether a server has announced a limit.
func (l *Limits) Limited(server *fleet.Server) bool { return l.source.Limit(server).Named }

// Interval returns the average time between requests that a server's limit allows; zero
// without a limit.
func (l *Limits) Interval(server *fleet.Server) time.Duration {
	limit := l.source.Limit(server)
	if !limit.Named {
		return 0
	}
	return interval(limit)
}

func interval(limit notice.Limit) time.Duration {
	return time.Duration(float64(time.Second) / max(limit.PerSecond, minRate))
}

// NextSlotIn returns the time until the next free slot at a server, as of this node's last
// request; zero if the slot is free now or the server has no limit.
func (l *Limits) NextSlotIn(server *fleet.Server, now time.Time) time.Duration {
	if !l.Limited(server) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.nextSlotAt[server.ID].Sub(now), 0)
}

func (l *Limits) setNextSlot(id string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nextSlotAt[id] = at
}

// controlWait returns the time until a call may take a slot, if it is a control call.
func (l *Limits) controlWait(id string, need Request) time.Duration {
	if !need.Control {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return time.Until(l.nextControlAt[id])
}

func (l *Limits) setNextControl(id string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.nextControlAt[id] = at
}

// Prune drops slots that have passed. It is called periodically.
func (l *Limits) Prune(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	hasPassed := func(_ string, at time.Time) bool { return now.After(at) }
	maps.DeleteFunc(l.nextSlotAt, hasPassed)
	maps.DeleteFunc(l.nextControlAt, hasPassed)
}
