package tenants

import (
	"context"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// errMayNotCount is the answer of a node that does not hear of enough others.
var errMayNotCount = errors.New("this node may be cut off from others that count")

// Take asks whether a request is within its tenant's limit, and counts it if it is.
func (q *Quota) Take(ctx context.Context, tenant *Tenant, need Need) Verdict {
	if tenant.Limit.Rate <= 0 {
		return Verdict{Within: true}
	}
	verdict := q.decide(ctx, tenant, tenant.Limit.Cost(need.Tokens), need.Rank)
	q.config.Counted(tenant.Name, verdict)
	return verdict
}

// decide asks the nodes that count the tenant in their order, and decides alone if
// none answers.
func (q *Quota) decide(ctx context.Context, tenant *Tenant, cost, rank float64) Verdict {
	ranked := q.counters.ranked(tenant.Name)
	for _, address := range ranked[:min(len(ranked), mostAsked)] {
		if q.isSilent(address) {
			continue
		}
		ask := Ask{Tenant: tenant.Name, Cost: cost, Rank: rank, Heard: q.heard.other(tenant.Name, address, time.Now())}
		if answer, answered := q.askOne(ctx, address, tenant, ask); answered {
			q.heard.set(tenant.Name, answer, time.Now())
			return Verdict{Within: answer.Within, RoomIn: answer.RoomIn, CountedBy: answer.CountedBy, process: answer.Process}
		}
	}
	now := time.Now()
	within, roomIn := q.alone.take(tenant, cost, q.heard.near(tenant, q.config.Window, now), now)
	return Verdict{Within: within, RoomIn: roomIn}
}

// askOne asks one node, which may be this one.
func (q *Quota) askOne(ctx context.Context, address string, tenant *Tenant, ask Ask) (Answer, bool) {
	if address == q.config.Address {
		if !q.mayCount(time.Now()) {
			return Answer{}, false
		}
		return q.count(tenant, ask), true
	}
	answers := make(chan *Answer, 1)
	q.config.Transport.Call(address, ask, askTimeout, func(message peer.Message, err error) {
		answer, isAnswer := message.(Answer)
		if err != nil || !isAnswer {
			q.setSilent(address, true)
			answers <- nil
			return
		}
		if !answer.Silent {
			q.noteHeard(address)
		}
		answers <- &answer
	})
	select {
	case answer := <-answers:
		if answer == nil {
			return Answer{}, false
		}
		return *answer, true
	case <-ctx.Done():
		return Answer{}, false
	}
}

// count counts on this node.
func (q *Quota) count(tenant *Tenant, ask Ask) Answer {
	within, roomIn, left := q.keeper.take(tenant, ask.Cost, ask.Rank, ask.Heard, time.Now())
	return Answer{Within: within, RoomIn: roomIn, CountedBy: q.config.Address, Process: q.process, Left: left}
}

// serveAsk answers another node. If this node is not the first that counts the
// tenant, it asks that one, whom the other node may not have reached.
func (q *Quota) serveAsk(from string, message peer.Message, reply func(peer.Message, error)) {
	ask := message.(Ask)
	answer := func(answer Answer) {
		answer.Silent = q.isSilent(from)
		reply(answer, nil)
	}
	if !ask.Silent {
		q.noteHeard(from)
	}
	if ask.Cost == 0 {
		answer(Answer{})
		return
	}
	if !q.mayCount(time.Now()) {
		reply(nil, errMayNotCount)
		return
	}
	tenant := q.tenant(ask.Tenant)
	if tenant == nil {
		// This node's configuration is older or newer than the other's, for the short time
		// that a change takes; the other node knows the tenant, and refuses unknown keys.
		// Without a process, since nothing was counted that could be given back.
		answer(Answer{Within: true, CountedBy: q.config.Address})
		return
	}
	ranked := q.counters.ranked(ask.Tenant)
	if ask.Relayed || len(ranked) == 0 || ranked[0] == q.config.Address || q.isSilent(ranked[0]) {
		answer(q.count(tenant, ask))
		return
	}
	relayed := ask
	relayed.Relayed = true
	q.config.Transport.Call(ranked[0], relayed, askTimeout/2, func(message peer.Message, err error) {
		if counted, isAnswer := message.(Answer); err == nil && isAnswer {
			answer(counted)
			return
		}
		q.setSilent(ranked[0], true)
		answer(q.count(tenant, ask))
	})
}

func (q *Quota) tenant(name string) *Tenant {
	directory := q.config.Directory()
	if directory == nil {
		return nil
	}
	return directory.ByName(name)
}

// Return gives back what was taken for a request that has not run, unless so much
// time has passed that the limit's window is over.
func (q *Quota) Return(tenant *Tenant, tokens int, verdict Verdict, taken time.Time) {
	if !verdict.Within || verdict.CountedBy == "" || time.Since(taken) > q.config.Window {
		return
	}
	cost := tenant.Limit.Cost(tokens)
	if verdict.CountedBy == q.config.Address {
		q.keeper.giveBack(tenant, cost, time.Now())
		return
	}
	q.config.Transport.Send(verdict.CountedBy, GiveBack{Tenant: tenant.Name, Cost: cost, Process: verdict.process})
}

func (q *Quota) serveGiveBack(_ string, message peer.Message, reply func(peer.Message, error)) {
	back := message.(GiveBack)
	if tenant := q.tenant(back.Tenant); tenant != nil && back.Process == q.process {
		q.keeper.giveBack(tenant, back.Cost, time.Now())
	}
	reply(nil, nil)
}
