package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// otherZonePenalty is added to the score of a server in another zone.
	otherZonePenalty = 3 * time.Millisecond
	// indirectPenalty is added to the score of a server that is reached through another node.
	indirectPenalty = 6 * time.Millisecond
	// preferredCachedShare is the share of a prompt prefix that is assumed to be cached at
	// the server that all nodes prefer for it.
	preferredCachedShare = 0.6
	// Bounds of a server's latency factor in its score.
	minLatencyFactor, maxLatencyFactor = 0.7, 8.0
)

// scoreAll sets the scores of the candidates.
func (f *Forwarder) scoreAll(flow *flow, candidates []candidate, now time.Time) {
	preferred := f.preferredServer(flow, candidates)
	tokenTime := f.tracker.averageTokenTime(flow.pool)
	for i := range candidates {
		f.score(flow, &candidates[i], candidates[i].server.ID == preferred, tokenTime, now)
	}
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

// score sets the candidate's score: the expected time until the response begins, with what a
// slot of a rate limit and recent failures cost in time, and penalties for other zones and
// indirect paths.
func (f *Forwarder) score(flow *flow, c *candidate, preferred bool, tokenTime time.Duration, now time.Time) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	tokens := flow.request.PromptTokens - cachedTokens(flow, c.load, preferred) + c.load.ownPrefill + baseTokens
	latency := min(max(c.load.latencyNow(now), minLatencyFactor), maxLatencyFactor)
	slots, present := max(c.server.Slots, 1), c.load.estimateFor(flow.request, now)
	slowdown := c.load.speed.sustainedAt(now)
	alone := float64(tokenTime) * float64(tokens) * latency * slowdown
	crowding := 1 + float64(present)/float64(slots)
	c.score = time.Duration(alone * crowding)
	c.perRequest, c.perQueued = time.Duration(alone/float64(slots)), time.Duration(float64(flow.runTime)*slowdown/float64(slots))
	c.free = max(slots-present, 0)
	c.slowdown = slowdown
	c.sharedAge, c.shared = now.Sub(c.load.shared.at), c.load.usesSharedFor(flow.request)
	c.score += c.load.queueWait(c.server.Slots, flow, now)
	// The request takes a slot of the server's rate limit, for which the next one waits an interval longer. So a
	// server with a limit is left to requests that no other one can serve in time.
	c.score += c.slotIn + f.limits.Interval(c.server)
	c.score += time.Duration(c.load.failureRate(now) * float64(flow.failureCost(now)))
	if c.server.Zone != f.zone {
		c.score += otherZonePenalty
	}
	if c.indirect {
		c.score += indirectPenalty
	}
}

// failureCost is the time that a failed attempt costs the caller: the attempt's share of the time left where
// another attempt may follow, otherwise all of it.
func (fl *flow) failureCost(now time.Time) time.Duration {
	if fl.route.Repeatable() {
		return fl.attemptShare(now)
	}
	return max(fl.respondBy().Sub(now), 0)
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
