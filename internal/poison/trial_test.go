package poison

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// copies counts what callers at all nodes send of one request, as the forwarder sends it.
type copies struct {
	*cluster
	identity Identity
	// run is how long a server runs it, which it crashes then if crashes is set, beside the other
	// requests. If lost is set, a run ends without an outcome.
	run     time.Duration
	crashes bool
	beside  []Identity
	lost    bool

	mutex sync.Mutex
	// sentAt are the times of the copies; running, mostRunning are those at servers.
	sentAt               []time.Time
	running, mostRunning int
}

const callerPause = 200 * time.Millisecond

// callFor lets a caller at each node ask for a time, all of them at the same moments.
func (c *copies) callFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(callerPause) {
		for _, n := range c.nodes {
			if !c.network.IsCut(n.address) {
				go c.call(n)
			}
		}
	}
}

// call sends one copy unless the node refuses it.
func (c *copies) call(n *node) {
	entry, refused := n.guard.Refused(c.identity)
	if refused || entry.provisional() && !n.guard.BeginTrial(context.Background(), c.identity, time.Second) {
		return
	}
	defer n.guard.TrialEnded(c.identity)
	c.mutex.Lock()
	c.sentAt = append(c.sentAt, time.Now())
	number := len(c.sentAt)
	c.running++
	c.mostRunning = max(c.mostRunning, c.running)
	c.mutex.Unlock()
	began := time.Now()
	time.Sleep(c.run)
	c.mutex.Lock()
	c.running--
	c.mutex.Unlock()
	switch {
	case c.lost:
	case c.crashes:
		server := &fleet.Server{ID: fmt.Sprint("t", number), Address: fmt.Sprint("t", number)}
		for _, other := range c.nodes {
			other.view.UpdateServers(map[string]*fleet.Server{server.ID: server})
		}
		c.refuse(server)
		for _, identity := range append([]Identity{c.identity}, c.beside...) {
			n.guard.AttemptBroken(context.Background(), identity, server, began)
		}
	default:
		n.guard.RequestServed(c.identity, began)
	}
}

// sent returns the number of copies.
func (c *copies) sent() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.sentAt)
}

// provisional crashes three servers under two requests, so that the first one is quarantined
// without a proof, and lets callers at all nodes ask for it.
func (c *cluster) provisional() *copies {
	both := numbered(0, 2)
	c.tie(both)
	return &copies{cluster: c, identity: both[0], run: 100 * time.Millisecond}
}

// coincidence crashes three servers under one request, beside another one each time.
func (c *cluster) coincidence() *copies {
	all := numbered(0, 4)
	c.tie(all[:1], all[1:]...)
	return &copies{cluster: c, identity: all[0], run: 100 * time.Millisecond}
}

// trialTime is a time in which callers that go on asking get a trial, and all nodes its outcome.
const trialTime = 2*provisionalQuarantine + time.Second

// Guards against a request that several nodes send to servers in the moment in which its
// provisional quarantine is over, before one of them shows whether it crashes them.
func TestProvisionalQuarantineIsTriedByOneNode(t *testing.T) {
	for _, nodes := range []int{4, 91} {
		for number := range 4 {
			crashes, coincides := number%2 == 1, number/2 == 1
			t.Run(fmt.Sprintf("%d nodes, crashes: %v, rivals at one crash each: %v", nodes, crashes, coincides), func(t *testing.T) {
				runInCluster(t, nodes, 3, func(c *cluster) {
					callers := c.provisional
					if coincides {
						callers = c.coincidence
					}
					playTrial(c, callers(), crashes)
				})
			})
		}
	}
}

// playTrial lets callers ask until a trial has ended, and checks what they send.
func playTrial(c *cluster, callers *copies, crashes bool) {
	callers.crashes = crashes
	callers.callFor(trialTime)
	if crashes {
		Expect(callers.sent()).To(Equal(1))
		Expect(c.refusedBy(callers.identity)).To(Equal(len(c.nodes)))
		// It is the first proof, and refused for the time of one.
		entry, _ := c.nodes[0].guard.Quarantined(callers.identity)
		Expect(entry.Times).To(Equal(1))
		Expect(entry.RetryAfter(time.Now())).To(BeNumerically("<=", initialQuarantine))
		return
	}
	// A served request is released, and all nodes send it from then on.
	Expect(callers.sent()).To(BeNumerically(">", len(c.nodes)))
	Expect(callers.sentAt[1].Sub(callers.sentAt[0])).To(BeNumerically(">=", callers.run))
	Expect(c.refusedBy(callers.identity)).To(BeZero())
}

// Guards against a second copy while the first one may be under way, and against a request that is
// never tried again, where a trial ends without an outcome or something fails in the middle of it.
func TestTrialThatFailsHalfway(t *testing.T) {
	cases := map[string]struct {
		// fail is called while the first copy runs for the given time.
		fail func(c *cluster, tries *node)
		run  time.Duration
		// again is the shortest time until the next copy.
		again time.Duration
		// slow is the additional latency of messages to and from the next arbiter.
		slow time.Duration
	}{
		"the run ends without an outcome": {nil, 100 * time.Millisecond, trialPause, 0},
		"the trying node is lost": {func(c *cluster, tries *node) {
			c.network.SetCut(tries.address, true)
			tries.stop()
			// It may have been the arbiter as well.
			c.setHolder("node-05")
		}, 100 * time.Millisecond, maxTrialTime, 0},
		"another collector takes the arbiter's place": {func(c *cluster, _ *node) {
			c.network.SetCut("node-04", true)
			c.setHolder("node-05")
		}, 10 * time.Second, maxTrialTime, 0},
		"another collector takes its place before it is told": {func(c *cluster, _ *node) {
			c.setHolder("node-05")
		}, 10 * time.Second, maxTrialTime, 400 * time.Millisecond},
		"the arbiter is lost, and no other collector is known": {func(c *cluster, _ *node) {
			c.network.SetCut("node-04", true)
			c.setHolder("")
		}, 10 * time.Second, maxTrialTime, 0},
		"the store is unavailable": {func(c *cluster, _ *node) {
			c.store.mutex.Lock()
			defer c.store.mutex.Unlock()
			c.store.unavailable = true
		}, 100 * time.Millisecond, trialPause, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 6, 0, func(c *cluster) {
				c.setHolder("node-04")
				c.network.SetSlow("node-05", test.slow)
				callers := c.provisional()
				callers.run, callers.lost = test.run, true
				go callers.callFor(2 * maxTrialTime)
				for callers.sent() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				if test.fail != nil {
					for _, n := range c.nodes {
						if n.guard.trials.tries(callers.identity) {
							test.fail(c, n)
							break
						}
					}
				}
				time.Sleep(2 * maxTrialTime)
				Expect(callers.sent()).To(BeNumerically(">", 1))
				if c.currentHolder() != "" {
					Expect(callers.mostRunning).To(Equal(1))
				}
				Expect(callers.sentAt[1].Sub(callers.sentAt[0])).To(BeNumerically(">=", test.again))
			})
		})
	}
}

// tries reports whether a trial of the identity is under way at this node.
func (t *trials) tries(identity Identity) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	own := t.own[identity]
	return own != nil && own.granted
}

// Guards against a request that is refused for longer than before where no trial can be: its
// provisional quarantine ends by its time.
func TestProvisionalQuarantineEndsByItsTimeWithoutATrial(t *testing.T) {
	cases := map[string]func(c *cluster){
		"the arbiter is cut off": func(c *cluster) { c.network.SetCut("node-03", true) },
		"no collector is known":  func(c *cluster) { c.setHolder("") },
		"the arbiter is of the build before": func(c *cluster) {
			transport := c.network.Add("node-03")
			transport.Handle(Report{}, func(_ string, _ peer.Message, reply func(peer.Message, error)) { reply(Entries{}, nil) })
		},
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			runInCluster(t, 4, 0, func(c *cluster) {
				callers := c.provisional()
				fail(c)
				go callers.callFor(trialTime)
				time.Sleep(provisionalQuarantine)
				Expect(callers.sent()).To(BeNumerically(">", 0))
			})
		})
	}
}

// Guards against a poison request that is tried again and again, since other requests run beside it
// at each server that it crashes, so that it is never proved.
func TestTrialsBesideOthersAreBounded(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		callers := c.provisional()
		callers.crashes, callers.beside = true, numbered(2, 4)
		callers.callFor(time.Minute)
		Expect(callers.sent()).To(Equal(maxInconclusiveTrials))
		Expect(c.refusedBy(callers.identity)).To(Equal(4))
	})
}

// Guards against a trial that a late message of an earlier one, or of another arbiter, ends or
// opens again: only a later phase replaces a state.
func TestTrialStateOnlyAdvances(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	opened := trialState{}.opened(now.Add(askedExtension))
	begun := opened.begun(now.Add(maxTrialTime))
	Expect(begun.merged(opened)).To(Equal(begun))
	Expect(opened.merged(begun)).To(Equal(begun))
	Expect(begun.isOpen(now)).To(BeFalse())
	Expect(begun.isUnderWay(now)).To(BeTrue())
	again := begun.opened(now.Add(askedExtension))
	Expect(again.isOpen(now)).To(BeTrue())
	Expect(begun.merged(again)).To(Equal(again))
	Expect(again.merged(begun)).To(Equal(again))
}

// restart restarts all nodes.
func (c *cluster) restart() {
	for i, n := range c.nodes {
		n.stop()
		c.store.watch(n, false)
		c.nodes[i] = c.start(n.address)
	}
}

// Guards against an entry for the full time that is taken for proved after all nodes have read it
// from the store, and against one that its trial proved and that is tried again then.
func TestTrialsAfterARestartOfAllNodes(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		runInCluster(t, 4, 3, func(c *cluster) {
			callers := c.coincidence()
			callers.crashes = crashes
			if crashes {
				callers.callFor(trialTime)
			}
			c.restart()
			restarted := time.Now()
			Expect(c.refusedBy(callers.identity)).To(Equal(4))
			callers.callFor(maxTrialTime + trialTime)
			if crashes {
				Expect(callers.sent()).To(Equal(1))
				Expect(c.refusedBy(callers.identity)).To(Equal(4))
				return
			}
			Expect(c.refusedBy(callers.identity)).To(BeZero())
			Expect(callers.sentAt[1].Sub(callers.sentAt[0])).To(BeNumerically(">=", callers.run))
			// A trial may have been under way before the restart.
			Expect(callers.sentAt[0].Sub(restarted)).To(BeNumerically(">=", maxTrialTime))
		})
	}
}

// Guards against two requests of one node that use the same permission.
func TestPermissionIsUsedOnce(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		callers := c.provisional()
		n := c.nodes[0]
		for admitted := false; !admitted; time.Sleep(callerPause) {
			entry, refused := n.guard.Refused(callers.identity)
			Expect(entry.Identity).To(Equal(callers.identity))
			admitted = !refused
		}
		Expect(n.guard.BeginTrial(context.Background(), callers.identity, time.Second)).To(BeTrue())
		Expect(n.guard.BeginTrial(context.Background(), callers.identity, time.Second)).To(BeFalse())
	})
}

// Guards against a proved entry that a provisional one replaces since it was made a moment later:
// the result must not depend on the order of arrival.
func TestProvedEntryReplacesAProvisionalOne(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	identity := numbered(0, 1)[0]
	proved := Entry{Identity: identity, Times: 1, Until: now.Add(initialQuarantine)}
	provisional := Entry{Identity: identity, Times: 1, Until: proved.Until.Add(time.Millisecond), Rivals: numbered(1, 2), Coincidence: true}
	for _, entries := range [][]Entry{{proved, provisional}, {provisional, proved}} {
		quarantine := NewQuarantine()
		for _, entry := range entries {
			quarantine.add(entry, now, now)
		}
		entry, _ := quarantine.Lookup(identity, now)
		Expect(entry.provisional()).To(BeFalse())
	}
}

// Guards against nodes of earlier builds that refuse a request for a short time only, or confirm it
// once one of its rivals was served, where it is refused for the full time.
func TestEarlierBuildsTakeACoincidenceForProved(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	entry := Entry{Identity: numbered(0, 1)[0], Times: 1, Until: now.Add(initialQuarantine), Rivals: numbered(1, 2), Coincidence: true}
	message := entry.message(now)
	Expect(message.Rivals).To(BeEmpty())
	Expect(message.entry(now).Rivals).To(Equal(entry.Rivals))
	Expect(message.entry(now).Coincidence).To(BeTrue())
}
