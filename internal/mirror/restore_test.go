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

// goBack begins another era with lower revisions of the store's own, without the copy of the
// records. What operator and servers wrote is there again.
func (s *fakeStore) goBack() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.own, testCopyKey)
	s.copied = nil
	s.revision = outside.RevisionOf(outside.EraOf(s.revision)+1, max(outside.OwnRevision(s.revision)/2, 1))
	s.forgotten, s.history = s.revision, nil
	s.configuredAt = outside.RevisionOf(outside.EraOf(s.revision), 1)
	s.configuration = fleet.NewConfiguration(s.configuration.Version, s.configuredAt, nil, nil, fleet.Limits{})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Followers that the relay told of nothing kept the revision of before the restore, and took
// what the relay told after it for old.
func TestFollowersReadAgainWhenTheRelayIsInALaterEra(t *testing.T) {
	withNodes(t, 6, func(d *deployment) {
		d.noise(3)
		for _, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeTrue())
		}
		before := make([]int, len(d.nodes))
		for number, node := range d.nodes {
			before[number] = node.source.count("own")
		}
		d.store.goBack()
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

// A relay that is cut off from the store after a restore answered followers that had read
// again as if it knew all up to their revision.
func TestRelayInAnEarlierEraIsNotFollowed(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		d.noise(3)
		relay, follower := d.nodes[0], d.nodes[1]
		relay.source.set(true, false)
		follower.source.set(true, false)
		time.Sleep(share(aloneWaitShare, testTimes.Contact))
		d.store.goBack()
		follower.source.set(false, false)
		time.Sleep(settled)
		Expect(follower.mirror.FollowsRelay()).To(BeFalse())
		d.store.put("s", true, "m")
		time.Sleep(testTimes.Changes)
		Expect(follower.view.Load().Servers["s"].Draining).To(BeTrue())
	})
}

// A build that knows no eras repeats the revision that it is asked with.
func TestWordWithoutEraIsNotTakenAfterARestore(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	at := outside.RevisionOf(1, 10)
	m.replace(Changes{At: at})
	m.takeUpdate(Update{Base: at, At: at}, "r:1")
	Expect(m.followsRelay(time.Now())).To(BeFalse())
	m.takeUpdate(Update{Base: at, At: at, Era: 1}, "r:1")
	Expect(m.followsRelay(time.Now())).To(BeTrue())
}

// A relay of an earlier era can't tell what changed since a revision of a later one, however
// often it is asked.
func TestSubscriberInALaterEraIsToldNothing(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	for range 3 {
		m.replace(Changes{At: 10})
		m.confirmedAt = time.Now()
		var told peer.Message
		m.serveSubscribe("", Subscribe{Address: "n:1", Revision: outside.RevisionOf(1, 5)}, func(reply peer.Message, _ error) { told = reply })
		Expect(told).To(Equal(NotRelay{}))
	}
}

// Nodes that do not agree on the era must not keep one another reading the store.
func TestNodesThatCountErasOtherwiseDoNotKeepOneAnotherReading(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	later := Update{Base: outside.RevisionOf(2, 1), At: outside.RevisionOf(2, 10), Era: 2}
	reads := 0
	for range 50 {
		if m.next(time.Now()) == readAll {
			m.replace(Changes{At: outside.RevisionOf(1, 10)})
			reads++
		}
		m.takeUpdate(later, "r:1")
	}
	Expect(reads).To(Equal(2))
}

// All nodes of a large fleet read again at once, as at a start: the small things each, the
// records the relay alone, and the copy of them each once. A relay that had lost the entry of
// its copy never wrote another one.
func TestRestoreOfALargeFleetIsReadByTheRelayAlone(t *testing.T) {
	withLargeFleet(t, 40, func(d *deployment) {
		time.Sleep(2 * settled)
		for range 2 {
			before := make([]map[string]int, len(d.nodes))
			for number, node := range d.nodes {
				before[number] = node.source.all()
			}
			d.store.goBack()
			d.store.put("w1", true, "m")
			time.Sleep(testTimes.Contact)
			d.expectEqual()
			for number, node := range d.nodes {
				calls := node.source.all()
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

// Nodes that were cut off, slow, or silent while the store was restored know in the end what
// it holds.
func TestAnyTroubleWithRestoresLeavesAllNodesEqual(t *testing.T) {
	for seed := range uint64(30) {
		for _, with := range []func(*testing.T, int, func(*deployment)){withNodes, withLargeFleet} {
			with(t, 4, func(d *deployment) {
				random := rand.New(rand.NewPCG(seed, 3))
				var restores sync.WaitGroup
				restores.Go(func() {
					for range 6 {
						time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
						d.store.goBack()
					}
				})
				d.endureTrouble(seed, 3, 40)
				restores.Wait()
				time.Sleep(testTimes.Contact + 2*testTimes.Changes + share(copyPatienceShare, testTimes.Changes) + 4*pagePatience)
				d.expectKnown(seed)
			})
		}
	}
}

// expectKnown expects all nodes to know what the store holds. A server that drained before a
// restore still does for nodes that saw it: a life does not take that back.
func (d *deployment) expectKnown(seed uint64) {
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
