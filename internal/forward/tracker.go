package forward

import (
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// reportedLoadTTL is how long a load that a server reported is used.
	reportedLoadTTL = time.Second
	// failureHalfLife of a server's failure rate. It doubles with each consecutive fault of a response after the first,
	// up to maxFaultLevel: what a server sends shows that it is faulty, whatever the network does.
	failureHalfLife = 2 * time.Second
	// faultWeight is by how much a fault raises the fault level, of which a sound response takes 1.
	faultWeight   = 2
	maxFaultLevel = 4 * faultWeight
	// latencyHalfLife of the deviation of a server's latency factor from 1.
	latencyHalfLife = 4 * time.Second
	// Bounds of the pause after a failed connection; it doubles with each failure.
	minPause, maxPause = 400 * time.Millisecond, 3 * time.Second
	// maxPrefixes is the number of prompt prefixes that are kept for each server.
	maxPrefixes = 256
	// latencyWeight is the weight of a new sample in a server's latency factor.
	latencyWeight = 0.2
)

// serverLoad is what this node has observed of one server through its own requests.
type serverLoad struct {
	mutex sync.Mutex
	// own is the number of this node's requests in flight.
	own int
	// ownPrefill is the number of prompt tokens of own requests without a response head.
	ownPrefill int
	// report is the load that the server reported at reportedAt, ownAtReport the value of own
	// then.
	report      Load
	reportedAt  time.Time
	ownAtReport int
	// incarnation is the one that speed, shared and ownLoadAt belong to. ownLoadAt is when this node received
	// the newest load that it recorded for all nodes.
	incarnation fleet.Incarnation
	shared      sharedLoad
	ownLoadAt   time.Time
	// full is the server's last rejection of a request as full without a report of its load.
	full  fullMark
	speed speed
	// checkedSince identifies the suspicion that this node checked last, by when it received it.
	checkedSince time.Time
	// checks is the number of checks in progress.
	checks int
	// ownChanges are the changes of own within observation.LoadLifetime, the oldest first.
	ownChanges []ownChange
	// failures is a rate from 0 to 1 as of failuresAt.
	failures   float64
	failuresAt time.Time
	// faultLevel rises with each response whose bytes show a fault of the server, and falls with each sound one.
	faultLevel int
	// pausedUntil is the time until which nothing is sent, since connections failed; pause
	// is the length of that pause.
	pausedUntil time.Time
	pause       time.Duration
	// latency is the factor by which the time to the first byte differs from the pool's
	// average, as of latencyAt.
	latency   float64
	latencyAt time.Time
	// notHeld are the server's last rejections of requests for models that it answered not to hold,
	// or refused without a reason, by model and adapter.
	notHeld map[string]rejection
	// prefixes are the times at which prompt prefixes were last sent here, by hash.
	prefixes map[uint64]time.Time
}

// estimate is the estimated number of requests at the server, running and waiting. Loads of other
// nodes in force replace this node's estimate. The lock must be held.
func (s *serverLoad) estimate(now time.Time) int {
	if s.usesShared() {
		return s.sharedEstimate()
	}
	return s.ownEstimate(now)
}

// ownEstimate is the estimate without the loads of other nodes: the reported load, corrected by this
// node's requests since, or only this node's requests if the report is too old. The lock must be held.
func (s *serverLoad) ownEstimate(now time.Time) int {
	if s.report.Reported && now.Sub(s.reportedAt) < reportedLoadTTL {
		return max(s.own, s.report.Running+s.report.Waiting+s.own-s.ownAtReport)
	}
	return s.own
}

// queueWait is how long the flow's request would wait for a slot: for one request to end, and for those
// of the waiting ones that the server starts first. The lock must be held.
func (s *serverLoad) queueWait(slots int, flow *flow, now time.Time) time.Duration {
	slots = max(slots, 1)
	ahead := float64(s.estimateFor(flow.request, now) - slots + 1)
	if ahead <= 0 {
		return 0
	}
	if s.usesSharedFor(flow.request) {
		ahead = 1 + (ahead-1)*flow.aheadShare
	}
	return time.Duration(ahead / float64(slots) * float64(flow.runTime) * s.speed.sustainedAt(now))
}

// atUsualSpeed is the duration that work on the server would have had at its usual speed.
func (s *serverLoad) atUsualSpeed(took time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Duration(float64(took) / s.speed.sustainedAt(now))
}

// failureRate is the recent share of failed attempts, which decays with time.
func (s *serverLoad) failureRate(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	halfLife := failureHalfLife << (max(s.faultLevel-1, 0) / faultWeight)
	return s.failures * math.Exp2(-now.Sub(s.failuresAt).Seconds()/halfLife.Seconds())
}

// latencyNow is the latency factor, which decays to 1 with time, so that a server that was slow is
// tried again.
func (s *serverLoad) latencyNow(now time.Time) float64 {
	age := now.Sub(s.latencyAt).Seconds() / latencyHalfLife.Seconds()
	return 1 + (s.latency-1)*math.Exp2(-age)
}

// setReported records the load that was reported with a response.
func (s *serverLoad) setReported(load Load, now time.Time) {
	if !load.Reported {
		return
	}
	s.report, s.reportedAt, s.ownAtReport = load, now, s.own
}

// recordResult counts an attempt's success or failure.
func (s *serverLoad) recordResult(failed bool, now time.Time) {
	rate := s.failureRate(now)
	const weight = 0.25
	rate -= rate * weight
	if failed {
		rate += weight
	} else {
		s.faultLevel = max(s.faultLevel-1, 0)
	}
	s.failures, s.failuresAt = rate, now
}

// recordBroken counts a response that broke by the error.
func (s *serverLoad) recordBroken(err error, now time.Time) {
	s.recordResult(true, now)
	var fault *StreamError
	var invalid invalidResponse
	if errors.As(err, &fault) || errors.As(err, &invalid) {
		s.faultLevel = min(s.faultLevel+faultWeight, maxFaultLevel)
	}
}

// recordReachable ends the pause after failed connections.
func (s *serverLoad) recordReachable() { s.pause, s.pausedUntil = 0, time.Time{} }

// recordUnreachable pauses the server, for twice as long each time.
func (s *serverLoad) recordUnreachable(now time.Time) {
	if now.Before(s.pausedUntil) {
		return
	}
	s.pause = min(max(2*s.pause, minPause), maxPause)
	s.pausedUntil = now.Add(s.pause)
}

// unreachableFor is how long nothing is sent, since connections failed; zero if they did not. The lock
// must be held.
func (s *serverLoad) unreachableFor(now time.Time) time.Duration {
	if s.pause == 0 {
		return 0
	}
	return max(s.pausedUntil.Sub(now), 0)
}

// addPrefixes notes the prefixes of a prompt that is sent to the server.
func (s *serverLoad) addPrefixes(prefixes []uint64, now time.Time) {
	if s.prefixes == nil {
		s.prefixes = map[uint64]time.Time{}
	}
	for _, prefix := range prefixes {
		s.prefixes[prefix] = now
	}
	for len(s.prefixes) > maxPrefixes {
		s.evictOldestPrefix()
	}
}

func (s *serverLoad) evictOldestPrefix() {
	var oldest uint64
	var oldestAt time.Time
	for prefix, at := range s.prefixes {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = prefix, at
		}
	}
	delete(s.prefixes, oldest)
}

// tracker keeps the loads of all servers by the ID of their incarnation. It is safe for concurrent
// use.
type tracker struct {
	mutex   sync.Mutex
	servers map[string]*serverLoad
	// freed is closed when capacity may have become free.
	freed chan struct{}
	// tokenTime is the average time to the first byte per prompt token, in nanoseconds, by
	// pool.
	tokenTime map[string]float64
	// runTime is the average time from a response's beginning to its end at the usual speed of
	// the servers, in nanoseconds, by pool. queueWait multiplies it by a server's slowdown.
	runTime map[string]float64
	// answerTokens is the average of the longest possible answers of those responses, in tokens, by pool.
	answerTokens map[string]float64
}

func newTracker() *tracker {
	return &tracker{servers: map[string]*serverLoad{}, freed: make(chan struct{}), tokenTime: map[string]float64{}, runTime: map[string]float64{}, answerTokens: map[string]float64{}}
}

// of returns the load of the server with the ID.
func (t *tracker) of(id string) *serverLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.entry(id)
}

// ofServers returns the loads of the servers, in their order.
func (t *tracker) ofServers(servers []*fleet.Server) []*serverLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	loads := make([]*serverLoad, len(servers))
	for i, server := range servers {
		loads[i] = t.entry(server.ID)
	}
	return loads
}

// entry returns the load of the server with the ID. The lock must be held.
func (t *tracker) entry(id string) *serverLoad {
	found := t.servers[id]
	if found == nil {
		found = &serverLoad{notHeld: map[string]rejection{}, latency: 1}
		t.servers[id] = found
	}
	return found
}

// prune discards the loads of servers that are not listed any more and have no requests in flight.
func (t *tracker) prune(listed func(id string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, load := range t.servers {
		if !listed(id) && load.idle() {
			delete(t.servers, id)
		}
	}
}

func (s *serverLoad) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.own == 0
}

// endPauses ends the pauses of all servers after failed connections.
func (t *tracker) endPauses() {
	t.mutex.Lock()
	loads := slices.Collect(maps.Values(t.servers))
	t.mutex.Unlock()
	for _, load := range loads {
		load.mutex.Lock()
		load.recordReachable()
		load.mutex.Unlock()
	}
}

// notifyFreed wakes the requests that wait for capacity.
func (t *tracker) notifyFreed() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	close(t.freed)
	t.freed = make(chan struct{})
}

func (t *tracker) freedChannel() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.freed
}

// baseTokens is the work of a request that does not depend on its prompt's length, in tokens.
const baseTokens = 600

// averageTokenTime is the pool's average time to the first byte per prompt token.
func (t *tracker) averageTokenTime(pool string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if average, known := t.tokenTime[pool]; known {
		return time.Duration(average)
	}
	return defaultTokenTime
}

// recordRun adds a response to the pool's averages: its longest possible answer in tokens, and the time from
// its beginning to its end at the usual speed of its server.
func (t *tracker) recordRun(pool string, answerTokens int, took time.Duration) {
	t.recordRunTime(pool, took)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addSample(t.answerTokens, pool, float64(answerTokens))
}

// expectedRunTime is the expected time from a response's beginning to its end at the usual speed of the
// servers, in proportion to its longest possible answer in tokens; zero until the first response has ended.
func (t *tracker) expectedRunTime(pool string, answerTokens int) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	run := t.runTime[pool]
	if average := t.answerTokens[pool]; average > 0 && answerTokens > 0 {
		run *= float64(answerTokens) / average
	}
	return time.Duration(run)
}

// recordRunTime adds the time from a response's beginning to its end, at the usual speed of its
// server, to the pool's average.
func (t *tracker) recordRunTime(pool string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	addSample(t.runTime, pool, float64(took))
}

// addSample adds a sample to a pool's moving average.
func addSample(averages map[string]float64, pool string, sample float64) {
	average, known := averages[pool]
	if !known {
		average = sample
	}
	averages[pool] = average + latencyWeight/4*(sample-average)
}

// averageRunTime is the pool's average time from a response's beginning to its end at the usual speed
// of the servers; zero until the first response has ended.
func (t *tracker) averageRunTime(pool string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Duration(t.runTime[pool])
}

// defaultTokenTime is the time per prompt token that is assumed until a server of the pool has
// answered.
const defaultTokenTime = 40 * time.Microsecond

// recordFirstByte adds the time to a first byte to the pool's average, and to the server's latency
// factor. A time below the clock's resolution says nothing about either.
func (t *tracker) recordFirstByte(pool string, load *serverLoad, tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	perToken := float64(took) / float64(tokens+baseTokens)
	t.mutex.Lock()
	average, known := t.tokenTime[pool]
	if !known {
		average = perToken
	}
	average += latencyWeight / 4 * (math.Min(perToken, 4*average) - average)
	t.tokenTime[pool] = average
	t.mutex.Unlock()
	load.mutex.Lock()
	defer load.mutex.Unlock()
	now := time.Now()
	before := load.latencyNow(now)
	// What the reported slowdown explains is not counted twice.
	factor := perToken / average / load.speed.sustainedAt(now)
	load.latency, load.latencyAt = before+latencyWeight*(factor-before), now
}
