package ratelimit

import (
	"context"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// errMayNotCount is the answer of a node that does not hear of enough others.
var errMayNotCount = errors.New("this node may be cut off from others that count")

// Take asks whether a request is within its limit, and counts it if it is: it asks the
// nodes that count the limit in their order, and decides alone if none answers.
func (l *Limiter) Take(ctx context.Context, request Request) Verdict {
	ranked := l.counters.ranked(request.Name)
	for _, address := range ranked[:min(len(ranked), mostAsked)] {
		if l.isSilent(address) {
			continue
		}
		if answer, answered := l.askOne(ctx, address, request); answered {
			l.heard.set(request.Name, answer, time.Now())
			return Verdict{
				Allowed: answer.Within, Delay: answer.In, RetryAfter: answer.RoomIn, NextSlotIn: answer.NextIn, CountedBy: answer.CountedBy,
				process: answer.Process, takenAt: time.Now(),
			}
		}
	}
	now := time.Now()
	within, roomIn := l.alone.take(request.Name, request.Limit, request.Cost, l.heard.near(request.Name, request.Limit, now), now)
	// A node that counts for all may answer soon.
	return Verdict{Allowed: within, RetryAfter: roomIn, NextSlotIn: min(roomIn, probePeriod)}
}

// askOne asks one node, which may be this one.
func (l *Limiter) askOne(ctx context.Context, address string, request Request) (TakeReply, bool) {
	ask := TakeRequest{
		Tenant: request.Name, Cost: request.Cost, Rank: request.Rank, MaxWait: request.MaxWait, Heard: l.heard.other(request.Name, address, time.Now()),
	}
	if !l.isKnown(request.Name) {
		ask.Limit = request.Limit
	}
	if address == l.config.Address {
		if !l.mayCount(time.Now()) {
			return TakeReply{}, false
		}
		return l.count(request.Limit, ask), true
	}
	answers := make(chan *TakeReply, 1)
	l.config.Transport.Call(address, ask, askTimeout, func(message peer.Message, err error) {
		answer, isAnswer := message.(TakeReply)
		if err != nil || !isAnswer {
			l.setSilent(address, true)
			answers <- nil
			return
		}
		if !answer.Silent {
			l.noteHeard(address)
		}
		answers <- &answer
	})
	select {
	case answer := <-answers:
		if answer == nil || answer.countedNothing() && !l.isKnown(request.Name) {
			return TakeReply{}, false
		}
		return *answer, true
	case <-ctx.Done():
		return TakeReply{}, false
	}
}

// countedNothing: the node knows no such limit. It runs an earlier build, or its
// configuration is another one.
func (a TakeReply) countedNothing() bool { return a.Within && a.Process == 0 }

// count counts on this node.
func (l *Limiter) count(limit Limit, ask TakeRequest) TakeReply {
	now := time.Now()
	verdict, left := l.keeper.take(limit, ask, now)
	return TakeReply{
		Within: verdict.Allowed, In: verdict.Delay, RoomIn: verdict.RetryAfter, NextIn: verdict.NextSlotIn, CountedBy: l.config.Address, Process: l.process, Left: left,
	}
}

// limitOf is the limit that an ask is about: the one that this node knows by the name, or
// else the asking node's.
func (l *Limiter) limitOf(ask TakeRequest) (Limit, bool) {
	if limit, known := l.config.ConfiguredLimit(ask.Tenant); known {
		return limit, true
	}
	return ask.Limit, ask.Limit.Rate > 0
}

// isKnown: the limit has a name that the nodes' configuration knows.
func (l *Limiter) isKnown(name string) bool {
	_, known := l.config.ConfiguredLimit(name)
	return known
}

// serveAsk answers another node.
func (l *Limiter) serveAsk(from string, message peer.Message, reply func(peer.Message, error)) {
	ask := message.(TakeRequest)
	answer := func(answer TakeReply) {
		answer.Silent = l.isSilent(from)
		reply(answer, nil)
	}
	if !ask.Silent {
		l.noteHeard(from)
	}
	if ask.Cost == 0 {
		answer(TakeReply{})
		return
	}
	now := time.Now()
	l.noteAsked(now)
	if l.mayCount(now) {
		l.countFor(ask, answer)
		return
	}
	if !l.lookAgain(now) {
		reply(nil, errMayNotCount)
		return
	}
	// Nothing was limited before, so that the others were not heard.
	time.AfterFunc(lookTime, func() {
		if !l.mayCount(time.Now()) {
			reply(nil, errMayNotCount)
			return
		}
		l.countFor(ask, answer)
	})
}

// countFor answers a question of another node. If this node is not the first that counts the
// limit, it asks that one, whom the other node may not have reached.
func (l *Limiter) countFor(ask TakeRequest, answer func(TakeReply)) {
	limit, known := l.limitOf(ask)
	if !known {
		// This node's configuration is older or newer than the other's, for the short time
		// that a change takes; the other node knows the limit.
		// Without a process, since nothing was counted that could be given back.
		answer(TakeReply{Within: true, CountedBy: l.config.Address})
		return
	}
	ranked := l.counters.ranked(ask.Tenant)
	if ask.Relayed || len(ranked) == 0 || ranked[0] == l.config.Address || l.isSilent(ranked[0]) {
		answer(l.count(limit, ask))
		return
	}
	relayed := ask
	relayed.Relayed = true
	l.config.Transport.Call(ranked[0], relayed, askTimeout/2, func(message peer.Message, err error) {
		if counted, isAnswer := message.(TakeReply); err == nil && isAnswer {
			answer(counted)
			return
		}
		l.setSilent(ranked[0], true)
		answer(l.count(limit, ask))
	})
}

// Return gives back what was taken for a request that has not run, unless so much
// time has passed that the limit's window is over.
func (l *Limiter) Return(request Request, verdict Verdict) {
	if !verdict.Allowed || verdict.CountedBy == "" || time.Since(verdict.takenAt) > request.Limit.Window {
		return
	}
	if verdict.CountedBy == l.config.Address {
		l.keeper.giveBack(request.Name, request.Cost, time.Now())
		return
	}
	l.config.Transport.Send(verdict.CountedBy, ReturnMessage{Tenant: request.Name, Cost: request.Cost, Process: verdict.process})
}

func (l *Limiter) serveGiveBack(_ string, message peer.Message, reply func(peer.Message, error)) {
	if back := message.(ReturnMessage); back.Process == l.process {
		l.keeper.giveBack(back.Tenant, back.Cost, time.Now())
	}
	reply(nil, nil)
}
