package claims

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

var _ = Describe("claims", func() {
	key := Key{Tenant: "alpha", Value: "seat-1"}

	It("grants a key once and returns the recorded outcome afterwards", func() {
		cluster := newTestCluster(1, 3)
		Expect(cluster.claimAndWait("node-0", key, "a").Verdict).To(Equal(Granted))
		cluster.nodes["node-0"].set.Record(key, "a", Outcome{Status: 200, Body: []byte("seat")})
		cluster.loop.RunFor(time.Second)
		again := cluster.claimAndWait("node-1", key, "b")
		Expect(again.Verdict).To(Equal(Denied))
		Expect(again.Outcome).NotTo(BeNil())
		Expect(string(again.Outcome.Body)).To(Equal("seat"))
	})

	It("detects a key that was used for another request", func() {
		cluster := newTestCluster(2, 3)
		cluster.claimAndWait("node-0", key, "a")
		var verdict Verdict
		deadline := cluster.loop.Now().Add(time.Second)
		cluster.nodes["node-1"].set.Claim(key, "b", 8, deadline, func(result Result) { verdict = result.Verdict })
		cluster.loop.RunFor(2 * time.Second)
		Expect(verdict).To(Equal(Conflict))
	})

	It("grants a released key to the next attempt", func() {
		cluster := newTestCluster(3, 3)
		cluster.claimAndWait("node-0", key, "a")
		cluster.nodes["node-0"].set.Release(key, "a")
		cluster.loop.RunFor(time.Second)
		Expect(cluster.claimAndWait("node-1", key, "b").Verdict).To(Equal(Granted))
	})

	DescribeTable("keeps a claim through", func(fault func(*testCluster)) {
		cluster := newTestCluster(4, 5)
		Expect(cluster.claimAndWait("node-0", key, "a").Verdict).To(Equal(Granted))
		fault(cluster)
		for name := range cluster.nodes {
			result := cluster.claimAndWait(name, key, "later-"+name)
			Expect(result.Verdict).NotTo(Equal(Granted))
		}
		Expect(cluster.runs[key]).To(Equal(1))
	},
		Entry("a crash of the claiming node", func(c *testCluster) {
			c.kill("node-0")
		}),
		Entry("crashes of three nodes in turn with repairs between them", func(c *testCluster) {
			for i := range 3 {
				c.kill(fmt.Sprintf("node-%d", i))
				c.loop.RunFor(30 * time.Second)
			}
		}),
		Entry("a replacement of all nodes", func(c *testCluster) {
			for i := range 5 {
				c.start(fmt.Sprintf("new-%d", i), fmt.Sprintf("zone-%d", i%3), 1)
			}
			for i := range 5 {
				c.kill(fmt.Sprintf("node-%d", i))
				c.loop.RunFor(40 * time.Second)
			}
		}),
		// A node whose clock differs from that of the node that voted must not expire a key early
		// and let it run again.
		Entry("a replacement of all nodes by nodes whose clocks are ahead", func(c *testCluster) {
			for i := range 5 {
				c.start(fmt.Sprintf("ahead-%d", i), fmt.Sprintf("zone-%d", i%3), 1).process.SetDrift(0, 2*time.Hour)
			}
			for i := range 5 {
				c.kill(fmt.Sprintf("node-%d", i))
				c.loop.RunFor(40 * time.Second)
			}
		}),
		Entry("a snapshot in the key-value service that a node whose clock is ahead reads", func(c *testCluster) {
			for name, node := range c.nodes {
				node.member.Draining = true
				for i := range c.members {
					c.members[i].Draining = c.members[i].Draining || c.members[i].Name == name
				}
			}
			c.loop.RunFor(30 * time.Second)
			for _, name := range c.liveNames() {
				c.kill(name)
			}
			c.loop.RunFor(10 * time.Second)
			c.start("ahead", "zone-0", 1).process.SetDrift(0, 2*time.Hour)
			c.loop.RunFor(30 * time.Second)
		}),
		Entry("a crash during a key-value outage", func(c *testCluster) {
			c.store.SetFaults(keyvalue.Faults{Outage: true})
			c.kill("node-1")
			c.loop.RunFor(5 * time.Minute)
			c.store.SetFaults(keyvalue.Faults{})
			c.loop.RunFor(time.Minute)
		}),
		Entry("lost replies of the key-value service during a repair", func(c *testCluster) {
			c.store.SetFaults(keyvalue.Faults{LostReplies: 0.7})
			c.kill("node-2")
			c.loop.RunFor(2 * time.Minute)
			c.store.SetFaults(keyvalue.Faults{})
			c.loop.RunFor(time.Minute)
		}),
	)

	It("grants new claims during a key-value outage after one node has crashed", func() {
		cluster := newTestCluster(5, 5)
		cluster.store.SetFaults(keyvalue.Faults{Outage: true})
		cluster.kill("node-3")
		cluster.loop.RunFor(20 * time.Second)
		for i := range 20 {
			fresh := Key{Tenant: "beta", Value: fmt.Sprint(i)}
			Expect(cluster.claimAndWait("node-0", fresh, fmt.Sprint("x", i)).Verdict).To(Equal(Granted))
		}
	})

	It("refuses old and new keys in quarantine after a majority was lost", func() {
		cluster := newTestCluster(6, 3)
		Expect(cluster.claimAndWait("node-0", key, "a").Verdict).To(Equal(Granted))
		cluster.kill("node-1")
		cluster.kill("node-2")
		cluster.loop.RunFor(3 * time.Minute)
		Expect(cluster.claimAndWait("node-0", Key{Tenant: "alpha", Value: "fresh"}, "b").Verdict).To(Equal(Unavailable))
		cluster.loop.RunFor(DefaultQuarantine)
		Expect(cluster.claimAndWait("node-0", Key{Tenant: "alpha", Value: "fresh"}, "c").Verdict).To(Equal(Granted))
	})

	It("stores a snapshot in the key-value service when the last node shuts down", func() {
		cluster := newTestCluster(7, 1)
		Expect(cluster.claimAndWait("node-0", key, "a").Verdict).To(Equal(Granted))
		node := cluster.nodes["node-0"]
		node.member.Draining = true
		cluster.members[0].Draining = true
		cluster.loop.RunFor(30 * time.Second)
		Expect(node.set.IsAcceptor()).To(BeFalse())
		cluster.kill("node-0")
		cluster.loop.RunFor(10 * time.Second)
		cluster.start("node-9", "zone-0", 2)
		cluster.loop.RunFor(30 * time.Second)
		Expect(cluster.claimAndWait("node-9", key, "b").Verdict).To(Equal(Denied))
	})

	It("resumes voting in a shard that was sealed for an abandoned proposal", func() {
		cluster := newTestCluster(8, 3)
		shard := shardOf(key, 4)
		configuration, _ := cluster.nodes["node-0"].set.configurations.get(shard)
		for _, node := range cluster.nodes {
			node.set.acceptors[shard].seal(SealRequest{Configuration: configuration.id(shard), Token: "given-up"}, node.process.Now())
		}
		Expect(cluster.claimAndWait("node-0", key, "a").Verdict).To(Equal(Unavailable))
		cluster.loop.RunFor(30 * time.Second)
		Expect(cluster.claimAndWait("node-0", key, "b").Verdict).To(Equal(Granted))
	})

	It("grants a key once when all nodes claim it concurrently", func() {
		for seed := range uint64(30) {
			cluster := newTestCluster(seed, 5)
			cluster.claimFromAllNodes(key, 0)
			cluster.loop.RunFor(10 * time.Second)
			Expect(cluster.runs[key]).To(Equal(1), "seed %d", seed)
		}
	})

	It("does not repair a shard from less than a seal quorum", func() {
		for seed := range uint64(20) {
			cluster := newTestCluster(seed, 5)
			Expect(cluster.claimAndWait("node-0", key, "a").Verdict).To(Equal(Granted))
			cluster.isolateAcceptors(key)
			cluster.loop.RunFor(20 * time.Second)
			cluster.network.Cut = func(string, string) bool { return false }
			for _, name := range cluster.liveNames() {
				Expect(cluster.claimAndWait(name, key, "later-"+name).Verdict).NotTo(Equal(Granted), "seed %d", seed)
			}
		}
	})

	It("never grants a key twice under random faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cluster := newTestCluster(rapid.Uint64().Draw(t, "seed"), 4)
			runRandomFaults(t, cluster)
			for claimed, runs := range cluster.runs {
				if runs > 1 {
					t.Fatalf("key %v was granted %d times", claimed, runs)
				}
			}
		})
	})
})

// runRandomFaults claims a few keys repeatedly from all nodes, while nodes crash, pause, start and are
// isolated, and the key-value service fails.
func runRandomFaults(t *rapid.T, cluster *testCluster) {
	random := cluster.loop.Random()
	started := 0
	for step := range rapid.IntRange(10, 40).Draw(t, "steps") {
		names := cluster.liveNames()
		node := names[random.IntN(len(names))]
		switch random.IntN(10) {
		case 0:
			if len(cluster.nodes) > 2 {
				cluster.kill(node)
			}
		case 1:
			started++
			cluster.start(fmt.Sprintf("extra-%d", started), fmt.Sprintf("zone-%d", started%3), started)
		case 2:
			process := cluster.nodes[node].process
			process.Pause()
			cluster.loop.AfterFunc(20*time.Second, process.Resume)
		case 4:
			isolated := names[random.IntN(len(names))]
			cluster.network.Cut = func(from, to string) bool { return from == isolated || to == isolated }
			cluster.loop.AfterFunc(15*time.Second, func() { cluster.network.Cut = func(string, string) bool { return false } })
		case 3:
			cluster.store.SetFaults(keyvalue.Faults{LostReplies: random.Float64(), Outage: random.IntN(3) == 0})
		case 5:
			cluster.store.SetFaults(keyvalue.Faults{})
		default:
			key := Key{Tenant: "alpha", Value: fmt.Sprint(random.IntN(4))}
			cluster.claimFromAllNodes(key, step)
		}
		cluster.loop.RunFor(time.Duration(random.IntN(6000)) * time.Millisecond)
	}
	cluster.loop.RunFor(time.Minute)
}

// isolateAcceptors cuts off the first two acceptors of the key's shard from the network and removes the
// first of them from the members for 19 s, so that the other nodes try a repair.
func (c *testCluster) isolateAcceptors(key Key) {
	shard := shardOf(key, 4)
	configuration, _ := c.nodes["node-0"].set.configurations.get(shard)
	isolated := map[string]bool{configuration.Acceptors[0].Name: true, configuration.Acceptors[1].Name: true}
	c.network.Cut = func(from, to string) bool { return isolated[from] || isolated[to] }
	members := c.members
	c.removeMember(configuration.Acceptors[0].Name)
	c.loop.AfterFunc(19*time.Second, func() { c.members = members })
}

// claimFromAllNodes claims a key from all nodes within 3 ms.
func (c *testCluster) claimFromAllNodes(key Key, step int) {
	for _, name := range c.liveNames() {
		process := c.nodes[name].process
		delay := time.Duration(c.loop.Random().IntN(3000)) * time.Microsecond
		process.AfterFunc(delay, func() {
			c.claim(name, key, fmt.Sprintf("%s-%d", name, step), 4*time.Second, func(Result) {})
		})
	}
}

// liveNames returns the names of the members that have not crashed.
func (c *testCluster) liveNames() []string {
	var names []string
	for _, member := range c.members {
		if _, alive := c.nodes[member.Name]; alive {
			names = append(names, member.Name)
		}
	}
	return names
}
