package mirror

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// restoreBackup begins another era with lower store revisions and without the records snapshot. The
// configuration and the servers' records exist again.
func (s *fakeStore) restoreBackup() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.own, testSnapshotKey)
	s.snapshot = nil
	s.revision = outside.RevisionOf(outside.EraOf(s.revision)+1, max(outside.OwnRevision(s.revision)/2, 1))
	s.compacted, s.history = s.revision, nil
	s.configuredAt = outside.RevisionOf(outside.EraOf(s.revision), 1)
	s.configuration = fleet.NewConfiguration(s.configuration.Version, s.configuredAt, nil, nil, fleet.Limits{})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against a fault: the relay did not notify its followers of a restore. They kept the
// revision from before it, and ignored the relay's later updates as old.
func TestFollowersReadAgainWhenTheRelayIsInALaterEra(t *testing.T) {
	withNodes(t, 6, func(d *deployment) {
		d.rewriteRecord(3)
		for _, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeTrue())
		}
		before := make([]int, len(d.nodes))
		for number, node := range d.nodes {
			before[number] = node.source.count("own")
		}
		d.store.restoreBackup()
		d.store.put("s", true, "m")
		time.Sleep(time.Second)
		for number, node := range d.nodes {
			Expect(node.view.Load().Servers["s"].Draining).To(BeTrue(), fmt.Sprint(number))
			Expect(node.source.count("own")-before[number]).To(Equal(1), "read once")
		}
		time.Sleep(settled)
		for _, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeTrue())
		}
	})
}

// Guards against a fault: a relay that could not reach the store after a restore replied to
// followers which had read the new state as if its own state were complete up to their revision.
func TestRelayInAnEarlierEraIsNotFollowed(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		d.rewriteRecord(3)
		relay, follower := d.nodes[0], d.nodes[1]
		relay.source.setFault(true, false)
		follower.source.setFault(true, false)
		time.Sleep(share(directWaitShare, testTimes.Contact))
		d.store.restoreBackup()
		follower.source.setFault(false, false)
		time.Sleep(settled)
		Expect(follower.mirror.FollowsRelay()).To(BeFalse())
		d.store.put("s", true, "m")
		time.Sleep(testTimes.Changes)
		Expect(follower.view.Load().Servers["s"].Draining).To(BeTrue())
	})
}

// A build without eras echoes the revision of the subscription, which must not be taken for state
// from after a restore.
func TestUpdateWithoutEraIsIgnoredAfterARestore(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	at := outside.RevisionOf(1, 10)
	m.replace(Changes{At: at})
	m.handleUpdate(Update{Base: at, At: at}, "r:1")
	Expect(m.updateFollowing(time.Now())).To(BeFalse())
	m.handleUpdate(Update{Base: at, At: at, Era: 1}, "r:1")
	Expect(m.updateFollowing(time.Now())).To(BeTrue())
}

// A relay in an earlier era can't report what changed since a revision of a later one, however
// often it is asked.
func TestSubscriberInALaterEraIsRefused(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	for range 3 {
		m.replace(Changes{At: 10})
		m.confirmedAt = time.Now()
		var received peer.Message
		m.serveSubscribe("", Subscribe{Address: "n:1", Revision: outside.RevisionOf(1, 5)}, func(reply peer.Message, _ error) { received = reply })
		Expect(received).To(Equal(NotRelay{}))
	}
}

// Nodes that disagree on the era must not cause each other to read the store endlessly.
func TestDisagreementOnErasCausesFewReads(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	later := Update{Base: outside.RevisionOf(2, 1), At: outside.RevisionOf(2, 10), Era: 2}
	reads := 0
	for range 50 {
		if m.next(time.Now()) == readAll {
			m.replace(Changes{At: outside.RevisionOf(1, 10)})
			reads++
		}
		m.handleUpdate(later, "r:1")
	}
	Expect(reads).To(Equal(2))
}

// After a restore all nodes of a large fleet read again at once, as at a start: each reads the
// configuration and the own keys, only the relay reads the records, and the others read its
// snapshot once each. Guards against a fault: a relay whose manifest was lost in the restore never
// wrote another snapshot.
func TestOnlyTheRelayReadsTheRecordsAfterARestore(t *testing.T) {
	withLargeFleet(t, 40, func(d *deployment) {
		time.Sleep(2 * settled)
		for range 2 {
			before := make([]map[string]int, len(d.nodes))
			for number, node := range d.nodes {
				before[number] = node.source.counts()
			}
			d.store.restoreBackup()
			d.store.put("w1", true, "m")
			time.Sleep(testTimes.Contact)
			d.expectEqual()
			for number, node := range d.nodes {
				calls := node.source.counts()
				Expect(calls["own"]-before[number]["own"]).To(Equal(1), "node %d", number)
				Expect(calls["configuration"]-before[number]["configuration"]).To(Equal(1), "node %d", number)
				if number > 0 {
					Expect(calls["read"]-before[number]["read"]).To(BeZero(), "node %d", number)
					Expect(calls["stale copy"]+calls["copy"]-before[number]["stale copy"]-before[number]["copy"]).To(BeNumerically("<=", 2), "node %d", number)
				}
			}
		}
	})
}

// Nodes that are partitioned, or whose store is slow or unavailable during restores, have the state
// of the store in the end.
func TestNodesConvergeAfterRandomFaultsAndRestores(t *testing.T) {
	for seed := range uint64(30) {
		for _, with := range []func(*testing.T, int, func(*deployment)){withNodes, withLargeFleet} {
			with(t, 4, func(d *deployment) {
				random := rand.New(rand.NewPCG(seed, 3))
				var restores sync.WaitGroup
				restores.Go(func() {
					for range 6 {
						time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
						d.store.restoreBackup()
					}
				})
				d.injectFaults(seed, 3, 40)
				restores.Wait()
				time.Sleep(testTimes.Contact + 2*testTimes.Changes + share(snapshotWaitShare, testTimes.Changes) + 4*pageWait)
				d.expectConverged(seed)
			})
		}
	}
}

// expectConverged expects all nodes to have the state of the store. A server that was draining
// before a restore may still be draining on nodes that saw it: an incarnation does not stop
// draining.
func (d *deployment) expectConverged(seed uint64) {
	for number, node := range d.nodes {
		Expect(node.revision()).To(Equal(d.store.configuredAt), "seed %d, node %d", seed, number)
		servers := node.view.Load().Servers
		Expect(servers).To(HaveLen(len(d.store.servers)), "seed %d, node %d", seed, number)
		for id, server := range d.store.servers {
			Expect(servers[id].Created).To(Equal(server.Created), "seed %d, node %d, server %s", seed, number, id)
			if server.Draining {
				Expect(servers[id].Draining).To(BeTrue(), "seed %d, node %d, server %s", seed, number, id)
			}
		}
	}
}
