package mirror

import (
	"context"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// A server whose record was replaced by an odd one was lost at nodes that read all records again, and nodes that
// differed in it read them every 30 s.
func TestServerBehindARejectedRecordIsHeldByAllNodes(t *testing.T) {
	withNodes(t, 4, func(d *deployment) {
		d.store.put("a", false, "m")
		d.store.put("z", false, "m")
		time.Sleep(settled)
		d.store.spoil("a")
		d.store.spoil("foreign")
		time.Sleep(testTimes.Changes)
		d.expectEqual("as a change")
		d.network.setPartitioned(addressOf(2), true)
		d.store.put("later", false, "m")
		d.store.configure(true)
		time.Sleep(testTimes.Contact)
		for _, node := range d.nodes {
			node.source.setFault(true, false)
		}
		time.Sleep(testTimes.Changes)
		d.store.put("z", true, "m")
		d.store.compact()
		for _, node := range d.nodes {
			node.source.setFault(false, false)
		}
		d.network.setPartitioned(addressOf(2), false)
		time.Sleep(2 * testTimes.Contact)
		d.expectEqual("by a read of all records")
		before := make([]int, len(d.nodes))
		for number, node := range d.nodes {
			before[number] = node.source.count("read")
		}
		time.Sleep(10 * driftReadInterval)
		for number, node := range d.nodes {
			Expect(node.source.count("read")-before[number]).To(BeZero(), "node %d", number)
		}
		d.store.put("a", true, "m")
		time.Sleep(testTimes.Changes)
		d.expectEqual("as a good record again")
		d.store.spoil("a")
		time.Sleep(testTimes.Changes)
		d.expectEqual("the last good record drains")
		d.store.remove("a")
		d.store.remove("foreign")
		time.Sleep(2 * testTimes.Contact)
		d.expectEqual("removed")
	})
}

// A server that announced its end just before its record was replaced by an odd one stayed in use at nodes that
// missed the update between the two.
func TestDrainingBeforeARejectedRecordIsNotMissed(t *testing.T) {
	withNodes(t, 4, func(d *deployment) {
		time.Sleep(settled)
		d.network.mutex.Lock()
		d.network.dropUpdates = 3
		d.network.mutex.Unlock()
		d.store.put("s", true, "m")
		time.Sleep(2 * share(relayPollShare, testTimes.Changes))
		d.store.spoil("s")
		time.Sleep(testTimes.Changes)
		d.expectEqual()
	})
}

// As above, in a fleet whose nodes read the records from snapshots; one of them starts after the record was replaced.
func TestServerBehindARejectedRecordIsHeldInALargeFleet(t *testing.T) {
	withLargeFleet(t, 4, func(d *deployment) {
		time.Sleep(settled)
		for _, id := range []string{"w5", "w6", "foreign"} {
			d.store.spoil(id)
		}
		time.Sleep(maxSnapshotAge + testTimes.Changes)
		d.nodes = append(d.nodes, d.addNode(addressOf(4)))
		time.Sleep(testTimes.Contact)
		d.expectEqual("at a node that starts")
		for _, node := range d.nodes {
			node.source.setFault(true, false)
		}
		time.Sleep(testTimes.Changes)
		d.store.put("w1", true, "m")
		d.store.put("later", false, "m")
		d.store.configure(true)
		d.store.compact()
		for _, node := range d.nodes {
			node.source.setFault(false, false)
		}
		time.Sleep(maxSnapshotAge + 2*testTimes.Contact)
		d.expectEqual("after a gap")
		d.store.put("w5", true, "m")
		d.store.remove("w6")
		d.store.remove("foreign")
		time.Sleep(maxSnapshotAge + testTimes.Contact)
		d.expectEqual("good again, and removed")
	})
}

// A read of one rejected record counted as a failure of the store, so that no server's record was read for a second,
// and requests were sent by outdated ones.
func TestReadOfARejectedRecordDoesNotStopOtherReads(t *testing.T) {
	withNodes(t, 1, func(d *deployment) {
		d.store.put("t", false, "m")
		time.Sleep(settled)
		node := d.nodes[0]
		node.source.setStalled(true)
		time.Sleep(testTimes.Changes)
		d.store.spoil("s")
		d.store.put("t", true, "m")
		Expect(node.mirror.ReadRecord(context.Background(), "s")).To(Succeed())
		Expect(node.view.Load().Servers["s"].Draining).To(BeFalse(), "its last record holds")
		Expect(node.mirror.ReadRecord(context.Background(), "t")).To(Succeed())
		Expect(node.view.Load().Servers["t"].Draining).To(BeTrue())
		node.source.setStalled(false)
	})
}

// Random faults, odd records in place of servers' own and as new entries, and servers that write theirs again: all nodes
// end up with the same records.
func TestNodesConvergeAfterRandomOddRecords(t *testing.T) {
	for seed := range uint64(40) {
		start := withNodes
		if seed%4 == 0 {
			start = withLargeFleet
		}
		start(t, 4, func(d *deployment) {
			random := rand.New(rand.NewPCG(seed, 3))
			for range 30 {
				d.store.spoil(string(rune('q' + random.IntN(8))))
				d.injectFaults(seed, random.Uint64(), 3)
			}
			for id := range maps.Clone(d.store.rejected) {
				if record := d.store.servers[id]; record != nil {
					d.store.recreate(record)
				}
			}
			time.Sleep(maxSnapshotAge + 2*testTimes.Contact + testTimes.Changes + 4*pageWait)
			d.expectEqual("seed %d", seed)
		})
	}
}

// A server that left was held for as long as another writer's entry under its ID existed, by nodes that missed the
// removal of its record.
func TestOddEntryUnderTheIDOfAServerThatLeftDoesNotHoldIt(t *testing.T) {
	for _, start := range []func(*testing.T, int, func(*deployment)){withNodes, withLargeFleet} {
		start(t, 3, func(d *deployment) {
			d.store.put("t", false, "m")
			time.Sleep(settled + maxSnapshotAge)
			for _, node := range d.nodes {
				node.source.setFault(true, false)
			}
			time.Sleep(testTimes.Changes)
			d.store.remove("t")
			d.store.spoil("t")
			d.store.compact()
			for _, node := range d.nodes {
				node.source.setFault(false, false)
			}
			time.Sleep(maxSnapshotAge + 2*testTimes.Contact)
			d.expectEqual()
		})
	}
}

// TestDeadServerBehindARejectedRecordIsRemoved: an odd entry without a lease in place of a dead server's record kept it in
// use for good, at all nodes.
func TestDeadServerBehindARejectedRecordIsRemoved(t *testing.T) {
	for _, start := range []func(*testing.T, int, func(*deployment)){withNodes, withLargeFleet} {
		start(t, 4, func(d *deployment) {
			d.store.put("t", false, "m")
			d.store.put("alive", false, "m")
			time.Sleep(settled + maxSnapshotAge)
			d.store.spoil("t")
			d.store.spoil("alive")
			time.Sleep(maxHoldPeriod / 2)
			d.nodes = append(d.nodes, d.addNode(addressOf(4)))
			d.expectShown("t", 4)
			d.store.put("alive", false, "m")
			time.Sleep(testTimes.Changes)
			d.store.spoil("alive")
			time.Sleep(maxHoldPeriod/2 + testTimes.Changes)
			for _, node := range d.nodes[:4] {
				Expect(node.view.Load().Servers).NotTo(HaveKey("t"))
			}
			d.expectShown("alive", 5)
			d.store.put("alive", false, "m")
			d.nodes = append(d.nodes, d.addNode(addressOf(5)))
			time.Sleep(maxHoldPeriod)
			d.setRelay(5)
			time.Sleep(time.Hour)
			for _, node := range d.nodes {
				Expect(node.view.Load().Servers).NotTo(HaveKey("t"), "whatever other nodes held")
			}
			d.expectShown("alive", 6)
			d.store.put("t", false, "m")
			time.Sleep(settled + maxSnapshotAge)
			d.expectShown("t", 6)
		})
	}
}

// TestServerBehindARejectedRecordIsHeldWhileTheStoreIsAway: a server can't write its record again while the store is
// unavailable, so an outage must not end its use.
func TestServerBehindARejectedRecordIsHeldWhileTheStoreIsAway(t *testing.T) {
	withNodes(t, 4, func(d *deployment) {
		d.store.put("t", false, "m")
		time.Sleep(settled)
		d.store.spoil("t")
		time.Sleep(testTimes.Changes)
		for _, node := range d.nodes {
			node.source.setFault(true, false)
		}
		time.Sleep(2 * maxHoldPeriod)
		d.expectShown("t", 4)
		for _, node := range d.nodes {
			node.source.setFault(false, false)
		}
		time.Sleep(testTimes.Contact)
		d.expectShown("t", 4)
		time.Sleep(2 * maxHoldPeriod)
		for _, node := range d.nodes {
			Expect(node.view.Load().Servers).NotTo(HaveKey("t"))
		}
	})
}

// expectShown checks that the first nodes have the server.
func (d *deployment) expectShown(id string, nodes int) {
	for number, node := range d.nodes[:nodes] {
		Expect(node.view.Load().Servers).To(HaveKey(id), "node %d", number)
	}
}

// TestRelayThatMissedTheLastRecordClearsNoFields: a relay that started after a record became odd must not clear the fields
// that its subscribers know from the record before.
func TestRelayThatMissedTheLastRecordClearsNoFields(t *testing.T) {
	RegisterTestingT(t)
	view := fleet.NewView()
	m := New(Config{View: view})
	good := ServerRecord{ID: "s", Pool: "p", Address: "10.0.0.1:80", Zone: "z", Slots: 8, Created: 3, Models: []ModelRecord{{Name: "m", Adapters: []string{"a"}}}}
	odd := ServerRecord{ID: "s", Pool: "p", Address: "10.0.0.1:80", Zone: "z", Draining: true, Created: 3, Undecoded: fleet.FieldSlots | fleet.FieldModels}
	m.apply(Update{At: 5, Servers: []ServerRecord{good}}.changes(time.Now()))
	m.apply(throughGob(Update{Base: 5, At: 6, Rejected: []ServerRecord{odd}}).changes(time.Now()))
	held := good
	held.Draining = true
	Expect(recordOf(view.Record("s"))).To(Equal(held))
	content := recordsSnapshot{Revision: 6, Rejected: []ServerRecord{odd}}
	parts, err := content.encode()
	Expect(err).NotTo(HaveOccurred())
	snapshot, err := decodeSnapshot(parts)
	Expect(err).NotTo(HaveOccurred())
	m.mergeRecords(nil, rejectedServers(snapshot.Rejected, time.Now(), modelSets{}), 6, 6)
	Expect(recordOf(view.Record("s"))).To(Equal(held))
}

// TestLateReadOfARecordDoesNotUndoAnOddOne: a read of a single record that ended after a later change was applied brought
// back the state from before, if that change had an odd field.
func TestLateReadOfARecordDoesNotUndoAnOddOne(t *testing.T) {
	RegisterTestingT(t)
	view := fleet.NewView()
	m := New(Config{View: view})
	ready := &fleet.Server{ID: "s", Pool: "p", Created: 3, Slots: 8}
	m.apply(Changes{At: 5, Servers: map[string]*fleet.Server{"s": ready}})
	odd := &fleet.Server{ID: "s", Pool: "p", Created: 3, Draining: true, Undecoded: fleet.FieldSlots}
	m.apply(Changes{Base: 5, At: 7, Servers: map[string]*fleet.Server{}, Rejected: map[string]*fleet.Server{"s": odd}})
	m.applyRecord("s", Changes{At: 6, Servers: map[string]*fleet.Server{"s": ready}}, time.Now())
	Expect(view.Record("s").Draining).To(BeTrue())
	m.applyRecord("s", Changes{At: 8, Servers: map[string]*fleet.Server{"s": ready}}, time.Now())
	Expect(view.Record("s").Draining).To(BeFalse(), "a later read")
}

// TestServerWithAnOddFieldIsUsedAfterARestore: a server that had been removed before a restore and has a record with an odd
// field stayed out of use once the wait for its own record was over.
func TestServerWithAnOddFieldIsUsedAfterARestore(t *testing.T) {
	RegisterTestingT(t)
	view := fleet.NewView()
	m := New(Config{View: view})
	odd := &fleet.Server{ID: "odd", Pool: "p", Created: 3, Undecoded: fleet.FieldSlots}
	held := &fleet.Server{ID: "held", Pool: "p", Created: 3, Held: true}
	m.reappeared = map[string]*fleet.Server{"odd": odd, "held": held, "gone": {ID: "gone", Pool: "p"}}
	m.state.reject("odd", odd, 5)
	m.state.reject("held", held, 5)
	m.useReappeared()
	Expect(view.Load().Servers).To(HaveLen(1))
	Expect(view.Load().Servers).To(HaveKey("odd"))
}
