package mirror

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// goBack begins another era with lower revisions of the store's own, and the records that it
// holds now.
func (s *fakeStore) goBack() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = outside.RevisionOf(outside.EraOf(s.revision)+1, max(outside.OwnRevision(s.revision)/2, 1))
	s.forgotten, s.history = s.revision, nil
	s.configuredAt = outside.RevisionOf(outside.EraOf(s.revision), 1)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Followers that the relay told of nothing kept the revision of before the restore, and took
// what the relay told after it for old.
func TestFollowersReadAgainWhenTheRelayIsInALaterEra(t *testing.T) {
	withNodes(t, 6, func(d *deployment) {
		d.noise(3)
		for _, node := range d.nodes[1:] {
			Expect(node.mirror.Through()).To(BeTrue())
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
			Expect(node.mirror.Through()).To(BeTrue())
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
		Expect(follower.mirror.Through()).To(BeFalse())
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
