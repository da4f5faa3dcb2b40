package ratelimit

import (
	"errors"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// voteMargin is how much longer than the limit's window a vote is kept: the requesting node
	// uses what was granted up to takeTimeout after the vote, and the use is what the window
	// bounds.
	voteMargin = 2 * takeTimeout
	// votedReserveShare is the share of a voted limit that the least urgent requests leave to
	// more urgent ones.
	votedReserveShare = 0.1
	// firstVersion of the counter nodes within a holder's term.
	firstVersion = 1
)

// errNoVote is returned to nodes that request a vote from a node that may not vote.
var errNoVote = errors.New("this node has not been a counter node for a window")

// voteQuorum is the number of counter nodes that have to allow a request: three quarters of
// them. With that, the limit holds whichever counter nodes are asked (see perCounter), and of
// eight counter nodes two may fail.
func voteQuorum(counters int) int { return (3*counters + 3) / 4 }

// perCounter returns the part of a voted limit that one counter node may allow. Each granted
// request has the votes of a quorum, so all nodes together get at most
// counters * perCounter / quorum, which is the limit.
func perCounter(limit Limit, counters int) Limit {
	share := float64(voteQuorum(counters)) / float64(counters)
	limit.Rate *= share
	limit.Burst *= share
	return limit
}

// vote is what this node allowed.
type vote struct {
	id   uint64
	cost float64
	at   time.Time
}

// voteMeter counts what this node allowed of one voted limit. Unlike meter it allows the whole
// limit at once.
type voteMeter struct {
	// votes in order of time.
	votes  []vote
	usedAt time.Time
}

// votes holds this node's votes as a counter node. It knows only its own: after a restart, or
// when this node becomes a counter node, it allows nothing for a window, since votes that were
// lost with a process, or cast by the node that this one replaces, still count. Only the first
// counter nodes of a system vote at once.
type votes struct {
	mutex     sync.Mutex
	isCounter bool
	// noneBefore: there were no counter nodes yet when this process read the store.
	noneBefore bool
	// since is when this node became a counter node; zero if there were none before.
	since  time.Time
	byName map[string]*voteMeter
}

func newVotes() *votes { return &votes{byName: map[string]*voteMeter{}} }

// setNoneBefore records that there were no counter nodes yet.
func (v *votes) setNoneBefore() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.noneBefore = true
}

// update is called when the counter nodes of this node, which has the address, changed.
func (v *votes) update(newest func() Counters, address string, now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	counters := newest()
	isCounter := slices.Contains(counters.Addresses, address)
	if isCounter && !v.isCounter {
		v.since = now
		if v.noneBefore && counters.Version == firstVersion {
			v.since = time.Time{}
		}
	}
	v.isCounter, v.noneBefore = isCounter, false
}

// cast decides on a request, and counts it if it is allowed. It returns false if this node may
// not vote.
func (v *votes) cast(request TakeRequest, now time.Time) (Verdict, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.isCounter || now.Sub(v.since) < request.Limit.Window+voteMargin {
		return Verdict{}, false
	}
	found := v.byName[request.Tenant]
	if found == nil {
		found = &voteMeter{}
		v.byName[request.Tenant] = found
	}
	return found.cast(request, now), true
}

// giveBack removes the vote with the ID, if it is still counted.
func (v *votes) giveBack(name string, id uint64) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if found := v.byName[name]; found != nil {
		found.votes = slices.DeleteFunc(found.votes, func(cast vote) bool { return cast.id == id })
	}
}

// prune drops limits that were not used for idleTime.
func (v *votes) prune(now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	maps.DeleteFunc(v.byName, func(_ string, idle *voteMeter) bool { return now.Sub(idle.usedAt) > idleTime })
}

func (m *voteMeter) cast(request TakeRequest, now time.Time) Verdict {
	m.usedAt = now
	kept := request.Limit.Window + voteMargin
	m.votes = slices.DeleteFunc(m.votes, func(cast vote) bool { return now.Sub(cast.at) >= kept })
	available := capacity(request.Limit) * (1 - votedReserveShare*request.Rank)
	for _, cast := range m.votes {
		available -= cast.cost
	}
	if request.Cost <= available {
		m.votes = append(m.votes, vote{id: request.Vote, cost: request.Cost, at: now})
		return Verdict{Allowed: true}
	}
	wait := m.wait(request.Cost-available, kept, now)
	return Verdict{RetryAfter: wait, NextSlotIn: wait}
}

// wait is the time until the missing amount has expired, and kept if it does not.
func (m *voteMeter) wait(missing float64, kept time.Duration, now time.Time) time.Duration {
	for _, cast := range m.votes {
		if missing -= cast.cost; missing <= 0 {
			return kept - now.Sub(cast.at)
		}
	}
	return kept
}
