package membership_test

import (
	"fmt"
	"sort"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// newHeartbeatCluster starts nodes named "<zone><number>" in zones a, b, c, ….
func newHeartbeatCluster(seed uint64, zones, nodesPerZone int) *cluster {
	c := newCluster(seed, 0)
	c.heartbeat = true
	c.zoneOf = func(name string) string { return name[:1] }
	for zone := range zones {
		for number := range nodesPerZone {
			c.start(fmt.Sprintf("%c%d", 'a'+zone, number))
		}
	}
	return c
}

// setMessageLoss sets the share of messages that are lost between nodes.
func (c *cluster) setMessageLoss(loss float64) {
	c.network.ConditionsOf = func(from, to string) simulation.Conditions {
		conditions := simulation.Conditions{Delay: simulation.DefaultDelay}
		if from != "kv" && to != "kv" {
			conditions.Loss = loss
		}
		return conditions
	}
}

// partitionPeers cuts the network paths between nodes for which cut is true. The
// paths to the key-value service stay.
func (c *cluster) partitionPeers(cut func(from, to string) bool) {
	c.network.Cut = func(from, to string) bool { return from != "kv" && to != "kv" && cut(from, to) }
}

func (c *cluster) repair() {
	c.network.Cut = func(string, string) bool { return false }
	c.store.SetFaults(keyvalue.Faults{})
	for _, n := range c.nodes {
		n.process.Resume()
	}
}

// removals lists the names of members whose records were deleted, by any node.
func (c *cluster) removals() []string {
	names := []string{}
	for _, written := range c.store.Records(0) {
		for _, event := range written.Events {
			if event.Deleted && strings.HasPrefix(event.KeyValue.Key, membership.HeartbeatPrefix) {
				names = append(names, strings.TrimPrefix(event.KeyValue.Key, membership.HeartbeatPrefix))
			}
		}
	}
	return names
}

func (c *cluster) liveNames() []string {
	var names []string
	for name, n := range c.nodes {
		if !n.process.Killed() {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

var _ = Describe("HeartbeatDetector", func() {
	var c *cluster
	BeforeEach(func() {
		c = newHeartbeatCluster(1, 3, 4)
		c.setMessageLoss(0.05)
		c.loop.RunFor(time.Minute)
		c.expectMembers(c.liveNames()...)
	})

	DescribeTable("removes exactly the failed members after",
		func(fault func(), within time.Duration, removed ...string) {
			fault()
			c.loop.RunFor(within)
			Expect(c.removals()).To(ConsistOf(removed))
			c.repair()
			c.loop.RunFor(time.Minute)
			c.expectMembers(c.liveNames()...)
		},
		Entry("a crash", func() { c.nodes["a1"].process.Kill() }, 15*time.Second, "a1"),
		Entry("the failure of a zone", func() { c.killZone("a") }, 30*time.Second, "a0", "a1", "a2", "a3"),
		Entry("the failure of neighbouring zones", func() { c.killZone("a"); c.killZone("b") }, time.Minute,
			"a0", "a1", "a2", "a3", "b0", "b1", "b2", "b3"),
		Entry("a pause of some seconds", func() {
			c.nodes["a1"].process.Pause()
			c.loop.RunFor(3 * time.Second)
			c.nodes["a1"].process.Resume()
		}, time.Minute),
		Entry("a long pause", func() { c.nodes["a1"].process.Pause() }, 20*time.Second, "a1"),
		Entry("a restart under the same name", func() { c.start("a1") }, time.Minute),
		Entry("a partition between a zone and the others", func() {
			c.partitionPeers(func(from, to string) bool { return c.zoneOf(from) != c.zoneOf(to) })
		}, 10*time.Minute),
		Entry("a node partitioned from its peers", func() {
			c.partitionPeers(func(from, to string) bool { return from == "a1" || to == "a1" })
		}, 10*time.Minute),
		Entry("a node that receives messages of its peers but reaches none", func() {
			c.partitionPeers(func(from, _ string) bool { return from == "a1" })
		}, 10*time.Minute),
		Entry("a node partitioned from its peers and the key-value service", func() {
			c.network.Cut = func(from, to string) bool { return from == "a1" || to == "a1" }
		}, 20*time.Second, "a1"),
		Entry("a node partitioned from the key-value service only", func() {
			c.network.Cut = func(from, to string) bool { return from+to == "a1kv" || from+to == "kva1" }
		}, 10*time.Minute),
		Entry("an outage of the service", func() { c.store.SetFaults(keyvalue.Faults{Outage: true}) }, time.Hour),
		Entry("a crash during an outage, before the service returns", func() {
			c.store.SetFaults(keyvalue.Faults{Outage: true})
			c.nodes["a1"].process.Kill()
		}, 10*time.Minute),
		Entry("a crash while replies of the service are lost", func() {
			c.store.SetFaults(keyvalue.Faults{LostReplies: 0.7})
			c.nodes["a1"].process.Kill()
		}, time.Minute, "a1"),
		Entry("a crash while the service limits operations", func() {
			c.store.SetFaults(keyvalue.Faults{OperationsPerSecond: 0.5, Burst: 1})
			c.nodes["a1"].process.Kill()
		}, time.Minute, "a1"),
	)

	It("lets a restarted node replace its former incarnation permanently", func() {
		paused := c.nodes["b1"].process
		paused.Pause()
		delete(c.nodes, "b1")
		restarted := c.start("b1")
		c.loop.RunFor(30 * time.Second)
		writes := len(c.store.Records(0))
		paused.Resume()
		c.loop.RunFor(5 * time.Minute)
		Expect(c.store.Records(0)).To(HaveLen(writes), "the former incarnation writes nothing")
		c.expectMembers(c.liveNames()...)
		for _, member := range c.nodes["a1"].registry.Members() {
			if member.Name == "b1" {
				Expect(member.ID()).To(Equal(restarted.registry.Self().ID()))
			}
		}
	})

	It("removes a stopped member at once", func() {
		c.nodes["b1"].registry.SetDraining(true)
		c.loop.RunFor(5 * time.Second)
		c.nodes["b1"].registry.Stop(func() {})
		c.loop.RunFor(100 * time.Millisecond)
		c.nodes["b1"].process.Kill()
		c.expectMembers(c.liveNames()...)
	})

	It("makes few calls to the key-value service in steady state", func() {
		before := c.store.Counters().Total()
		c.loop.RunFor(time.Hour)
		perNodeAndSecond := float64(c.store.Counters().Total()-before) / 3600 / 12
		ownership := 2 / membership.DefaultOwnershipOptions().Watch.ResyncInterval.Seconds()
		resyncs := 2 / membership.DefaultHeartbeatOptions(time.Second).Watch.ResyncInterval.Seconds()
		Expect(perNodeAndSecond).To(BeNumerically("<=", 1.5*(ownership+resyncs)))
	})

	It("accuses a member ever less often while it keeps refuting", func() {
		c.partitionPeers(func(from, to string) bool { return from == "a1" || to == "a1" })
		writes := len(c.store.Records(0))
		c.loop.RunFor(time.Hour)
		Expect(len(c.store.Records(0)) - writes).To(BeNumerically("<", 200))
	})
})

var _ = Describe("HeartbeatDetector properties", func() {
	It("never removes a live member because of lost messages", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			zones := rapid.IntRange(1, 4).Draw(t, "zones")
			c := newHeartbeatCluster(rapid.Uint64().Draw(t, "seed"), zones, rapid.IntRange(1, 4).Draw(t, "nodes"))
			c.setMessageLoss(rapid.Float64Range(0, 0.05).Draw(t, "loss"))
			c.loop.RunFor(30 * time.Minute)
			if removed := c.removals(); len(removed) > 0 {
				t.Fatalf("removed %v", removed)
			}
			checkAgreement(t, c)
		})
	})

	It("makes all live members agree again after any faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newHeartbeatCluster(rapid.Uint64().Draw(t, "seed"), 3, 3)
			c.setMessageLoss(0.05)
			for range rapid.IntRange(3, 12).Draw(t, "faults") {
				drawFault(t, c)
				c.loop.RunFor(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
			}
			c.repair()
			c.loop.RunFor(4 * time.Minute)
			checkAgreement(t, c)
		})
	})
})

func (c *cluster) killZone(zone string) {
	for _, name := range c.liveNames() {
		if c.zoneOf(name) == zone {
			c.nodes[name].process.Kill()
		}
	}
}

func drawFault(t *rapid.T, c *cluster) {
	names := []string{}
	for name := range c.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	name := rapid.SampledFrom(names).Draw(t, "node")
	switch rapid.IntRange(0, 8).Draw(t, "fault") {
	case 0:
		c.start(name)
	case 1:
		c.nodes[name].process.Pause()
	case 2:
		c.nodes[name].process.Kill()
	case 3:
		c.store.SetFaults(keyvalue.Faults{Outage: true})
	case 4:
		c.store.SetFaults(keyvalue.Faults{LostReplies: 0.5, Delay: 3 * time.Second})
	case 5:
		c.store.SetFaults(keyvalue.Faults{WatchGaps: 0.3, WatchGapDelay: time.Second, OperationsPerSecond: 3})
	case 6:
		c.partitionPeers(func(from, to string) bool { return c.zoneOf(from) != c.zoneOf(to) })
	case 7:
		c.network.Cut = func(from, to string) bool { return from == name || to == name }
	case 8:
		c.repair()
	}
}

func checkAgreement(t *rapid.T, c *cluster) {
	live := strings.Join(c.liveNames(), " ")
	for name, n := range c.nodes {
		if known := strings.Join(n.memberNames(), " "); !n.process.Killed() && known != live {
			t.Fatalf("members at %s are %s, live nodes are %s", name, known, live)
		}
	}
}
