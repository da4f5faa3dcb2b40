package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

const (
	// otherZonePenalty is added to the score of a server in another zone.
	otherZonePenalty = 3 * time.Millisecond
	// trialCompanyPenalty is added for each request at a server to the score of a trial of a poison
	// request. It exceeds all other terms: the trial may crash the server under these requests, and
	// proves nothing if they may be the cause.
	trialCompanyPenalty = time.Minute
	// maxRequestsPerSlot is the number of requests, running and queued, per slot at which
	// a server counts as full.
	maxRequestsPerSlot = 3
	// preferredCachedShare is the share of a prompt prefix that is assumed to be cached at
	// the server that all nodes prefer for it.
	preferredCachedShare = 0.6
	// Bounds of a server's latency factor in its score.
	minLatencyFactor, maxLatencyFactor = 0.7, 8.0
)

// candidate is a server that can take a request, with its score; the lowest score wins.
type candidate struct {
	server *fleet.Server
	load   *serverLoad
	score  time.Duration
	// slotIn is the expected wait for a slot under the server's rate limit; zero without a
	// limit. grant is what the limit granted when takeSlot asked for a slot.
	slotIn time.Duration
	grant  serverlimit.Grant
}

// filter reports whether a server may take the flow's next attempt.
type filter func(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool

// startsInTime reports whether the server's queue is short enough for the request to begin
// while that is useful to the caller.
func startsInTime(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	return !now.Add(load.queueWait(server.Slots, flow.runTime, now)).After(flow.startBy(now))
}

// filters in order of cost, the cheapest first. They are called with the load's lock held.
var filters = []filter{takesNewWork, holdsModel, notTried, notPaused, hasCapacity, startsInTime}

func takesNewWork(_ *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	return !server.Draining
}

func holdsModel(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	if !server.Holds(flow.request.Model, flow.request.Adapter) {
		return false
	}
	return !now.Before(load.notHeldUntil[flow.modelAndAdapter()])
}

func notTried(flow *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	return !flow.tried[server.ID]
}

func notPaused(_ *flow, _ *fleet.Server, load *serverLoad, now time.Time) bool {
	return !now.Before(load.pausedUntil)
}

func hasCapacity(_ *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	return load.estimate(now) < maxRequestsPerSlot*max(server.Slots, 1)
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
}

// choose filters and scores the pool's servers and reserves capacity at the best one.
func (f *Forwarder) choose(flow *flow, snapshot *fleet.Snapshot, now time.Time) choice {
	var result choice
	var candidates []candidate
	var waits []time.Duration
	flow.runTime = f.tracker.averageRunTime(flow.pool)
	maxWait := f.maxSlotWait(flow, now)
	for _, server := range snapshot.Holders(flow.pool, flow.request.Model) {
		load := f.tracker.of(server.ID)
		eligible, fits := applyFilters(flow, server, load, now)
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
			waits = append(waits, max(backoff, slot.in, load.queueWaitNow(server.Slots, flow.runTime, now)))
		}
		if fits && backoff <= 0 && slot.mayRequest(flow, maxWait) {
			candidates = append(candidates, candidate{server: server, load: load, slotIn: slot.in})
		}
	}
	preferred := f.preferredServer(flow, candidates)
	tokenTime := f.tracker.averageTokenTime(flow.pool)
	for i := range candidates {
		f.score(flow, &candidates[i], candidates[i].server.ID == preferred, tokenTime, now)
		if result.best == nil || candidates[i].score < result.best.score {
			result.best = &candidates[i]
		}
	}
	flow.decision.Configuration = snapshot.Configuration.Revision
	flow.decision.Eligible, flow.decision.Candidates = result.eligible, len(candidates)
	flow.decision.QueueWait = 0
	if len(waits) > 0 {
		flow.decision.QueueWait = slices.Min(waits)
	}
	if result.best != nil {
		f.reserve(flow, result.best, now)
	}
	return result
}

// applyFilters reports whether a server is eligible, that is, holds what is needed and takes
// new work, and whether it fits, that is, passes all filters.
func applyFilters(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) (eligible, fits bool) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	eligible = takesNewWork(flow, server, load, now) && holdsModel(flow, server, load, now)
	for _, passes := range filters {
		if !passes(flow, server, load, now) {
			return eligible, false
		}
	}
	return eligible, true
}

// preferredServer is the ID of the candidate that all nodes prefer for the shared part of
// the prompt, by rendezvous hashing; empty without a shared part.
func (f *Forwarder) preferredServer(flow *flow, candidates []candidate) string {
	if len(flow.prefixes) == 0 {
		return ""
	}
	shared := flow.prefixes[len(flow.prefixes)-1].hash
	var best string
	var highest uint64
	for _, c := range candidates {
		if value := xxhash.Sum64String(c.server.ID) ^ shared; best == "" || mix(value) > highest {
			best, highest = c.server.ID, mix(value)
		}
	}
	return best
}

// mix spreads a hash's bits. It is the finalizer of MurmurHash3.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// score sets the candidate's score: the expected time until the response begins, with
// penalties for other zones, rate limits and recent failures.
func (f *Forwarder) score(flow *flow, c *candidate, preferred bool, tokenTime time.Duration, now time.Time) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	tokens := flow.request.PromptTokens - cachedTokens(flow, c.load, preferred) + c.load.ownPrefill + baseTokens
	latency := min(max(c.load.latencyNow(now), minLatencyFactor), maxLatencyFactor)
	crowding := 1 + float64(c.load.estimate(now))/float64(max(c.server.Slots, 1))
	c.score = time.Duration(float64(tokenTime) * float64(tokens) * latency * crowding)
	c.score += c.load.queueWait(c.server.Slots, flow.runTime, now)
	c.score += c.slotIn + f.limitPenalty(flow, c.server)
	c.score += time.Duration(2 * c.load.failureRate(now) * float64(flow.route.LatencyObjective))
	if c.server.Zone != f.zone {
		c.score += otherZonePenalty
	}
	if flow.trial {
		c.score += time.Duration(c.load.estimate(now)) * trialCompanyPenalty
	}
}

// cachedTokens is the number of prompt tokens that the server is expected to have cached:
// the longest prefix that this node sent there, or a share of it at the preferred server.
func cachedTokens(flow *flow, load *serverLoad, preferred bool) int {
	for i := len(flow.prefixes) - 1; i >= 0; i-- {
		if _, sent := load.prefixes[flow.prefixes[i].hash]; sent {
			return flow.prefixes[i].tokens
		}
	}
	if preferred && len(flow.prefixes) > 0 {
		return int(preferredCachedShare * float64(flow.prefixes[len(flow.prefixes)-1].tokens))
	}
	return 0
}

// reserve counts the request at the server before it is sent, and records what the decision
// was based on.
func (f *Forwarder) reserve(flow *flow, c *candidate, now time.Time) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	flow.decision.Load, flow.decision.Score, flow.decision.LoadAge = c.load.estimate(now), c.score, 0
	if c.load.report.Reported {
		flow.decision.LoadAge = now.Sub(c.load.reportedAt)
	}
	c.load.own++
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
