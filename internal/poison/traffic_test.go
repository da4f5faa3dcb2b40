package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// traffic simulates callers of a cluster: one whose request crashes each server that runs it,
// and others whose requests are unrelated.
type traffic struct {
	*cluster
	// random is the source for the poison request's caller, unrelatedRandom that for the
	// others, so that a case is reproducible.
	random, unrelatedRandom *rand.Rand
	// crashDelay is the time from the start of the poison request to the crash, plus up to
	// jitter.
	crashDelay, jitter time.Duration
	// servers that accept requests; a crashed one is replaced after restartTime.
	servers []*runningServer
	started int
	// unframed: only the end of its connection marks the end of an answer.
	unframed bool

	mutex sync.Mutex
	// crashes counts crashed servers. refusedAt are the times at which unrelated requests were
	// refused.
	crashes   int
	refusedAt []time.Time
	stopped   bool
	// refusedSince are the unrelated requests refused at their last try, with the time of the
	// first refusal since they were accepted; longestRefusal is the longest time between two.
	refusedSince   map[Identity]time.Time
	longestRefusal time.Duration
}

const (
	trafficServers = 6
	restartTime    = 2 * time.Second
	// poisonPause and unrelatedPause are the times between two tries.
	poisonPause, unrelatedPause = 397 * time.Millisecond, 251 * time.Millisecond
	unrelatedRun                = 100 * time.Millisecond
	poisonTries                 = 30
	trafficTime                 = time.Minute
)

type runningServer struct {
	server  *fleet.Server
	crashed bool
	runs    []*serverRun
}

// serverRun is one request that a server runs, sent by a node.
type serverRun struct {
	node    *node
	request Request
	began   time.Time
}

func newTraffic(c *cluster, seed uint64, crashDelay, jitter time.Duration) *traffic {
	t := &traffic{cluster: c, random: rand.New(rand.NewPCG(seed, 1)), unrelatedRandom: rand.New(rand.NewPCG(seed, 2)), crashDelay: crashDelay, jitter: jitter, refusedSince: map[Identity]time.Time{}}
	for range trafficServers {
		t.servers = append(t.servers, t.newServer())
	}
	return t
}

func (t *traffic) newServer() *runningServer {
	t.started++
	return &runningServer{server: t.server(fmt.Sprint("s", t.started))}
}

// begin records a request at a server, which no node refuses.
func (t *traffic) begin(server *runningServer, identity Identity, random *rand.Rand) {
	server.runs = append(server.runs, &serverRun{node: t.nodes[random.IntN(len(t.nodes))], request: Request{Identity: identity}, began: time.Now()})
}

// send sends a request to the server at a place, or as a trial to the one with the least work. It
// returns no run if the node refuses the request, or if the server crashes while the node decides.
// The lock is not held while it does.
func (t *traffic) send(place int, request Request, random *rand.Rand) (at int, run *serverRun, refused bool) {
	n := t.nodes[random.IntN(len(t.nodes))]
	t.mutex.Unlock()
	trial, refusal := n.admit(request)
	t.mutex.Lock()
	if refusal != nil {
		return place, nil, true
	}
	request.Trial = trial
	if trial != nil {
		place = t.idlest()
	}
	server := t.servers[place]
	if server.crashed {
		n.guard.EndTrial(trial, false)
		return place, nil, false
	}
	run = &serverRun{node: n, request: request, began: time.Now()}
	server.runs = append(server.runs, run)
	return place, run, false
}

// idlest returns the place of the server with the least work.
func (t *traffic) idlest() int {
	idlest := 0
	for place, server := range t.servers {
		if best := t.servers[idlest]; !server.crashed && (best.crashed || len(server.runs) < len(best.runs)) {
			idlest = place
		}
	}
	return idlest
}

// served ends a run whose request was served.
func (s *runningServer) served(run *serverRun) {
	s.runs = slices.DeleteFunc(s.runs, func(other *serverRun) bool { return other == run })
	run.node.guard.RequestServed(run.request, run.began)
}

// crashServer breaks all requests that a server runs, and replaces it after restartTime.
func (t *traffic) crashServer(place int) {
	server := t.servers[place]
	if server.crashed {
		return
	}
	server.crashed = true
	t.crashes++
	t.refuse(server.server)
	for _, run := range server.runs {
		if t.unframed {
			run.node.guard.AnswerUnframed(context.Background(), run.request, server.server, run.began)
		} else {
			run.node.guard.AttemptBroken(context.Background(), run.request, server.server, run.began)
		}
	}
	time.AfterFunc(restartTime, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.servers[place] = t.newServer()
	})
}

// sendPoison sends the poison request, unless the node refuses it. It returns how long its
// caller waits for the answer.
func (t *traffic) sendPoison(place int, poison Identity) time.Duration {
	if t.servers[place].crashed {
		return 0
	}
	place, run, _ := t.send(place, Request{Identity: poison}, t.random)
	if run == nil {
		return 0
	}
	left := t.crashDelay + time.Duration(t.random.Int64N(int64(t.jitter)+1))
	time.AfterFunc(left, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.crashServer(place)
	})
	return left
}

// sendUnrelated sends an unrelated request, which is served if its server doesn't crash.
func (t *traffic) sendUnrelated(place int, unrelated Identity) {
	server := t.servers[place]
	if server.crashed {
		return
	}
	place, run, refused := t.send(place, Request{Identity: unrelated}, t.unrelatedRandom)
	if refused {
		t.noteRefusal(unrelated)
	}
	if run == nil {
		return
	}
	server = t.servers[place]
	delete(t.refusedSince, unrelated)
	time.AfterFunc(unrelatedRun, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if !server.crashed {
			server.served(run)
		}
	})
}

func (t *traffic) noteRefusal(unrelated Identity) {
	now := time.Now()
	t.refusedAt = append(t.refusedAt, now)
	if _, refusedBefore := t.refusedSince[unrelated]; !refusedBefore {
		t.refusedSince[unrelated] = now
	}
	t.longestRefusal = max(t.longestRefusal, now.Sub(t.refusedSince[unrelated]))
}

// collide crashes three servers under the poison request while the unrelated one runs there,
// each time for a random time already.
func (t *traffic) collide(poison, unrelated Identity) {
	t.collideAll([]Identity{poison}, []Identity{unrelated})
}

// collideAll is the same with several poison requests, which crash servers in turn, and several
// unrelated ones.
func (t *traffic) collideAll(poison, unrelated []Identity) {
	for place := range crashThreshold {
		t.mutex.Lock()
		for _, identity := range unrelated {
			t.begin(t.servers[place], identity, t.unrelatedRandom)
		}
		before := time.Duration(t.random.Int64N(int64(time.Second)))
		t.mutex.Unlock()
		time.Sleep(before)
		t.mutex.Lock()
		left := t.sendPoison(place, poison[place%len(poison)])
		t.mutex.Unlock()
		time.Sleep(left + poisonPause)
	}
}

// run lets both callers continue.
func (t *traffic) run(poison, unrelated Identity) {
	t.runAll([]Identity{poison}, []Identity{unrelated})
}

// runAll lets all callers continue.
func (t *traffic) runAll(poison, unrelated []Identity) {
	for _, identity := range poison {
		t.every(poisonPause, poisonTries, func() (answered time.Duration) {
			for range 1 + t.random.IntN(2) {
				answered = max(answered, t.sendPoison(t.random.IntN(trafficServers), identity))
			}
			return answered
		})
	}
	for _, identity := range unrelated {
		t.every(unrelatedPause, int(trafficTime/unrelatedPause), func() time.Duration {
			t.sendUnrelated(t.unrelatedRandom.IntN(trafficServers), identity)
			return 0
		})
	}
	time.Sleep(trafficTime + restartTime)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
}

// every sends a number of times, each a pause after the previous answer.
func (t *traffic) every(pause time.Duration, times int, send func() (answered time.Duration)) {
	go func() {
		for range times {
			time.Sleep(pause)
			t.mutex.Lock()
			answered := time.Duration(0)
			if !t.stopped {
				answered = send()
			}
			t.mutex.Unlock()
			time.Sleep(answered)
		}
	}()
}

// refusedFor is the time from the first to the last refusal of an unrelated request.
func (t *traffic) refusedFor() time.Duration {
	if len(t.refusedAt) == 0 {
		return 0
	}
	return t.refusedAt[len(t.refusedAt)-1].Sub(t.refusedAt[0])
}

const (
	// maxRefusal bounds the refusal of an unrelated request: until the poison request has run
	// once more.
	maxRefusal = 6 * time.Second
	// maxFurtherCrashes bounds the crashes after the third.
	maxFurtherCrashes = 3
	collisions        = 25
	// maxTrafficMessages bounds what nodes send in a case: all messages that forward an entry or a
	// release are far fewer.
	maxTrafficMessages = 20_000
)

// serveAndForget has all nodes serve a request, and then as many others as they remember.
func (c *cluster) serveAndForget(identity Identity) {
	for _, n := range c.nodes {
		n.guard.RequestServed(Request{Identity: identity}, time.Now())
		for _, other := range numbered(1000, 1000+maxServed) {
			n.guard.RequestServed(Request{Identity: other}, time.Now())
		}
	}
	time.Sleep(time.Minute)
}

// Guards against an unrelated request that is refused for minutes: it ran at the same three
// crashes as a poison request, and no node remembers that it was served, since all have
// restarted or have served many others.
func TestUnrelatedRequestAtTheSameCrashesIsServedSoon(t *testing.T) {
	cases := map[string]struct {
		crashDelay, jitter time.Duration
		// forgotten: the unrelated request was served, and many others since.
		forgotten bool
	}{
		"a server crashes at once":          {time.Millisecond, 4 * time.Millisecond, false},
		"a server crashes after a while":    {300 * time.Millisecond, 50 * time.Millisecond, false},
		"a server crashes late":             {2 * time.Second, 200 * time.Millisecond, false},
		"a server crashes at a random time": {0, time.Second, false},
		"it was last served long before":    {time.Millisecond, 4 * time.Millisecond, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			refusals, refusing, crashes := 0, 0, 0
			for seed := range uint64(collisions) {
				runInCluster(t, 4, 4, func(c *cluster) {
					identities := numbered(int(2*seed), int(2*seed+2))
					if test.forgotten {
						c.serveAndForget(identities[1])
					}
					simulated := newTraffic(c, seed, test.crashDelay, test.jitter)
					simulated.collide(identities[0], identities[1])
					simulated.run(identities[0], identities[1])
					refusals += len(simulated.refusedAt)
					crashes += simulated.crashes - crashThreshold
					if len(simulated.refusedAt) > 0 {
						refusing++
					}
					Expect(simulated.refusedFor()).To(BeNumerically("<=", maxRefusal), "seed %d", seed)
					Expect(simulated.crashes).To(BeNumerically("<=", crashThreshold+maxFurtherCrashes), "seed %d", seed)
					Expect(c.refusedBy(identities[1])).To(BeZero(), "seed %d", seed)
				})
			}
			t.Logf("%d collisions: %d unrelated requests refused in %d of them, %d further servers crashed", collisions, refusals, refusing, crashes)
		})
	}
}

// meeting is a kind of traffic in which unrelated requests run at the crashes of poison requests.
type meeting struct {
	causes, unrelated int
	// callersReturn: the poison requests' callers send them again.
	callersReturn      bool
	crashDelay, jitter time.Duration
}

func (m meeting) String() string {
	return fmt.Sprintf("%d poison requests, %d unrelated, callers return: %v, crash after %v + %v", m.causes, m.unrelated, m.callersReturn, m.crashDelay, m.jitter)
}

// play plays the traffic once, and checks what unrelated callers and servers see.
func (m meeting) play(c *cluster, seed uint64) *traffic {
	c.messages.limit = maxTrafficMessages
	all := numbered(int(5*seed), int(5*seed+5))
	poison, unrelated := all[:m.causes], all[5-m.unrelated:]
	simulated := newTraffic(c, seed, m.crashDelay, m.jitter)
	simulated.collideAll(poison, unrelated)
	if m.callersReturn {
		simulated.runAll(poison, unrelated)
	} else {
		simulated.runAll(nil, unrelated)
	}
	Expect(simulated.longestRefusal).To(BeNumerically("<=", maxRefusal), "seed %d", seed)
	Expect(simulated.crashes).To(BeNumerically("<=", m.causes*crashThreshold+maxFurtherCrashes), "seed %d", seed)
	Expect(c.messages.count()).To(BeNumerically("<", maxTrafficMessages), "seed %d", seed)
	for _, identity := range unrelated {
		Expect(c.refusedBy(identity)).To(BeZero(), "seed %d", seed)
	}
	return simulated
}

// playAll plays meetings with servers that crash at once, after a while and at a random time.
func playAll(t *testing.T, meetings ...meeting) {
	delays := []struct{ crashDelay, jitter time.Duration }{
		{time.Millisecond, 4 * time.Millisecond}, {300 * time.Millisecond, 50 * time.Millisecond}, {0, time.Second},
	}
	for _, meeting := range meetings {
		for _, delay := range delays {
			meeting.crashDelay, meeting.jitter = delay.crashDelay, delay.jitter
			t.Run(meeting.String(), func(t *testing.T) {
				refusals, crashes, longest := 0, 0, time.Duration(0)
				for seed := range uint64(collisions) {
					runInCluster(t, 4, 4, func(c *cluster) {
						simulated := meeting.play(c, seed)
						refusals += len(simulated.refusedAt)
						crashes += simulated.crashes - crashThreshold
						longest = max(longest, simulated.longestRefusal)
					})
				}
				t.Logf("%d collisions: %d refusals, the longest for %v, %d further servers crashed", collisions, refusals, longest, crashes)
			})
		}
	}
}

// Guards against unrelated requests that are refused for minutes beside several poison requests,
// each at some of the crashes only: an unrelated request at all of them looked like their cause.
func TestUnrelatedRequestsBesideSeveralPoisonRequestsAreServedSoon(t *testing.T) {
	var meetings []meeting
	for _, callersReturn := range []bool{false, true} {
		for causes := 1; causes <= 3; causes++ {
			meetings = append(meetings, meeting{causes: causes, unrelated: 2, callersReturn: callersReturn})
		}
		for causes := 1; causes <= 2; causes++ {
			meetings = append(meetings, meeting{causes: causes, unrelated: 1, callersReturn: callersReturn})
		}
	}
	playAll(t, meetings...)
}

// The same with a single unrelated request at three crashes under three poison requests: it looks
// like one poison request with other requests beside it each time.
func TestUnrelatedRequestBesideThreePoisonRequestsIsServedSoon(t *testing.T) {
	playAll(t, meeting{causes: 3, unrelated: 1}, meeting{causes: 3, unrelated: 1, callersReturn: true})
}
