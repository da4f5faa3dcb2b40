package poison

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// partCrashes is the number of crashes under a part after which, from contactTime on, at most
	// maxSentAfter further requests with it may reach servers.
	partCrashes, maxSentAfter = 5, 3
	contactTime               = 3 * time.Second
	// minServedShare is the least share of sound requests that are served from 2*contactTime after
	// the fifth crash on, relative to the share before the first.
	minServedShare = 0.5
	// The traffic is calm for calmTime, and then has requests that crash servers for deadlyTime.
	calmTime, deadlyTime = 5 * time.Second, 25 * time.Second
	// deadlyRate is the number of these a second.
	deadlyRate = 5
	// noPrompt stands for requests that crash servers whatever their prompt is.
	noPrompt = -1
)

// promptTraffic is traffic of requests with parts of prompts, no two of them alike. Sound ones share
// their first part and have one of six others.
type promptTraffic struct {
	*traffic
	partCase
	sent int
	// crashes are the times of the crashes, and sentAt those at which requests reached servers, each
	// by the prompt that crashes them; noPrompt is that of the request that crashes servers by itself.
	crashedAt, sentAt map[int][]time.Time
	sound             []soundResult
	logf              func(format string, arguments ...any)
}

// soundResult tells whether a sound request was served that was sent at a time.
type soundResult struct {
	at     time.Time
	served bool
}

// partCase is a kind of such traffic.
type partCase struct {
	nodes, collectors int
	// soundRate is the number of sound requests a second.
	soundRate int
	// deadly are the prompts of requests that crash servers.
	deadly [][]string
	// crashDelay is the time from such a request's start to the crash.
	crashDelay time.Duration
	// unframedAnswers: only the end of its connection marks the end of an answer.
	unframedAnswers bool
	// soundBefore: servers had served the prompts that crash them now.
	soundBefore bool
	// beside is the number of times a second at which a request that crashes servers by itself is
	// sent.
	beside int
	// disturb is called with the first such requests, and disturbLater 3 s after.
	disturb, disturbLater func(c *cluster)
}

func (t *promptTraffic) request(parts ...string) Request {
	t.sent++
	return Request{Identity: numbered(t.sent, t.sent+1)[0], Parts: PartsOf("caller", "h", parts)}
}

// play plays the traffic.
func (t *promptTraffic) play() {
	soundTimes := int((calmTime + deadlyTime).Seconds() * float64(t.soundRate))
	t.every(time.Second/time.Duration(t.soundRate), soundTimes, func() time.Duration {
		t.sendSound(t.request("first", fmt.Sprint("second", t.random.IntN(6))))
		return 0
	})
	if t.soundBefore {
		for _, prompt := range t.deadly {
			t.every(time.Second/deadlyRate, (int(calmTime.Seconds())-1)*deadlyRate, func() time.Duration {
				t.sendSound(t.request(prompt...))
				return 0
			})
		}
	}
	time.Sleep(calmTime)
	for number, prompt := range t.deadly {
		t.every(time.Second*time.Duration(len(t.deadly))/deadlyRate, int(deadlyTime.Seconds())*deadlyRate/len(t.deadly), func() time.Duration {
			t.runUntilCrash(number, t.request(prompt...))
			return 0
		})
	}
	if t.beside > 0 {
		itself := numbered(1_000_000, 1_000_001)[0]
		t.every(time.Second/time.Duration(t.beside), int(deadlyTime.Seconds())*t.beside, func() time.Duration {
			request := t.request("first", "second0")
			request.Identity = itself
			t.runUntilCrash(noPrompt, request)
			return 0
		})
	}
	t.do(t.disturb)
	time.Sleep(contactTime)
	t.do(t.disturbLater)
	time.Sleep(deadlyTime - contactTime + restartTime)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stopped = true
}

// do disturbs the cluster.
func (t *promptTraffic) do(disturb func(c *cluster)) {
	if disturb != nil {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		disturb(t.cluster)
	}
}

// sendSound sends a request that is served if its server doesn't crash.
func (t *promptTraffic) sendSound(request Request) {
	result := len(t.sound)
	t.sound = append(t.sound, soundResult{at: time.Now()})
	place, run, _ := t.send(t.random.IntN(len(t.servers)), request, t.random)
	if run == nil {
		return
	}
	server := t.servers[place]
	time.AfterFunc(200*time.Millisecond+time.Duration(t.random.Int64N(int64(time.Second))), func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if server.crashed {
			return
		}
		t.sound[result].served = true
		if t.unframed {
			server.runs = slices.DeleteFunc(server.runs, func(other *serverRun) bool { return other == run })
			run.node.guard.AnswerUnframed(context.Background(), run.request, server.server, run.began)
		} else {
			server.served(run)
		}
	})
}

// runUntilCrash sends a request that crashes its server.
func (t *promptTraffic) runUntilCrash(prompt int, request Request) {
	place, run, _ := t.send(t.random.IntN(len(t.servers)), request, t.random)
	if run == nil {
		return
	}
	t.sentAt[prompt] = append(t.sentAt[prompt], time.Now())
	server := t.servers[place]
	time.AfterFunc(t.partCase.crashDelay, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		if !server.crashed {
			t.crashedAt[prompt] = append(t.crashedAt[prompt], time.Now())
			t.crashServer(place)
		}
	})
}

// servedShare is the share of the sound requests sent in a span that were served.
func (t *promptTraffic) servedShare(from, to time.Time) float64 {
	sent, served := 0, 0
	for _, result := range t.sound {
		if !result.at.Before(from) && result.at.Before(to) {
			sent++
			if result.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// check checks what callers and servers see.
func (t *promptTraffic) check(began time.Time, description string) {
	var crashes, sentAfter []int
	settled := began.Add(calmTime)
	for prompt, crashed := range t.crashedAt {
		threshold := partCrashes
		if prompt == noPrompt {
			threshold = crashThreshold
		}
		last, after := crashed[min(threshold, len(crashed))-1], 0
		for _, at := range t.sentAt[prompt] {
			if len(crashed) >= threshold && at.After(last.Add(contactTime)) {
				after++
			}
		}
		Expect(after).To(BeNumerically("<=", maxSentAfter), description)
		crashes, sentAfter = append(crashes, len(crashed)), append(sentAfter, after)
		if at := last.Add(2 * contactTime); at.After(settled) {
			settled = at
		}
	}
	before := t.servedShare(began, began.Add(calmTime-2*time.Second))
	after := t.servedShare(settled, began.Add(calmTime+deadlyTime-2*time.Second))
	Expect(after).To(BeNumerically(">=", minServedShare*before), description)
	t.logf("%s: crashes %v, sent after the fifth %v, sound served %.2f before, %.2f after", description, crashes, sentAfter, before, after)
}

// Guards against parts of prompts that crash one server after the other, each time in another
// request, and against sound requests with the same first part that are refused with them.
func TestPromptPartsThatCrashServersAreRefusedAndOthersServed(t *testing.T) {
	middle := [][]string{{"first", "dead"}}
	usual := partCase{nodes: 4, collectors: 3, soundRate: 60, deadly: middle, crashDelay: 100 * time.Millisecond}
	vary := func(change func(c *partCase)) partCase {
		changed := usual
		change(&changed)
		return changed
	}
	cases := map[string]partCase{
		"in the middle":                       usual,
		"the first":                           vary(func(c *partCase) { c.deadly = [][]string{{"dead", "second0"}} }),
		"before the head":                     vary(func(c *partCase) { c.crashDelay = time.Millisecond }),
		"after a second":                      vary(func(c *partCase) { c.crashDelay = time.Second }),
		"sound until then":                    vary(func(c *partCase) { c.soundBefore = true }),
		"two parts":                           vary(func(c *partCase) { c.deadly = [][]string{{"first", "dead"}, {"first", "second1", "fatal"}} }),
		"two parts, few sound requests":       vary(func(c *partCase) { c.deadly, c.soundRate = [][]string{{"first", "dead"}, {"first", "fatal"}}, 3 }),
		"always with a sound part":            vary(func(c *partCase) { c.deadly = [][]string{{"first", "dead", "second2"}} }),
		"few sound requests":                  vary(func(c *partCase) { c.soundRate = 3 }),
		"answers without length or chunks":    vary(func(c *partCase) { c.unframedAnswers = true }),
		"the same, few sound requests":        vary(func(c *partCase) { c.unframedAnswers, c.soundRate = true, 3 }),
		"the same, sound until then":          vary(func(c *partCase) { c.unframedAnswers, c.soundBefore = true, true }),
		"beside a request that crashes, too":  vary(func(c *partCase) { c.beside = 2 }),
		"three nodes, the holder collects":    vary(func(c *partCase) { c.nodes, c.collectors = 3, 0 }),
		"eight nodes, the holder collects":    vary(func(c *partCase) { c.nodes, c.collectors = 8, 0 }),
		"91 nodes":                            vary(func(c *partCase) { c.nodes, c.collectors = 91, 8 }),
		"the holder is replaced":              vary(func(c *partCase) { c.collectors, c.disturbLater = 0, replaceHolder }),
		"a node restarts":                     vary(func(c *partCase) { c.disturbLater = func(c *cluster) { c.restart(1) } }),
		"all nodes restart":                   vary(func(c *partCase) { c.disturbLater = restartAll }),
		"the store is restored from a backup": vary(func(c *partCase) { c.disturbLater = func(c *cluster) { c.store.restore(nil) } }),
		"a node restarts before the entry":    vary(func(c *partCase) { c.disturb = func(c *cluster) { c.restart(1) } }),
		"a node is cut off from the others": vary(func(c *partCase) {
			c.disturb = func(c *cluster) { c.network.SetCut(c.nodes[1].address, true) }
			c.disturbLater = func(c *cluster) { c.network.SetCut(c.nodes[1].address, false) }
		}),
		"the holder is cut off": vary(func(c *partCase) {
			c.collectors = 0
			c.disturb = func(c *cluster) { c.network.SetCut(c.holder, true) }
		}),
		"the store is unavailable": vary(func(c *partCase) { c.disturb = func(c *cluster) { c.store.setUnavailable(true) } }),
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				runInCluster(t, test.nodes, test.collectors, func(c *cluster) {
					simulated := &promptTraffic{
						traffic: newTraffic(c, seed, 0, 0), partCase: test,
						crashedAt: map[int][]time.Time{}, sentAt: map[int][]time.Time{},
					}
					simulated.logf, simulated.unframed = t.Logf, test.unframedAnswers
					began := time.Now()
					simulated.play()
					simulated.check(began, fmt.Sprintf("%s, seed %d", name, seed))
				})
			}
		})
	}
}

// Guards against a part that most requests share and that is refused after one unrelated crash, since it
// was in the requests at the crashes of poison requests as well.
func TestPartIsNotSuspectedForExplainedCrashes(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	shared := PartsOf("caller", "h", []string{"first"})[0].Identity
	poison := numbered(0, 1)[0]
	log := NewCrashLog()
	crash := func(server int, identity Identity) {
		log.Add([]Crash{{Server: fmt.Sprint("s", server), Suspects: []Identity{identity}, Parts: [][]Identity{{shared}}, Served: []Identity{shared}}}, now)
	}
	isPoison := func(identity Identity) bool { return identity == poison }
	for server := range 2 * crashThreshold {
		crash(server, poison)
	}
	entries, _ := log.Decide(func(Identity) bool { return false }, now)
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Identity).To(Equal(poison))
	others := numbered(1, 1+servedPartThreshold)
	for i, other := range others {
		entries, _ = log.Decide(isPoison, now)
		Expect(entries).To(BeEmpty(), "%d unexplained crashes", i)
		crash(100+i, other)
	}
	entries, _ = log.Decide(isPoison, now)
	Expect(entries).To(HaveLen(1))
	Expect(entries[0].Identity).To(Equal(shared))
}

// replaceHolder makes another node the holder of the lease for orders.
func replaceHolder(c *cluster) {
	c.network.SetCut(c.holder, true)
	c.holder = c.nodes[0].address
}

// restart replaces a node by a process that knows only what the store holds.
func (c *cluster) restart(index int) {
	n := c.nodes[index]
	n.stop()
	c.store.watch(n, false)
	c.nodes[index] = c.start(n.address)
	for _, other := range c.nodes {
		if other != c.nodes[index] {
			c.nodes[index].view.UpdateServers(other.view.Load().Servers)
			return
		}
	}
}

func restartAll(c *cluster) {
	servers := c.nodes[0].view.Load().Servers
	for i := range c.nodes {
		c.restart(i)
		c.nodes[i].view.UpdateServers(servers)
	}
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
}
