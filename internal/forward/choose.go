package forward

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

const (
	// maxRequestsPerSlot is the number of requests, running and queued, per slot at which
	// a server counts as full.
	maxRequestsPerSlot = 3
)

// candidate is a server that can take a request, with its score; the lowest score wins.
type candidate struct {
	server *fleet.Server
	load   *serverLoad
	score  time.Duration
	// perRequest is what each further request adds to the score while a slot is free, free the
	// number of free slots, and perQueued what a request adds in addition once there is none.
	perRequest, perQueued time.Duration
	free                  int
	// slowdown is the expected duration of work as a multiple of usual.
	slowdown float64
	// sharedAge is the age of the load, if loads of other nodes are in force.
	sharedAge time.Duration
	shared    bool
	// indirect: this node reaches the server through another node.
	indirect bool
	// suspectedSince is when this node received the suspicion that the server is unreachable.
	suspectedSince time.Time
	// slotIn is the expected wait for a slot under the server's rate limit; zero without a
	// limit. grant is what the limit granted when takeSlot asked for a slot.
	slotIn time.Duration
	grant  serverlimit.Grant
}

// filter reports whether a server may take the flow's next attempt.
type filter func(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool

// filters in order of cost, the cheapest first. They are called with the load's lock held.
var filters = []filter{takesNewWork, continuesStream, holdsModel, notTried, notPaused, hasCapacity}

func takesNewWork(_ *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	return !server.Draining
}

func holdsModel(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	if !server.Holds(flow.request.Model, flow.request.Adapter) {
		return false
	}
	return len(load.notHeld) == 0 || !load.notHeld[flow.modelAndAdapter()].covers(flow.request, notHeldTTL, now)
}

func notTried(flow *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	return !flow.tried[server.ID]
}

func notPaused(_ *flow, _ *fleet.Server, load *serverLoad, now time.Time) bool {
	return !now.Before(load.pausedUntil)
}

func hasCapacity(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	return load.estimateFor(flow.request, now) < maxRequestsPerSlot*max(server.Slots, 1)
}

// choice is the result of choosing a server.
type choice struct {
	// best is nil if no server can take the request now.
	best *candidate
	// eligible is the number of servers that hold the model and adapter of the request and
	// are not draining, whether or not they can take it now.
	eligible int
	// withoutSlot is the number of those whose rate limits have no slot for the request in
	// time.
	withoutSlot int
	// unreachable is the number of those to which connections failed, reachableIn the shortest time until
	// one of them is tried again.
	unreachable int
	reachableIn time.Duration
	// check is the check of a suspected server that the request may wait for, as no other can
	// take it; nil without one.
	check <-chan struct{}
	// checking is true if any suspected server that could take the request is being checked.
	checking bool
}

// candidateLists are lists for reuse: one of 60 servers takes 9 KB, which made up a sixth of the time
// of a choice.
var candidateLists = sync.Pool{New: func() any { return new([]candidate) }}

// choose filters and scores the pool's servers and reserves capacity at the best one.
func (f *Forwarder) choose(flow *flow, snapshot *fleet.Snapshot, now time.Time) choice {
	var result choice
	holders := snapshot.Holders(flow.pool, flow.request.Model)
	scratch := candidateLists.Get().(*[]candidate)
	defer candidateLists.Put(scratch)
	candidates := slices.Grow((*scratch)[:0], len(holders))
	shortestWait := time.Duration(math.MaxInt64)
	flow.runTime, flow.aheadShare = f.tracker.averageRunTime(flow.pool), f.aheadShare(flow)
	latestStart := f.latestStart(flow)
	maxWait, maxQueueWait := f.maxSlotWait(latestStart, now), flow.maxQueueWait(latestStart, now)
	loads := f.tracker.ofServers(holders)
	settled := f.settledVersions(flow)
	for i, server := range holders {
		load := loads[i]
		eligible, fits, queueWait, pause := f.assess(flow, server, load, now)
		// A server that rejects requests reports no load, so that without its backoff every
		// request would choose it first: 111 rejected attempts in 7 s at four such servers
		// (counted in the log lines of seven nodes).
		backoff := f.backoffs.BackoffUntil(server).Sub(now)
		slot := f.slotStateAt(flow, server, now)
		if eligible {
			result.eligible++
			if slot.refused {
				result.withoutSlot++
			}
			if pause > 0 && (result.unreachable == 0 || pause < result.reachableIn) {
				result.reachableIn = pause
			}
			if pause > 0 {
				result.unreachable++
			}
			shortestWait = min(shortestWait, max(backoff, slot.in, queueWait))
		}
		// The queue must be short enough for the request to be served while its caller waits.
		if fits && queueWait <= maxQueueWait && backoff <= 0 && slot.mayRequest(flow, maxWait) {
			candidates = append(candidates, candidate{server: server, load: load, slotIn: slot.in, indirect: f.indirect(server.Address)})
		}
	}
	candidates = preferSettled(candidates, settled)
	candidates, result.check, result.checking = f.avoidSuspected(flow, candidates, now)
	f.scoreAll(flow, candidates, now)
	if picked := f.pick(flow, candidates); picked != nil {
		best := *picked
		result.best = &best
	}
	*scratch = candidates
	flow.decision.Configuration = snapshot.Configuration.Revision
	flow.decision.Eligible, flow.decision.Candidates = result.eligible, len(candidates)
	flow.decision.QueueWait = 0
	if result.eligible > 0 {
		flow.decision.QueueWait = shortestWait
	}
	if result.best != nil {
		f.reserve(flow, result.best, now)
	}
	return result
}

// assess reports whether a server is eligible, that is, holds what is needed and takes new work,
// whether it fits, that is, passes all filters, how long a request would wait there for a slot, and how
// long nothing is sent there, since connections failed. It takes the newest load of the server first.
func (f *Forwarder) assess(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) (eligible, fits bool, queueWait, pause time.Duration) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	f.refreshLoad(server, load, now)
	eligible = takesNewWork(flow, server, load, now) && continuesStream(flow, server, load, now) && holdsModel(flow, server, load, now)
	queueWait, pause = load.queueWait(server.Slots, flow, now), load.unreachableFor(now)
	for _, passes := range filters {
		if !passes(flow, server, load, now) {
			return eligible, false, queueWait, pause
		}
	}
	return eligible, true, queueWait, pause
}

// reserve counts the request at the server before it is sent, and records what the decision
// was based on.
func (f *Forwarder) reserve(flow *flow, c *candidate, now time.Time) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	flow.decision.Load, flow.decision.Score = c.load.estimateFor(flow.request, now), c.score
	flow.decision.Slowdown, flow.decision.Indirect = c.slowdown, c.indirect
	flow.decision.LoadSource, flow.decision.LoadAge = c.load.source(flow.request, now)
	c.load.changeOwn(1, now)
	c.load.ownPrefill += flow.request.PromptTokens
	hashes := make([]uint64, len(flow.prefixes))
	for i, prefix := range flow.prefixes {
		hashes[i] = prefix.hash
	}
	if len(hashes) > 0 {
		c.load.addPrefixes(hashes, now)
	}
}

// prefix is the beginning of a prompt that other requests may share: its hash, and its
// length in tokens.
type prefix struct {
	hash   uint64
	tokens int
}

// sharedPrefixes returns the prefixes of the prompt, the shortest first, without its last
// part, which is the request's own.
func sharedPrefixes(request *Request) []prefix {
	if len(request.Prompt) < 2 {
		return nil
	}
	digest := xxhash.New()
	_, _ = digest.WriteString(request.Model + "/" + request.Adapter)
	prefixes := make([]prefix, 0, len(request.Prompt)-1)
	tokens := 0
	for _, part := range request.Prompt[:len(request.Prompt)-1] {
		_, _ = digest.WriteString("," + part.ID)
		tokens += part.Tokens
		prefixes = append(prefixes, prefix{hash: digest.Sum64(), tokens: tokens})
	}
	return prefixes
}
