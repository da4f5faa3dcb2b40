package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// frequentCase is the traffic of a pool in which one harmless request makes up most of what runs, while
// servers crash for other reasons.
type frequentCase struct {
	// servers that run, and requests a second, of which the frequent one is this share.
	servers, rate int
	share         float64
	// A run takes run, and up to as much again. A server that crashed is replaced after downtime.
	run, downtime time.Duration
	// crashes are the times of the crashes.
	crashes []time.Duration
	// restart is the time at which all nodes are killed; negative: they aren't. away is when they are back.
	restart, away time.Duration
	// withPart: all requests have a first part in common.
	withPart bool
}

// drawFrequentCase draws a case.
func drawFrequentCase(random *rand.Rand, restarts bool) frequentCase {
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	drawn := frequentCase{
		servers: 2 + random.IntN(4), rate: 10 + random.IntN(30), share: 0.6 + 0.4*random.Float64(),
		run: between(50*time.Millisecond, time.Second), downtime: between(300*time.Millisecond, 5*time.Second),
		restart: -1, withPart: random.IntN(2) == 0,
	}
	begin, span := calmTime, between(time.Second, 25*time.Second)
	if restarts {
		drawn.restart, drawn.away = begin, between(100*time.Millisecond, time.Second)
		begin += drawn.away
	}
	for range crashThreshold + random.IntN(4) {
		drawn.crashes = append(drawn.crashes, begin+between(50*time.Millisecond, span))
	}
	return drawn
}

// frequentTraffic plays a case.
type frequentTraffic struct {
	*traffic
	drawn frequentCase
	away  bool
}

// play plays the case for trafficTime.
func (c frequentCase) play(in *cluster, seed uint64) *frequentTraffic {
	t := &frequentTraffic{traffic: newTraffic(in, seed, 0, 0), drawn: c}
	for _, unused := range t.servers[c.servers:] {
		unused.crashed = true
	}
	t.servers = t.servers[:c.servers]
	for _, at := range c.crashes {
		time.AfterFunc(at, t.crashOne)
	}
	if c.restart >= 0 {
		time.AfterFunc(c.restart, t.killNodes)
	}
	all := numbered(0, 4)
	t.every(time.Second/time.Duration(c.rate), int(trafficTime.Seconds())*c.rate, func() time.Duration {
		identity := all[0]
		if t.random.Float64() >= c.share {
			identity = all[1+t.random.IntN(3)]
		}
		go t.ask(identity)
		return 0
	})
	time.Sleep(trafficTime + restartTime)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
	return t
}

// crashOne crashes a server that runs something, if any does. Those with a trial are spared: a request
// that runs alone at a crash in its trial is taken for the cause.
func (t *frequentTraffic) crashOne() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	first := t.random.IntN(len(t.servers))
	for i := range t.servers {
		if place := (first + i) % len(t.servers); !t.servers[place].crashed && len(t.servers[place].runs) > 0 && !t.servers[place].hasTrial() {
			t.crashServerFor(place, t.drawn.downtime)
			return
		}
	}
}

func (s *runningServer) hasTrial() bool {
	return slices.ContainsFunc(s.runs, func(run *serverRun) bool { return run.request.Trial != nil })
}

// killNodes kills all nodes, with what they run, and starts them again later.
func (t *frequentTraffic) killNodes() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.away = true
	for _, server := range t.servers {
		server.runs = nil
	}
	restartAll(t.cluster)
	time.AfterFunc(t.drawn.away, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.away = false
	})
}

// ask sends one request.
func (t *frequentTraffic) ask(identity Identity) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	place := t.random.IntN(len(t.servers))
	if t.away || t.servers[place].crashed {
		return
	}
	request := Request{Identity: identity}
	if t.drawn.withPart {
		request.Parts = PartsOf("caller", "h", []string{"first"})
	}
	place, run, refused := t.send(place, request, t.random)
	if refused {
		t.noteRefusal(identity)
	}
	if run == nil {
		return
	}
	server := t.servers[place]
	time.AfterFunc(t.drawn.run+time.Duration(t.random.Int64N(int64(t.drawn.run))), func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if !server.crashed && server.has(run) {
			server.served(run)
			delete(t.refusedSince, identity)
		}
	})
}

// Guards against a harmless request that is refused for more than 6 s: it makes up most of what runs in
// a pool whose servers crash for other reasons, and that no node remembers as served was taken for a
// proof.
func TestFrequentRequestIsNotRefusedForLongAfterCrashes(t *testing.T) {
	const cases = 130
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprintf("all nodes are killed before: %v", restarts), func(t *testing.T) {
			RegisterTestingT(t)
			var failed []uint64
			refusals, longest := 0, time.Duration(0)
			for seed := range uint64(cases) {
				drawn := drawFrequentCase(rand.New(rand.NewPCG(seed, 3)), restarts)
				runInCluster(t, 4, 4, func(c *cluster) {
					played := drawn.play(c, seed)
					refusals += len(played.refusedAt)
					longest = max(longest, played.longestRefusal)
					if played.longestRefusal > maxRefusal {
						failed = append(failed, seed)
						t.Logf("seed %d: refused for %v, %+v", seed, played.longestRefusal, drawn)
					}
				})
			}
			t.Logf("%d refusals, the longest for %v", refusals, longest)
			if len(failed) > 0 {
				t.Errorf("%d of %d refused for more than %v: %v", len(failed), cases, maxRefusal, failed)
			}
		})
	}
}

// Guards against a frequent request that is taken for proved because no server has served it while it
// was refused, and many others meanwhile.
func TestRefusedRequestIsNotProvedByRequestsServedMeanwhile(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		restartAll(c)
		frequent := numbered(0, 1)[0]
		c.crashUnder(frequent, crashThreshold)
		for _, n := range c.nodes {
			Expect(n.guard.Entries()).To(HaveLen(1))
			for _, other := range numbered(1, 1+minRemembered) {
				n.guard.RequestServed(Request{Identity: other}, time.Now())
			}
		}
		c.crash(c.server("later"), map[*node][]Identity{c.nodes[0]: {frequent}})
		time.Sleep(provisionalQuarantine)
		c.trialOf(Request{Identity: frequent})
	})
}

// Guards against a poison request that nodes without memory take for a frequent one, and send to server
// after server.
func TestPoisonRequestIsFoundByNodesThatRememberNothing(t *testing.T) {
	for _, jitter := range []time.Duration{0, time.Second} {
		for seed := range uint64(collisions) {
			runInCluster(t, 4, 4, func(c *cluster) {
				all := numbered(int(2*seed), int(2*seed+2))
				simulated := newTraffic(c, seed, time.Millisecond, jitter)
				restartAll(c)
				simulated.run(all[0], all[1])
				Expect(simulated.crashes).To(BeNumerically(">=", crashThreshold), "seed %d", seed)
				Expect(simulated.crashes).To(BeNumerically("<=", crashThreshold+maxFurtherCrashes), "seed %d", seed)
				Expect(c.refusedBy(all[0])).To(Equal(4), "seed %d", seed)
				Expect(simulated.longestRefusal).To(BeNumerically("<=", maxRefusal), "seed %d", seed)
			})
		}
	}
}
