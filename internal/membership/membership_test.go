package membership_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

var _ = Describe("Registry", func() {
	var c *cluster
	BeforeEach(func() {
		c = newCluster(1, 12)
		for _, name := range []string{"a", "b", "c"} {
			c.start(name)
		}
		c.loop.RunFor(time.Minute)
		c.expectMembers("a", "b", "c")
	})

	It("removes a killed member after its lease expired", func() {
		c.nodes["b"].process.Kill()
		c.loop.RunFor(15 * time.Second)
		c.expectMembers("a", "c")
	})

	It("keeps all members during an outage in which all leases expire", func() {
		c.store.SetFaults(keyvalue.Faults{Outage: true})
		c.loop.RunFor(5 * time.Minute)
		c.expectMembers("a", "b", "c")
		c.store.SetFaults(keyvalue.Faults{OperationsPerSecond: 1, Burst: 1})
		for range 120 {
			c.loop.RunFor(time.Second)
			c.expectMembers("a", "b", "c")
		}
	})

	It("waits after an outage for a member that registers again late", func() {
		c.store.SetFaults(keyvalue.Faults{Outage: true})
		c.loop.RunFor(5 * time.Minute)
		c.network.Cut = func(from, to string) bool { return from == "c" || to == "c" }
		c.store.SetFaults(keyvalue.Faults{})
		c.loop.RunFor(20 * time.Second)
		Expect(c.nodes["a"].memberNames()).To(Equal([]string{"a", "b", "c"}))
		c.network.Cut = func(string, string) bool { return false }
		c.loop.RunFor(time.Minute)
		c.expectMembers("a", "b", "c")
	})

	It("makes few calls besides the keep-alives", func() {
		before := c.store.Counters().Total()
		c.loop.RunFor(20 * time.Minute)
		perNodeAndSecond := float64(c.store.Counters().Total()-before) / (20 * 60 * 3)
		keepAlivesPerSecond := 1 / membership.DefaultLeaseOptions().KeepAliveInterval.Seconds()
		Expect(perNodeAndSecond).To(BeNumerically("~", keepAlivesPerSecond, 0.05))
	})

	It("registers a member again that was paused longer than its lease", func() {
		c.nodes["b"].process.Pause()
		c.loop.RunFor(40 * time.Second)
		Expect(c.nodes["a"].memberNames()).To(Equal([]string{"a", "c"}))
		c.nodes["b"].process.Resume()
		c.loop.RunFor(10 * time.Second)
		c.expectMembers("a", "b", "c")
	})

	It("lets a restarted node replace its former incarnation permanently", func() {
		paused := c.nodes["b"].process
		paused.Pause()
		delete(c.nodes, "b")
		restarted := c.start("b")
		c.loop.RunFor(30 * time.Second)
		paused.Resume()
		c.loop.RunFor(time.Minute)
		for _, member := range c.nodes["a"].registry.Members() {
			if member.Name == "b" {
				Expect(member.ID()).To(Equal(restarted.registry.Self().ID()))
			}
		}
		c.expectMembers("a", "b", "c")
	})

	It("removes a stopped member at once if it was drained before", func() {
		c.nodes["b"].registry.SetDraining(true)
		c.loop.RunFor(5 * time.Second)
		c.nodes["b"].registry.Stop(func() {})
		c.loop.RunFor(100 * time.Millisecond)
		c.nodes["b"].process.Kill()
		c.expectMembers("a", "c")
	})
})

var _ = Describe("OwnershipManager with leases", func() { describeOwnershipManager(false) })

var _ = Describe("OwnershipManager with heartbeats", func() { describeOwnershipManager(true) })

// describeOwnershipManager defines the tests that hold with either detector.
func describeOwnershipManager(heartbeat bool) {
	var c *cluster
	BeforeEach(func() {
		c = newCluster(1, 12)
		c.heartbeat = heartbeat
		for _, name := range []string{"a", "b", "c", "d"} {
			c.start(name)
		}
		c.loop.RunFor(2 * time.Minute)
		c.expectOneOwnerPerCell()
	})

	DescribeTable("finds one owner for each cell again after",
		func(fault, repair func(), settle time.Duration) {
			fault()
			c.loop.RunFor(time.Minute)
			repair()
			c.loop.RunFor(settle)
			c.expectOneOwnerPerCell()
		},
		Entry("a killed node", func() { c.nodes["a"].process.Kill() }, func() {}, time.Minute),
		Entry("a restarted node", func() { c.start("a") }, func() {}, time.Minute),
		Entry("two killed nodes", func() { c.nodes["a"].process.Kill(); c.nodes["b"].process.Kill() }, func() {}, time.Minute),
		Entry("a node added", func() { c.start("e") }, func() {}, time.Minute),
		Entry("a pause longer than the lease", func() { c.nodes["a"].process.Pause() }, func() { c.nodes["a"].process.Resume() }, 2*time.Minute),
		Entry("an outage", func() { c.store.SetFaults(keyvalue.Faults{Outage: true}) }, func() { c.store.SetFaults(keyvalue.Faults{}) }, 2*time.Minute),
		Entry("a crash during an outage", func() {
			c.store.SetFaults(keyvalue.Faults{Outage: true})
			c.nodes["a"].process.Kill()
		}, func() { c.store.SetFaults(keyvalue.Faults{}) }, 2*time.Minute),
		Entry("a crash while replies are lost", func() {
			c.store.SetFaults(keyvalue.Faults{LostReplies: 0.7})
			c.nodes["a"].process.Kill()
		}, func() { c.store.SetFaults(keyvalue.Faults{}) }, 2*time.Minute),
		Entry("a drained node", func() { c.nodes["a"].registry.SetDraining(true) }, func() {}, time.Minute),
	)

	It("keeps the owners of cells during an outage", func() {
		before := map[string]uint64{}
		for _, cell := range c.cells {
			before[cell] = c.nodes[c.ownersOf(cell)[0]].owned[cell]
		}
		c.store.SetFaults(keyvalue.Faults{Outage: true})
		c.loop.RunFor(10 * time.Minute)
		c.store.SetFaults(keyvalue.Faults{})
		c.loop.RunFor(2 * time.Minute)
		for _, cell := range c.cells {
			Expect(c.nodes[c.ownersOf(cell)[0]].owned[cell]).To(Equal(before[cell]), "epoch unchanged")
		}
	})

	It("does not release a cell while the service is unavailable", func() {
		c.store.SetFaults(keyvalue.Faults{Outage: true})
		owned := len(c.nodes["a"].owned)
		Expect(owned).To(BeNumerically(">", 0))
		c.nodes["a"].registry.SetDraining(true)
		c.loop.RunFor(5 * time.Minute)
		Expect(c.nodes["a"].owned).To(HaveLen(owned))
		c.store.SetFaults(keyvalue.Faults{})
		c.loop.RunFor(time.Minute)
		Expect(c.nodes["a"].owners.Owned()).To(BeEmpty())
		c.expectOneOwnerPerCell()
	})

	It("increments the epoch with every owner, and converges after any faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { checkOwnersUnderFaults(t, heartbeat) })
	})
}

// checkOwnersUnderFaults injects random faults, checks ownership by the records in
// the key-value service, and expects the cluster to converge afterwards.
func checkOwnersUnderFaults(t *rapid.T, heartbeat bool) {
	c := newCluster(rapid.Uint64().Draw(t, "seed"), 6)
	c.heartbeat = heartbeat
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		c.start(name)
	}
	for range rapid.IntRange(3, 12).Draw(t, "faults") {
		name := rapid.SampledFrom(names).Draw(t, "node")
		switch rapid.IntRange(0, 6).Draw(t, "fault") {
		case 0:
			c.start(name)
		case 1:
			c.nodes[name].process.Pause()
		case 2:
			c.nodes[name].process.Resume()
		case 3:
			c.store.SetFaults(keyvalue.Faults{Outage: true})
		case 4:
			c.store.SetFaults(keyvalue.Faults{LostReplies: 0.5, Delay: 3 * time.Second})
		case 5:
			c.store.SetFaults(keyvalue.Faults{WatchGaps: 0.3, WatchGapDelay: time.Second, OperationsPerSecond: 3})
		case 6:
			c.store.SetFaults(keyvalue.Faults{})
		}
		c.loop.RunFor(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
	}
	c.store.SetFaults(keyvalue.Faults{})
	for _, name := range names {
		c.nodes[name].process.Resume()
	}
	c.loop.RunFor(4 * time.Minute)
	checkEpochs(t, c)
	for _, cell := range c.cells {
		if owners := c.ownersOf(cell); len(owners) != 1 {
			t.Fatalf("%s has owners %v", cell, owners)
		}
	}
	for _, n := range c.nodes {
		if len(n.violations) > 0 {
			t.Fatalf("%s: %v", n.process.Name, n.violations)
		}
	}
}

func checkEpochs(t *rapid.T, c *cluster) {
	type record struct {
		Epoch  uint64
		Member struct{ Name, Incarnation string }
		Vacant bool
	}
	last := map[string]record{}
	for _, written := range c.store.Records(0) {
		for _, event := range written.Events {
			if !strings.HasPrefix(event.KeyValue.Key, membership.CellPrefix) {
				continue
			}
			var current record
			if err := json.Unmarshal(event.KeyValue.Value, &current); err != nil {
				t.Fatal(err)
			}
			before := last[event.KeyValue.Key]
			vacated := current.Vacant && current.Epoch == before.Epoch && current.Member == before.Member
			if current.Epoch <= before.Epoch && !vacated {
				t.Fatal(fmt.Sprintf("%s: record %+v was written after %+v", event.KeyValue.Key, current, before))
			}
			last[event.KeyValue.Key] = current
		}
	}
}
