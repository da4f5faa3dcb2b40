package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// crashUnder crashes servers under a request, with nothing beside it, and waits for the decision.
func (c *cluster) crashUnder(identity Identity, servers int) {
	for i := range servers {
		c.crash(c.server(fmt.Sprint("s", i)), map[*node][]Identity{c.nodes[i%len(c.nodes)]: {identity}})
	}
	time.Sleep(800 * time.Millisecond)
}

// serveOnce has one node serve a request, before any crash.
func (c *cluster) serveOnce(identity Identity) {
	c.nodes[0].guard.RequestServed(Request{Identity: identity}, time.Now())
	time.Sleep(time.Second)
}

// Guards against a harmless content that is refused for ten minutes: it is nearly all of the traffic
// of a pool whose four servers end at once for another reason.
func TestMostOfTheTrafficIsServedSoonAfterServersEndAtOnce(t *testing.T) {
	for seed := range uint64(collisions) {
		runInCluster(t, 4, 4, func(c *cluster) {
			harmless := numbered(0, 10)
			simulated := newTraffic(c, seed, 0, 0)
			for _, unused := range simulated.servers[4:] {
				unused.crashed = true
			}
			frequent := make([]Identity, 0, 100)
			for _, identity := range harmless[1:] {
				frequent = append(frequent, identity)
				for range 9 {
					frequent = append(frequent, harmless[0])
				}
			}
			time.AfterFunc(10*time.Second, func() {
				simulated.mutex.Lock()
				defer simulated.mutex.Unlock()
				for place := range 4 {
					simulated.begin(simulated.servers[place], harmless[0], simulated.random)
					simulated.crashServer(place)
				}
			})
			simulated.runAll(nil, frequent)
			Expect(simulated.crashes).To(Equal(4), "seed %d", seed)
			Expect(simulated.longestRefusal).To(BeNumerically("<=", maxRefusal), "seed %d", seed)
			Expect(c.refusedBy(harmless[0])).To(BeZero(), "seed %d", seed)
		})
	}
}

// Guards against a request that is refused for the full time because it was alone at the crashes,
// although servers have served it before.
func TestRequestServedBeforeIsReleasedByATrial(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		harmless := numbered(0, 1)[0]
		c.serveOnce(harmless)
		c.crashUnder(harmless, 4)
		Expect(c.refusedBy(harmless)).To(Equal(4))
		time.Sleep(provisionalQuarantine)
		admitted := c.admittedAtOnce(Request{Identity: harmless})
		Expect(admitted).To(HaveLen(1))
		admitted[0].node.guard.RequestServed(admitted[0].request, time.Now())
		time.Sleep(messageTime)
		Expect(c.refusedBy(harmless)).To(BeZero())
	})
}

// Guards against more than one further crash under a request that servers have served before, and
// that crashes them now.
func TestRequestServedBeforeIsProvedByOneCrashInATrial(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		poison := numbered(0, 1)[0]
		c.serveOnce(poison)
		c.crashUnder(poison, crashThreshold)
		time.Sleep(provisionalQuarantine)
		admitted := c.admittedAtOnce(Request{Identity: poison})
		Expect(admitted).To(HaveLen(1))
		c.crashTrial("s9", admitted[0])
		time.Sleep(initialQuarantine - time.Second)
		Expect(c.refusedBy(poison)).To(Equal(4))
	})
}

// Guards against an entry that nodes take for proved after a restart of all of them, when none
// remembers that the request was served.
func TestSavedEntryOfARequestServedBeforeAdmitsATrialAfterARestart(t *testing.T) {
	runInCluster(t, 4, 4, func(c *cluster) {
		harmless := numbered(0, 1)[0]
		c.serveOnce(harmless)
		c.crashUnder(harmless, 4)
		Expect(c.store.entries()).To(HaveLen(1))
		for i, n := range c.nodes {
			n.stop()
			c.store.watch(n, false)
			c.nodes[i] = c.start(n.address)
		}
		time.Sleep(provisionalQuarantine)
		for _, n := range c.nodes {
			Expect(n.guard.Entries()).To(HaveLen(1))
			Expect(n.guard.Entries()[0].provisional()).To(BeTrue())
		}
		Expect(c.admittedAtOnce(Request{Identity: harmless})).To(HaveLen(1))
	})
}
