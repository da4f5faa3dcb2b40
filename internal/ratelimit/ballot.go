package ratelimit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// contentionPause is the mean time until a request is repeated that was refused because concurrent
// ones divided the votes. It is some round trips, so that the votes were returned and the requests
// arrive spread out. Without it, 14 of 455 simultaneous retries were granted where 149 were left.
const contentionPause = 25 * time.Millisecond

// takeVoted asks all counter nodes for their votes, and waits until a quorum has allowed the
// request or can't any more, for takeTimeout at most. A counter node that fails delays nothing
// while a quorum replies. A request that other ones deprived of a quorum is repeated in that time.
func (l *Limiter) takeVoted(ctx context.Context, request Request) Verdict {
	counters := l.counters.get().Addresses
	if len(counters) == 0 {
		return Verdict{}
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var refused Verdict
	for {
		verdict, contended := l.holdBallot(ctx, counters, request)
		switch {
		case verdict.CountedBy == "" && refused.CountedBy != "":
			// The time ended while the request was repeated.
			return refused
		case !contended:
			return verdict
		}
		refused = verdict
		select {
		case <-time.After(contentionPause/2 + rand.N(contentionPause)):
		case <-ctx.Done():
			return refused
		}
	}
}

// holdBallot asks all counter nodes once. It also reports whether the request was refused, though
// some counter nodes allowed it, as each of them allowed other ones of many concurrent requests.
func (l *Limiter) holdBallot(ctx context.Context, counters []string, request Request) (verdict Verdict, contended bool) {
	queued := len(l.ballots) == cap(l.ballots)
	select {
	case l.ballots <- struct{}{}:
		defer func() { <-l.ballots }()
	case <-ctx.Done():
		return Verdict{Queued: true}, false
	}
	message := TakeRequest{
		Tenant: request.Name, Limit: perCounter(request.Limit, len(counters)), Cost: request.Cost, Rank: request.Rank, Vote: rand.Uint64(),
		// A counter node of an earlier build must count the request itself.
		Relayed: true,
		List:    l.counters.list(),
	}
	votes := &ballot{counters: len(counters), decided: make(chan struct{}), giveBack: func(reply TakeReply) { l.returnVote(message, reply) }}
	for _, address := range counters {
		l.requestVote(address, message, votes)
	}
	verdict, contended = votes.await(ctx)
	verdict.Queued = queued
	return verdict, contended
}

// requestVote passes the vote of one counter node, which may be this one, to the ballot.
func (l *Limiter) requestVote(address string, message TakeRequest, votes *ballot) {
	if address == l.config.Address {
		if reply, mayVote := l.castVote(message); mayVote {
			votes.add(reply)
		} else {
			votes.addFailure()
		}
		return
	}
	l.config.Transport.Call(address, message, takeTimeout, func(received peer.Message, err error) {
		reply, isReply := received.(TakeReply)
		if err == nil && isReply {
			l.applyList(address, reply)
		}
		// A node that had no such limit counted nothing, whatever it replied.
		if err == nil && isReply && reply.Process != 0 {
			votes.add(reply)
		} else {
			votes.addFailure()
		}
	})
}

// castVote is this node's vote on a request.
func (l *Limiter) castVote(request TakeRequest) (TakeReply, bool) {
	verdict, mayVote := l.votes.cast(request, time.Now())
	return TakeReply{
		Within: verdict.Allowed, RoomIn: verdict.RetryAfter, NextIn: verdict.NextSlotIn, CountedBy: l.config.Address, Process: l.process, Voted: true,
	}, mayVote
}

// returnVote takes back a vote on a request that was not granted. A counter node of an earlier
// build keeps it: it can't tell a return that is delivered twice from two returns.
func (l *Limiter) returnVote(message TakeRequest, reply TakeReply) {
	switch {
	case !reply.Voted:
	case reply.CountedBy == l.config.Address:
		l.votes.giveBack(message.Tenant, message.Vote)
	default:
		l.config.Transport.Send(reply.CountedBy, ReturnMessage{Tenant: message.Tenant, Cost: message.Cost, Process: reply.Process, Vote: message.Vote})
	}
}

// ballot collects the votes on one request.
type ballot struct {
	counters int
	// giveBack returns a vote that is not used.
	giveBack func(reply TakeReply)
	// decided is closed once the verdict is set.
	decided chan struct{}

	mutex     sync.Mutex
	isDecided bool
	verdict   Verdict
	allowed   []TakeReply
	refused   int
	failed    int
	// refusedBy is the address of the last counter node that refused, and nextIn the longest
	// time until one that refused has capacity.
	refusedBy string
	nextIn    time.Duration
}

// add adds the vote of a counter node.
func (b *ballot) add(reply TakeReply) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !reply.Within {
		b.refused++
		b.refusedBy, b.nextIn = reply.CountedBy, max(b.nextIn, reply.NextIn)
		b.decide()
		return
	}
	if b.isDecided && !b.verdict.Allowed {
		b.giveBack(reply)
		return
	}
	b.allowed = append(b.allowed, reply)
	b.decide()
}

// addFailure records that a counter node does not vote.
func (b *ballot) addFailure() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failed++
	b.decide()
}

// decide sets the verdict if the votes so far determine it. The lock must be held.
func (b *ballot) decide() {
	needed := voteQuorum(b.counters)
	switch {
	case b.isDecided:
	case len(b.allowed) >= needed:
		b.set(Verdict{Allowed: true, CountedBy: b.allowed[needed-1].CountedBy, takenAt: time.Now()})
	case b.failed > b.counters-needed:
		b.set(Verdict{})
	case b.failed+b.refused > b.counters-needed:
		b.set(Verdict{RetryAfter: b.nextIn, NextSlotIn: b.nextIn, CountedBy: b.refusedBy})
	}
}

// set sets the verdict and gives unused votes back. The lock must be held.
func (b *ballot) set(verdict Verdict) {
	b.isDecided, b.verdict = true, verdict
	close(b.decided)
	if verdict.Allowed {
		return
	}
	for _, reply := range b.allowed {
		b.giveBack(reply)
	}
}

// isKept reports whether a vote can't be taken back, so that repeating the request would use up more.
func isKept(reply TakeReply) bool { return !reply.Voted }

// await returns the verdict, and whether the request was refused though some allowed it. Once the context is done, the request is refused as if no counter
// node had replied.
func (b *ballot) await(ctx context.Context) (verdict Verdict, contended bool) {
	select {
	case <-b.decided:
	case <-ctx.Done():
		b.mutex.Lock()
		defer b.mutex.Unlock()
		if !b.isDecided {
			b.set(Verdict{})
		}
		return b.verdict, false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.verdict, !b.verdict.Allowed && b.verdict.CountedBy != "" && len(b.allowed) > 0 && !slices.ContainsFunc(b.allowed, isKept)
}
