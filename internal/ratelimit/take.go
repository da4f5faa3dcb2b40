package ratelimit

import (
	"context"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// errNoQuorum is returned to other nodes while this node has no contact with more than half of
// the counter nodes.
var errNoQuorum = errors.New("this node may be cut off from others that count")

// Take asks whether a request is within its limit, and counts it if it is. It asks the counter
// nodes in the limit's order, and decides locally if none replies. For a voted limit it asks all
// counter nodes, and without a quorum of them the verdict is refused with an empty CountedBy.
func (l *Limiter) Take(ctx context.Context, request Request) Verdict {
	if request.Limit.Voted {
		return l.takeVoted(ctx, request)
	}
	ranked := l.counters.ranked(request.Name)
	for _, address := range ranked[:min(len(ranked), maxAsked)] {
		if l.isUnreachable(address) {
			continue
		}
		if reply, replied := l.takeAt(ctx, address, request); replied {
			l.remoteCounts.set(request.Name, reply, time.Now())
			return Verdict{
				Allowed: reply.Within, Delay: reply.In, RetryAfter: reply.RoomIn, NextSlotIn: reply.NextIn, CountedBy: reply.CountedBy,
				process: reply.Process, takenAt: time.Now(),
			}
		}
	}
	now := time.Now()
	allowed, retryAfter := l.fallback.take(request, fallbackState{
		nearLimit: l.remoteCounts.isNearLimit(request.Name, request.Limit, now), othersMayCount: len(ranked) > 0,
	}, now)
	// A counter node may be reachable again by the next probe.
	return Verdict{Allowed: allowed, RetryAfter: retryAfter, NextSlotIn: min(retryAfter, probePeriod)}
}

// takeAt asks one counter node, which may be this one.
func (l *Limiter) takeAt(ctx context.Context, address string, request Request) (TakeReply, bool) {
	message := TakeRequest{
		Tenant: request.Name, Cost: request.Cost, Rank: request.Rank, MaxWait: request.MaxWait, TimeLeft: request.TimeLeft,
		Heard: l.remoteCounts.except(request.Name, address, time.Now()), List: l.counters.list(),
	}
	if !l.isConfigured(request.Name) {
		message.Limit = request.Limit
	}
	if address == l.config.Address {
		if !l.hasQuorum(time.Now()) {
			return TakeReply{}, false
		}
		return l.countHere(request.Limit, message), true
	}
	replies := make(chan *TakeReply, 1)
	l.config.Transport.Call(address, message, takeTimeout, func(received peer.Message, err error) {
		reply, isReply := received.(TakeReply)
		if err != nil || !isReply {
			l.setUnreachable(address, true)
			replies <- nil
			return
		}
		l.noteReply(address, reply)
		replies <- &reply
	})
	select {
	case reply := <-replies:
		if reply == nil || reply.countedNothing() && !l.isConfigured(request.Name) {
			return TakeReply{}, false
		}
		return *reply, true
	case <-ctx.Done():
		return TakeReply{}, false
	}
}

// countedNothing reports whether the node had no such limit: it runs an earlier build, or has
// another configuration.
func (r TakeReply) countedNothing() bool { return r.Within && r.Process == 0 }

// countHere counts a request on this node.
func (l *Limiter) countHere(limit Limit, request TakeRequest) TakeReply {
	now := time.Now()
	verdict, count := l.meters.take(limit, request, now)
	return TakeReply{
		Within: verdict.Allowed, In: verdict.Delay, RoomIn: verdict.RetryAfter, NextIn: verdict.NextSlotIn, CountedBy: l.config.Address, Process: l.process, Left: count,
	}
}

// limitOf returns the limit of a request: the one that this node's configuration has under the
// name, or else the one that the requesting node sent.
func (l *Limiter) limitOf(request TakeRequest) (Limit, bool) {
	if limit, configured := l.config.ConfiguredLimit(request.Tenant); configured {
		return limit, true
	}
	return request.Limit, request.Limit.Rate > 0
}

// isConfigured reports whether this node's configuration has a limit of the name.
func (l *Limiter) isConfigured(name string) bool {
	_, configured := l.config.ConfiguredLimit(name)
	return configured
}

// serveTake handles a TakeRequest of another node.
func (l *Limiter) serveTake(from string, message peer.Message, reply func(peer.Message, error)) {
	request := message.(TakeRequest)
	if !request.Silent && !request.Limit.Voted {
		l.noteContact(from, request.List)
	}
	if request.List.isNewer(l.counters.list()) {
		l.probe(from, func() { l.serveCurrent(from, request, reply) })
		return
	}
	l.serveCurrent(from, request, reply)
}

// serveCurrent handles a request of another node, whose list of counter nodes is no newer than this
// node's unless it did not reply to a probe.
func (l *Limiter) serveCurrent(from string, request TakeRequest, reply func(peer.Message, error)) {
	if request.Limit.Voted {
		l.serveVote(from, request, reply)
		return
	}
	if request.Cost == 0 {
		reply(l.addressed(TakeReply{}, from, request), nil)
		return
	}
	now := time.Now()
	l.noteRequest(now)
	if l.isCounter() && !l.hasQuorum(now) && l.probeForQuorum(now) {
		// While nothing was limited, or since the list changed, the counter nodes did not confirm
		// each other. They may do so now.
		time.AfterFunc(quorumWait, func() { l.countOrRelay(from, request, reply) })
		return
	}
	l.countOrRelay(from, request, reply)
}

// addressed adds to a reply what the requesting node has to know of this one.
func (l *Limiter) addressed(reply TakeReply, from string, request TakeRequest) TakeReply {
	reply.Silent = l.isUnreachable(from)
	reply.List, reply.Counters = l.counters.list(), Counters{}
	if request.List.isKnown() && reply.List.isNewer(request.List) {
		reply.Counters = l.counters.get()
	}
	return reply
}

// serveVote handles a request of another node for this node's vote.
func (l *Limiter) serveVote(from string, request TakeRequest, reply func(peer.Message, error)) {
	vote, mayVote := l.castVote(request)
	if !mayVote {
		reply(nil, errNoVote)
		return
	}
	reply(l.addressed(vote, from, request), nil)
}

// countOrRelay handles a request of another node. If this node is not the first in the limit's
// order, it relays the request to the first, which the other node may have failed to reach, or may not
// know if its list of counter nodes is an older one.
func (l *Limiter) countOrRelay(from string, request TakeRequest, reply func(peer.Message, error)) {
	respond := func(taken TakeReply) { reply(l.addressed(taken, from, request), nil) }
	isCounter := l.isCounter()
	if isCounter && !l.hasQuorum(time.Now()) {
		reply(nil, errNoQuorum)
		return
	}
	limit, exists := l.limitOf(request)
	if isCounter && !exists {
		// While a configuration change spreads, this node's configuration may be older or
		// newer than that of the requesting node, which has the limit. The reply has no
		// process, since nothing was counted that could be returned.
		respond(TakeReply{Within: true, CountedBy: l.config.Address})
		return
	}
	ranked := l.counters.ranked(request.Tenant)
	count := func() {
		if !l.hasQuorum(time.Now()) {
			reply(nil, errNoQuorum)
			return
		}
		respond(l.countHere(limit, request))
	}
	if request.Relayed || len(ranked) == 0 || ranked[0] == l.config.Address || l.isUnreachable(ranked[0]) {
		count()
		return
	}
	relayed := request
	relayed.Relayed, relayed.List = true, l.counters.list()
	l.config.Transport.Call(ranked[0], relayed, takeTimeout/2, func(received peer.Message, err error) {
		if taken, isReply := received.(TakeReply); err == nil && isReply {
			l.noteReply(ranked[0], taken)
			respond(taken)
			return
		}
		l.setUnreachable(ranked[0], true)
		count()
	})
}

// Return gives back what was taken for a request that was not executed, unless the limit's
// window has passed since, or the limit is voted.
func (l *Limiter) Return(request Request, verdict Verdict) {
	if request.Limit.Voted || !verdict.Allowed || verdict.CountedBy == "" || time.Since(verdict.takenAt) > request.Limit.Window {
		return
	}
	if verdict.CountedBy == l.config.Address {
		l.meters.giveBack(request.Name, request.Cost, time.Now())
		return
	}
	l.config.Transport.Send(verdict.CountedBy, ReturnMessage{Tenant: request.Name, Cost: request.Cost, Process: verdict.process})
}

// serveReturn handles a ReturnMessage of another node.
func (l *Limiter) serveReturn(_ string, message peer.Message, reply func(peer.Message, error)) {
	switch returned := message.(ReturnMessage); {
	case returned.Process != l.process:
	case returned.Vote != 0:
		l.votes.giveBack(returned.Tenant, returned.Vote)
	default:
		l.meters.giveBack(returned.Tenant, returned.Cost, time.Now())
	}
	reply(nil, nil)
}
