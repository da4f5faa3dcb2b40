package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

const (
	// otherZonePenalty is what a server in another zone costs.
	otherZonePenalty = 3 * time.Millisecond
	// overfull is how many requests a slot may have before the server is full.
	overfull = 3
	// firstChoiceShare of a prefix is taken as kept by the server that all nodes
	// would choose first for it.
	firstChoiceShare = 0.6
	// latencyBounds of the factor by which a slow server's time counts.
	lowestLatency, highestLatency = 0.7, 8.0
)

// candidate is a server that can take a request, with its score.
type candidate struct {
	server *fleet.Server
	load   *serverLoad
	score  time.Duration
	// turnIn is the expected wait for a turn where the server has a limit, and grant what was
	// taken from it, once the place was.
	turnIn time.Duration
	grant  serverlimit.Grant
}

// filter reports whether a server may take the flow's next attempt.
type filter func(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool

// startsInTime: the server's queue lets the request begin while that is useful.
func startsInTime(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	return !now.Add(load.queueWait(server.Slots, flow.runTime, now)).After(flow.startBy(now))
}

// filters in order of cost. They are called with the load's lock held.
var filters = []filter{takesNewWork, holdsModel, notTried, notPaused, hasPlace, startsInTime}

func takesNewWork(_ *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	return !server.Draining
}

func holdsModel(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	if !server.Holds(flow.request.Model, flow.request.Adapter) {
		return false
	}
	return !now.Before(load.missing[flow.need()])
}

func notTried(flow *flow, server *fleet.Server, _ *serverLoad, _ time.Time) bool {
	return !flow.tried[server.ID]
}

func notPaused(_ *flow, _ *fleet.Server, load *serverLoad, now time.Time) bool {
	return !now.Before(load.pausedUntil)
}

func hasPlace(_ *flow, server *fleet.Server, load *serverLoad, now time.Time) bool {
	return load.estimate(now) < overfull*max(server.Slots, 1)
}

// choice is the result of looking for a server.
type choice struct {
	best *candidate
	// able servers hold what the request needs, whether or not they can take
	// it now.
	able int
	// turnless are those of them whose limits give the request no turn in time.
	turnless int
}

// choose filters and scores the pool's servers and reserves a place at the
// best one.
func (f *Forwarder) choose(flow *flow, snapshot *fleet.Snapshot, now time.Time) choice {
	var result choice
	var candidates []candidate
	var waits []time.Duration
	flow.runTime = f.tracker.usualRunTime(flow.pool)
	mostWait := f.mostTurnWait(flow, now)
	for _, server := range snapshot.Holders(flow.pool, flow.request.Model) {
		load := f.tracker.of(server.ID)
		able, fits := passes(flow, server, load, now)
		// A server that turns requests away tells that it has no load, so that without this
		// it is the first choice of each request: 111 refused attempts in 7 s at four such
		// servers (count of the attempts' log lines, seven nodes).
		backoff := f.backoffs.BackoffUntil(server).Sub(now)
		turn := f.turnAt(flow, server, now)
		if able {
			result.able++
			if turn.refused {
				result.turnless++
			}
			waits = append(waits, max(backoff, turn.in, load.queueWaitNow(server.Slots, flow.runTime, now)))
		}
		if fits && backoff <= 0 && turn.mayBeAsked(flow, mostWait) {
			candidates = append(candidates, candidate{server: server, load: load, turnIn: turn.in})
		}
	}
	first := f.firstChoice(flow, candidates)
	usual := f.tracker.usualTokenTime(flow.pool)
	for i := range candidates {
		f.score(flow, &candidates[i], candidates[i].server.ID == first, usual, now)
		if result.best == nil || candidates[i].score < result.best.score {
			result.best = &candidates[i]
		}
	}
	flow.belief.Configuration = snapshot.Configuration.Revision
	flow.belief.Eligible, flow.belief.Candidates = result.able, len(candidates)
	flow.belief.QueueWait = 0
	if len(waits) > 0 {
		flow.belief.QueueWait = slices.Min(waits)
	}
	if result.best != nil {
		f.reserve(flow, result.best, now)
	}
	return result
}

// passes tells whether a server holds what is needed, and whether it may be
// sent the request now.
func passes(flow *flow, server *fleet.Server, load *serverLoad, now time.Time) (able, fits bool) {
	load.mutex.Lock()
	defer load.mutex.Unlock()
	able = takesNewWork(flow, server, load, now) && holdsModel(flow, server, load, now)
	for _, passed := range filters {
		if !passed(flow, server, load, now) {
			return able, false
		}
	}
	return able, true
}

// firstChoice is the candidate that each node would choose first for the shared
// part of the prompt, by the highest hash.
func (f *Forwarder) firstChoice(flow *flow, candidates []candidate) string {
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

// mix spreads a hash's bits (the finalizer of MurmurHash3).
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// score is the time until the answer begins, as expected, with penalties.
func (f *Forwarder) score(flow *flow, c *candidate, first bool, usual time.Duration, now time.Time) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	tokens := flow.request.PromptTokens - cachedTokens(flow, c.load, first) + c.load.ownPrefill + baseTokens
	latency := min(max(c.load.latencyNow(now), lowestLatency), highestLatency)
	crowding := 1 + float64(c.load.estimate(now))/float64(max(c.server.Slots, 1))
	c.score = time.Duration(float64(usual) * float64(tokens) * latency * crowding)
	c.score += c.load.queueWait(c.server.Slots, flow.runTime, now)
	c.score += c.turnIn + f.limitPenalty(flow, c.server)
	c.score += time.Duration(2 * c.load.failureRate(now) * float64(flow.route.LatencyObjective))
	if c.server.Zone != f.zone {
		c.score += otherZonePenalty
	}
}

// cachedTokens is how much of the prompt the server is expected to have kept.
func cachedTokens(flow *flow, load *serverLoad, first bool) int {
	for i := len(flow.prefixes) - 1; i >= 0; i-- {
		if _, sent := load.prefixes[flow.prefixes[i].hash]; sent {
			return flow.prefixes[i].tokens
		}
	}
	if first && len(flow.prefixes) > 0 {
		return int(firstChoiceShare * float64(flow.prefixes[len(flow.prefixes)-1].tokens))
	}
	return 0
}

// reserve takes a place at the server.
func (f *Forwarder) reserve(flow *flow, c *candidate, now time.Time) {
	c.load.mutex.Lock()
	defer c.load.mutex.Unlock()
	flow.belief.Load, flow.belief.Score, flow.belief.LoadAge = c.load.estimate(now), c.score, 0
	if c.load.hint.Reported {
		flow.belief.LoadAge = now.Sub(c.load.hintAt)
	}
	c.load.own++
	c.load.ownPrefill += flow.request.PromptTokens
	hashes := make([]uint64, len(flow.prefixes))
	for i, prefix := range flow.prefixes {
		hashes[i] = prefix.hash
	}
	if len(hashes) > 0 {
		c.load.remember(hashes, now)
	}
}

// prefix is a beginning of a prompt that other requests may share.
type prefix struct {
	hash   uint64
	tokens int
}

// sharedPrefixes returns the beginnings of the prompt without its last part,
// which belongs to the request alone.
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
