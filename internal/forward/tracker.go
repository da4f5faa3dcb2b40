package forward

import (
	"math"
	"sync"
	"time"
)

const (
	// hintLifetime is how long a server's own word of its load is used.
	hintLifetime = time.Second
	// failureHalfLife of a server's failure rate.
	failureHalfLife = 2 * time.Second
	// latencyHalfLife of what is known of a server's latency.
	latencyHalfLife = 4 * time.Second
	// Bounds of the pause after failed connections; it doubles between them.
	firstPause, longestPause = 400 * time.Millisecond, 3 * time.Second
	// cachedPrefixes is how many prefixes are remembered for each server.
	cachedPrefixes = 256
	// latencyWeight of a new sample in a server's latency.
	latencyWeight = 0.2
)

// serverLoad is what this node knows of one server from its own requests.
type serverLoad struct {
	mutex sync.Mutex
	// own requests that are under way.
	own int
	// ownPrefill is the prompt tokens of own requests without a first byte.
	ownPrefill int
	hint       Load
	hintAt     time.Time
	ownAtHint  int
	// failures is a rate from 0 to 1 as of failuresAt.
	failures   float64
	failuresAt time.Time
	// pausedUntil: nothing is sent, since connections failed.
	pausedUntil time.Time
	pause       time.Duration
	// latency is the time to the first byte against what the pool needs, as of
	// latencyAt.
	latency   float64
	latencyAt time.Time
	// missing models, until when they are not looked for here.
	missing map[string]time.Time
	// prefixes that were sent here, by hash.
	prefixes map[uint64]time.Time
}

// estimate is the number of requests at the server.
func (s *serverLoad) estimate(now time.Time) int {
	if s.hint.Reported && now.Sub(s.hintAt) < hintLifetime {
		return max(s.own, s.hint.Running+s.hint.Waiting+s.own-s.ownAtHint)
	}
	return s.own
}

// queueWait is how long a request would wait for a slot, if each is taken for the
// run time.
func (s *serverLoad) queueWait(slots int, runTime time.Duration, now time.Time) time.Duration {
	slots = max(slots, 1)
	ahead := s.estimate(now) - slots + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(slots) * float64(runTime))
}

// queueWaitNow is queueWait for callers that do not hold the lock.
func (s *serverLoad) queueWaitNow(slots int, runTime time.Duration, now time.Time) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.queueWait(slots, runTime, now)
}

func (s *serverLoad) failureRate(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	age := now.Sub(s.failuresAt).Seconds() / failureHalfLife.Seconds()
	return s.failures * math.Exp2(-age)
}

// latencyNow drifts back to what the pool needs, so that a server that was slow
// is tried again.
func (s *serverLoad) latencyNow(now time.Time) float64 {
	age := now.Sub(s.latencyAt).Seconds() / latencyHalfLife.Seconds()
	return 1 + (s.latency-1)*math.Exp2(-age)
}

// tell takes over the load told with an answer.
func (s *serverLoad) tell(load Load, now time.Time) {
	if !load.Reported {
		return
	}
	s.hint, s.hintAt, s.ownAtHint = load, now, s.own
}

// ended counts an attempt's success or failure.
func (s *serverLoad) ended(failed bool, now time.Time) {
	rate := s.failureRate(now)
	const weight = 0.25
	rate -= rate * weight
	if failed {
		rate += weight
	}
	s.failures, s.failuresAt = rate, now
}

// reached ends the pause after failed connections.
func (s *serverLoad) reached() { s.pause, s.pausedUntil = 0, time.Time{} }

// unreached pauses the server, each time for longer.
func (s *serverLoad) unreached(now time.Time) {
	if now.Before(s.pausedUntil) {
		return
	}
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.pausedUntil = now.Add(s.pause)
}

func (s *serverLoad) remember(prefixes []uint64, now time.Time) {
	if s.prefixes == nil {
		s.prefixes = map[uint64]time.Time{}
	}
	for _, prefix := range prefixes {
		s.prefixes[prefix] = now
	}
	for len(s.prefixes) > cachedPrefixes {
		s.forgetOldestPrefix()
	}
}

func (s *serverLoad) forgetOldestPrefix() {
	var oldest uint64
	var oldestAt time.Time
	for prefix, at := range s.prefixes {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = prefix, at
		}
	}
	delete(s.prefixes, oldest)
}

// tracker keeps the loads of all servers, by incarnation.
type tracker struct {
	mutex   sync.Mutex
	servers map[string]*serverLoad
	// freed is closed when a place may have become free.
	freed chan struct{}
	// tokenTime is the pool's usual time to a first byte for each prompt token, in
	// nanoseconds.
	tokenTime map[string]float64
	// runTime is the pool's usual time from an answer's beginning to its end, in
	// nanoseconds.
	runTime map[string]float64
}

func newTracker() *tracker {
	return &tracker{servers: map[string]*serverLoad{}, freed: make(chan struct{}), tokenTime: map[string]float64{}, runTime: map[string]float64{}}
}

func (t *tracker) of(id string) *serverLoad {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.servers[id]
	if found == nil {
		found = &serverLoad{missing: map[string]time.Time{}, latency: 1}
		t.servers[id] = found
	}
	return found
}

// keep forgets the servers that are not known any more and not in use.
func (t *tracker) keep(known func(id string) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id, load := range t.servers {
		if !known(id) && load.idle() {
			delete(t.servers, id)
		}
	}
}

func (s *serverLoad) idle() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.own == 0
}

func (t *tracker) free() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	close(t.freed)
	t.freed = make(chan struct{})
}

func (t *tracker) freeChannel() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.freed
}

// baseTokens stand for the work that does not depend on the prompt's length.
const baseTokens = 600

// usualTokenTime is the pool's usual time to a first byte per prompt token.
func (t *tracker) usualTokenTime(pool string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if usual, known := t.tokenTime[pool]; known {
		return time.Duration(usual)
	}
	return defaultTokenTime
}

// ran learns from the time between an answer's beginning and its end.
func (t *tracker) ran(pool string, took time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	usual, known := t.runTime[pool]
	if !known {
		usual = float64(took)
	}
	t.runTime[pool] = usual + latencyWeight/4*(float64(took)-usual)
}

// usualRunTime is the pool's usual time from an answer's beginning to its end;
// zero until one ended.
func (t *tracker) usualRunTime(pool string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return time.Duration(t.runTime[pool])
}

// defaultTokenTime is assumed until the pool's servers have answered.
const defaultTokenTime = 40 * time.Microsecond

// firstByte learns from the time to a first byte.
func (t *tracker) firstByte(pool string, load *serverLoad, tokens int, took time.Duration) {
	perToken := float64(took) / float64(tokens+baseTokens)
	t.mutex.Lock()
	usual, known := t.tokenTime[pool]
	if !known {
		usual = perToken
	}
	usual += latencyWeight / 4 * (math.Min(perToken, 4*usual) - usual)
	t.tokenTime[pool] = usual
	t.mutex.Unlock()
	load.mutex.Lock()
	defer load.mutex.Unlock()
	now := time.Now()
	before := load.latencyNow(now)
	load.latency, load.latencyAt = before+latencyWeight*(perToken/usual-before), now
}
