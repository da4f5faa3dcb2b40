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

// traffic plays callers in front of a world: one whose request ends each server that begins
// to run it, and others whose requests do no harm.
type traffic struct {
	*world
	// random of the bad request's caller, and of the others, so that a case repeats.
	random, harmlessRandom *rand.Rand
	// endsAfter is the time from the start of the bad request to the server's end, give or
	// take jitter.
	endsAfter, jitter time.Duration
	// servers that take requests, by place; a place is filled again after restartTime.
	servers []*runningServer
	started int

	mutex sync.Mutex
	// ends counts servers that ended. refusedAt are the times at which harmless requests
	// were refused.
	ends      int
	refusedAt []time.Time
	stopped   bool
}

const (
	trafficServers = 6
	restartTime    = 2 * time.Second
	// badPause and harmlessPause are the times between two tries.
	badPause, harmlessPause = 397 * time.Millisecond, 251 * time.Millisecond
	harmlessRun             = 100 * time.Millisecond
	badTries                = 30
	trafficTime             = time.Minute
)

type runningServer struct {
	server *fleet.Server
	ended  bool
	runs   []serverRun
}

// serverRun is one request under way at a server, sent by a node.
type serverRun struct {
	node     *node
	identity Identity
	began    time.Time
}

func newTraffic(w *world, seed uint64, endsAfter, jitter time.Duration) *traffic {
	t := &traffic{world: w, random: rand.New(rand.NewPCG(seed, 1)), harmlessRandom: rand.New(rand.NewPCG(seed, 2)), endsAfter: endsAfter, jitter: jitter}
	for range trafficServers {
		t.servers = append(t.servers, t.newServer())
	}
	return t
}

func (t *traffic) newServer() *runningServer {
	t.started++
	return &runningServer{server: t.server(fmt.Sprint("s", t.started))}
}

// begin notes a request at a server.
func (t *traffic) begin(server *runningServer, identity Identity, random *rand.Rand) serverRun {
	run := serverRun{node: t.nodes[random.IntN(len(t.nodes))], identity: identity, began: time.Now()}
	server.runs = append(server.runs, run)
	return run
}

// endServer breaks all that a server runs, and fills its place after a while.
func (t *traffic) endServer(place int) {
	server := t.servers[place]
	if server.ended {
		return
	}
	server.ended = true
	t.ends++
	t.refuse(server.server)
	for _, run := range server.runs {
		run.node.guard.Broke(context.Background(), run.identity, server.server, run.began)
	}
	time.AfterFunc(restartTime, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.servers[place] = t.newServer()
	})
}

// sendBad sends the request that ends servers, unless the node refuses it. It returns how
// long its caller waits for the answer.
func (t *traffic) sendBad(place int, bad Identity) time.Duration {
	if t.servers[place].ended {
		return 0
	}
	run := t.begin(t.servers[place], bad, t.random)
	if _, held := run.node.guard.Held(bad); held {
		t.servers[place].runs = t.servers[place].runs[:len(t.servers[place].runs)-1]
		return 0
	}
	left := t.endsAfter + time.Duration(t.random.Int64N(int64(t.jitter)+1))
	time.AfterFunc(left, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.endServer(place)
	})
	return left
}

// sendHarmless sends a harmless request, which is served if its server lives.
func (t *traffic) sendHarmless(place int, harmless Identity) {
	server := t.servers[place]
	if server.ended {
		return
	}
	run := t.begin(server, harmless, t.harmlessRandom)
	if _, held := run.node.guard.Held(harmless); held {
		t.refusedAt = append(t.refusedAt, time.Now())
		server.runs = server.runs[:len(server.runs)-1]
		return
	}
	time.AfterFunc(harmlessRun, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if !server.ended {
			server.runs = slices.DeleteFunc(server.runs, func(other serverRun) bool { return other == run })
			run.node.guard.Served(harmless, run.began)
		}
	})
}

// meet ends three servers under the bad request while the harmless one runs there, each
// time since a random while before.
func (t *traffic) meet(bad, harmless Identity) {
	for place := range endsToHold {
		t.mutex.Lock()
		t.begin(t.servers[place], harmless, t.harmlessRandom)
		before := time.Duration(t.random.Int64N(int64(time.Second)))
		t.mutex.Unlock()
		time.Sleep(before)
		t.mutex.Lock()
		left := t.sendBad(place, bad)
		t.mutex.Unlock()
		time.Sleep(left + badPause)
	}
}

// play lets the callers of both go on.
func (t *traffic) play(bad, harmless Identity) {
	t.every(badPause, badTries, func() (answered time.Duration) {
		for range 1 + t.random.IntN(2) {
			answered = max(answered, t.sendBad(t.random.IntN(trafficServers), bad))
		}
		return answered
	})
	t.every(harmlessPause, int(trafficTime/harmlessPause), func() time.Duration {
		t.sendHarmless(t.harmlessRandom.IntN(trafficServers), harmless)
		return 0
	})
	time.Sleep(trafficTime + restartTime)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
}

// every sends again a pause after the answer, a number of times.
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

// refusedFor is the time from the first to the last refusal of a harmless request.
func (t *traffic) refusedFor() time.Duration {
	if len(t.refusedAt) == 0 {
		return 0
	}
	return t.refusedAt[len(t.refusedAt)-1].Sub(t.refusedAt[0])
}

const (
	// longestRefusal of a harmless request: until the bad one has run once more.
	longestRefusal = 6 * time.Second
	// mostFurtherEnds after the third end.
	mostFurtherEnds = 3
	meetings        = 25
)

// serveAndForget has all nodes serve a request, and then as many others as they remember.
func (w *world) serveAndForget(identity Identity) {
	for _, n := range w.nodes {
		n.guard.Served(identity, time.Now())
		for _, other := range numbered(1000, 1000+mostServed) {
			n.guard.Served(other, time.Now())
		}
	}
	time.Sleep(time.Minute)
}

// Guards against a harmless request that is refused for minutes: it met one that ends servers
// at just the same three servers, and no node has seen it served, since all have started again
// or have served many others.
func TestHarmlessRequestAtTheSameEndsIsServedSoon(t *testing.T) {
	cases := map[string]struct {
		endsAfter, jitter time.Duration
		// forgotten: the harmless request was served, and many others since.
		forgotten bool
	}{
		"a server ends at once":          {time.Millisecond, 4 * time.Millisecond, false},
		"a server ends after a while":    {300 * time.Millisecond, 50 * time.Millisecond, false},
		"a server ends late":             {2 * time.Second, 200 * time.Millisecond, false},
		"a server ends at a random time": {0, time.Second, false},
		"its last time is long past":     {time.Millisecond, 4 * time.Millisecond, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			refusals, refusing, ends := 0, 0, 0
			for seed := range uint64(meetings) {
				inWorld(t, 4, 4, func(w *world) {
					identities := numbered(int(2*seed), int(2*seed+2))
					if test.forgotten {
						w.serveAndForget(identities[1])
					}
					played := newTraffic(w, seed, test.endsAfter, test.jitter)
					played.meet(identities[0], identities[1])
					played.play(identities[0], identities[1])
					refusals += len(played.refusedAt)
					ends += played.ends - endsToHold
					if len(played.refusedAt) > 0 {
						refusing++
					}
					Expect(played.refusedFor()).To(BeNumerically("<=", longestRefusal), "seed %d", seed)
					Expect(played.ends).To(BeNumerically("<=", endsToHold+mostFurtherEnds), "seed %d", seed)
					Expect(w.held(identities[1])).To(BeZero(), "seed %d", seed)
				})
			}
			t.Logf("%d meetings: %d harmless requests refused in %d of them, %d further servers ended", meetings, refusals, refusing, ends)
		})
	}
}
