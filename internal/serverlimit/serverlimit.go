// Package serverlimit keeps what all nodes together send to servers within the limits that
// these name in their answers.
//
// A server names its limit to one node at a time, and means all of them: the board of
// package notice has what this node heard or was told, and package ratelimit counts what
// all of them send.
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
	// Window over which a server's limit is kept: the one over which the users' platform
	// compares it. No turn is given further ahead.
	Window = 4 * time.Second
	// slowestRate in requests a second. A server that takes less, or nothing, gets one in
	// 20 s all the same, whose answer tells whether that still holds.
	slowestRate = 0.05
	// leastHorizon is the share of a window that the least urgent requests wait at most for
	// their turn, so that those which come later and are more urgent find an earlier one. With
	// all alike, 1 of 42 urgent requests was served beside 14 times as many others at a server
	// that takes 2 a second; so all 42 are (virtual time, 30 s).
	leastHorizon = 0.1
	// keyPrefix of the names of servers' limits; tenants have theirs without one.
	keyPrefix = "server "
)

// Request is what is asked of a server's limit.
type Request struct {
	// Rank is how urgent it is, from 0, the most urgent, to 1.
	Rank float64
	// MaxWait for its turn.
	MaxWait time.Duration
}

// Grant is the answer to a need. The zero Grant allows nothing.
type Grant struct {
	// Allowed: something may be sent.
	Allowed bool
	// Limited: the server had named a limit, from which it was taken.
	Limited bool
	// Delay is the time until it may be sent, if it is within.
	Delay time.Duration
	// RetryAfter is the time until there is room for it, if it is not within.
	RetryAfter time.Duration
	request    ratelimit.Request
	verdict    ratelimit.Verdict
}

// CountedFleetWide reports whether the grant was counted for all nodes, and not by this one
// alone.
func (g Grant) CountedFleetWide() bool { return g.verdict.CountedBy != "" }

// LimitSource tells the limits that servers have named.
type LimitSource interface {
	Limit(server *fleet.Server) notice.Limit
}

// Limiter counts over all nodes.
type Limiter interface {
	Take(ctx context.Context, request ratelimit.Request) ratelimit.Verdict
	Return(request ratelimit.Request, verdict ratelimit.Verdict)
}

// Limits are those of all servers, as this node keeps them. It is safe for concurrent use.
type Limits struct {
	board   LimitSource
	limiter Limiter
	// counted is called with each grant or refusal at a server with a limit.
	counted func(grant Grant)

	mutex sync.Mutex
	// turnAt is when each server's next turn is, by ID, as this node last learned.
	turnAt map[string]time.Time
}

// New returns limits at which nothing was asked for yet; counted may be nil.
func New(board LimitSource, limiter Limiter, counted func(grant Grant)) *Limits {
	if counted == nil {
		counted = func(Grant) {}
	}
	return &Limits{board: board, limiter: limiter, counted: counted, turnAt: map[string]time.Time{}}
}

// Take asks for one sending to a server.
func (l *Limits) Take(ctx context.Context, server *fleet.Server, need Request) Grant {
	limit := l.board.Limit(server)
	if !limit.Named {
		return Grant{Allowed: true}
	}
	request := ratelimit.Request{
		Name: keyPrefix + server.ID, Cost: 1, Rank: need.Rank, MaxWait: min(need.MaxWait, horizon(need.Rank)),
		Limit: ratelimit.Limit{Rate: max(limit.PerSecond, slowestRate), Window: Window, Paced: true},
	}
	verdict := l.limiter.Take(ctx, request)
	next := verdict.NextSlotIn
	if verdict.Allowed && verdict.Delay > 0 {
		next = verdict.Delay + interval(limit)
	}
	l.setTurn(server.ID, time.Now().Add(next))
	grant := Grant{
		Allowed: verdict.Allowed, Limited: true, Delay: verdict.Delay, RetryAfter: verdict.RetryAfter, request: request, verdict: verdict,
	}
	l.counted(grant)
	return grant
}

// horizon is how far ahead a request of the rank may be given its turn.
func horizon(rank float64) time.Duration {
	return time.Duration((1 - (1-leastHorizon)*rank) * float64(Window))
}

// Return gives back a grant for something that was not sent.
func (l *Limits) Return(grant Grant) {
	if grant.Allowed && grant.Limited {
		l.limiter.Return(grant.request, grant.verdict)
	}
}

// Limited reports whether a server has named a limit.
func (l *Limits) Limited(server *fleet.Server) bool { return l.board.Limit(server).Named }

// Interval between sendings that a server's limit allows on average; zero without a limit.
func (l *Limits) Interval(server *fleet.Server) time.Duration {
	limit := l.board.Limit(server)
	if !limit.Named {
		return 0
	}
	return interval(limit)
}

func interval(limit notice.Limit) time.Duration {
	return time.Duration(float64(time.Second) / max(limit.PerSecond, slowestRate))
}

// NextSlotIn is the time until the next turn at a server, as far as this node knows without
// asking; zero: it may be now, or the server has no limit.
func (l *Limits) NextSlotIn(server *fleet.Server, now time.Time) time.Duration {
	if !l.Limited(server) {
		return 0
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(l.turnAt[server.ID].Sub(now), 0)
}

func (l *Limits) setTurn(id string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.turnAt[id] = at
}

// Prune forgets what is past. It is called now and then.
func (l *Limits) Prune(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	maps.DeleteFunc(l.turnAt, func(_ string, at time.Time) bool { return now.After(at) })
}
