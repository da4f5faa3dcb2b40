package streamorigin

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// Guards against a stream that is joined at a node which concludes from its own records, as old as they may be,
// that the pool has had one version.
func TestNodeWithOlderRecordsAsksForTheOrigin(t *testing.T) {
	cases := map[string]func(d *deployment){
		"records within the age limit": func(d *deployment) {
			d.nodes["c"].setLate(true)
			d.serve("v1", "v2")
			time.Sleep(300 * time.Millisecond)
		},
		"the stream's node starts during a release": func(d *deployment) {
			d.nodes["c"].setLate(true)
			d.serve("v1", "v2")
			time.Sleep(300 * time.Millisecond)
			d.start("a").serve("v1", "v2")
			time.Sleep(300 * time.Millisecond)
			Expect(d.nodes["a"].origins.Settled("p")).To(ContainElement("v2"))
		},
		"no settled server is left": func(d *deployment) {
			d.nodes["c"].setLate(true)
			d.serve("v2")
			time.Sleep(300 * time.Millisecond)
		},
		"a version between two observations": func(d *deployment) {
			time.Sleep(10 * time.Millisecond)
			d.serve("v1", "v2")
			time.Sleep(50 * time.Millisecond)
		},
	}
	for name, release := range cases {
		t.Run(name, func(t *testing.T) {
			inDeploymentWithStore(t, newFakeStore(), 5, []string{"v1"}, func(d *deployment) {
				time.Sleep(2 * retention)
				release(d)
				origin := Origin{Pool: "p", SoftwareVersion: "v2"}
				d.nodes["a"].origins.Begin("r1", origin, false)
				time.Sleep(2 * sendPeriod)
				d.serve("v1")
				time.Sleep(50 * time.Millisecond)
				for address, node := range d.nodes {
					found, finding := node.origins.Find(context.Background(), "r1", "p", false)
					Expect(finding).To(Equal(Known), address)
					Expect(found).To(Equal(origin), address)
				}
			})
		})
	}
}

// Guards against a wait for all nodes: the stream's keepers are enough, and only they are waited for.
func TestSearchEndsWithTheKeepersReplies(t *testing.T) {
	inDeploymentWithStore(t, newFakeStore(), 6, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		kept := keepers(keyOf("r1"), d.network.Addresses())
		var others []string
		for address := range d.nodes {
			if address != kept[0] && address != kept[1] {
				others = append(others, address)
			}
		}
		find := func() (Finding, time.Duration) {
			began := time.Now()
			_, finding := d.nodes[others[0]].origins.Find(context.Background(), "r1", "p", false)
			return finding, time.Since(began)
		}
		for _, silent := range others[1:] {
			d.network.SetCut(silent, true)
		}
		finding, waited := find()
		Expect(finding).To(Equal(SoleVersion))
		Expect(waited).To(BeNumerically("<=", 5*time.Millisecond))
		d.network.SetCut(kept[0], true)
		finding, waited = find()
		Expect(finding).To(Equal(SoleVersion), "a dead keeper costs the wait")
		Expect(waited).To(BeNumerically("<=", askTimeout))
	})
}

// Guards against streams that are refused although no version can be missing, where all nodes that keep
// origins were replaced, and against a conclusion from records of before the search where none replies.
func TestSearchWithoutRepliesNeedsRecordsAsOfItsBeginning(t *testing.T) {
	inDeploymentWithStore(t, newFakeStore(), 3, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		node := d.nodes["a"]
		for address := range d.nodes {
			d.network.SetCut(address, true)
		}
		find := func() (Finding, time.Duration) {
			began := time.Now()
			_, finding := node.origins.Find(context.Background(), "r1", "p", false)
			return finding, time.Since(began)
		}
		finding, waited := find()
		Expect(finding).To(Equal(SoleVersion), "the records are known as of now")
		Expect(waited).To(BeNumerically("<=", askTimeout))
		node.setLate(true)
		time.Sleep(testRecordsAge / 4)
		finding, waited = find()
		Expect(finding).To(Equal(Unknown), "the records are current, but as of before the search")
		Expect(waited).To(BeNumerically("<=", askTimeout+recordsTimeout))
	})
}

// Guards against a stream that is joined since it outlasted the record of its version: a server serves its
// streams to the end after it has left.
func TestStreamThatOutlastsTheRecordOfItsVersionIsNotJoined(t *testing.T) {
	inDeploymentWithStore(t, newFakeStore(), 5, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		origin := Origin{Pool: "p", SoftwareVersion: "v1"}
		d.nodes["a"].origins.Begin("r1", origin, false)
		time.Sleep(time.Second)
		d.serve("v1", "v2")
		time.Sleep(time.Second)
		d.serve("v2")
		for range 6 {
			time.Sleep(RefreshPeriod)
			d.nodes["a"].origins.Begin("r1", origin, false)
			d.nodes["a"].origins.Begin("other"+time.Now().String(), Origin{Pool: "p", SoftwareVersion: "v2"}, false)
			time.Sleep(2 * sendPeriod)
			for address, node := range d.nodes {
				found, finding := node.origins.Find(context.Background(), "r1", "p", false)
				Expect(finding).To(Equal(Known), address)
				Expect(found).To(Equal(origin), address)
			}
		}
		_, finding := d.nodes["b"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(Unknown), "a stream of the version is still relayed")
		time.Sleep(2*retention + 5*time.Second)
		found, finding := d.nodes["b"].origins.Find(context.Background(), "never", "p", false)
		Expect(finding).To(Equal(SoleVersion), "the version is forgotten after its last stream")
		Expect(found.SoftwareVersion).To(Equal("v2"))
	})
}

// Guards against a stream that is bound by a view which has not been observed since the process was suspended.
func TestViewBeforeTheFirstObservationAfterASuspensionIsNoEvidence(t *testing.T) {
	inDeployment(t, 1, []string{"v1"}, func(d *deployment) {
		time.Sleep(2 * retention)
		node := d.nodes["a"]
		_, finding := node.origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(SoleVersion))
		node.stop()
		time.Sleep(10 * time.Second)
		_, finding = node.origins.Find(context.Background(), "r1", "p", false)
		Expect(finding).To(Equal(Unknown))
	})
}

// Guards against a stream that is refused for as long as the store is away, although it began before that at a
// node that still serves: the node is no counter node, and nobody asked it.
func TestStreamBegunBeforeTheStoreWasAwayGoesOn(t *testing.T) {
	store := newFakeStore()
	inDeploymentWithStore(t, store, 5, []string{"v1"}, func(d *deployment) {
		d.counters.Store(&[]string{"a", "b", "c"})
		time.Sleep(2 * retention)
		origin := Origin{Pool: "p", SoftwareVersion: "v1"}
		d.nodes["d"].origins.Begin("r1", origin, false)
		store.setUnavailable(true)
		for _, node := range d.nodes {
			node.setLate(true)
		}
		time.Sleep(testRecordsAge + observePeriod + 2*sendPeriod)
		for range 10 {
			for _, address := range []string{"a", "e"} {
				found, finding := d.nodes[address].origins.Find(context.Background(), "r1", "p", false)
				Expect(finding).To(Equal(Known), address)
				Expect(found).To(Equal(origin), address)
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// Guards against a stream that goes on in another pool, since its route was moved there while it ran: only the
// node that began it knew where.
func TestStreamOfAMovedRouteIsKnown(t *testing.T) {
	inDeploymentWithStore(t, newFakeStore(), 5, []string{"v1"}, func(d *deployment) {
		d.counters.Store(&[]string{"b", "c", "d"})
		leadTo := func(pool string, revision int64) {
			for _, node := range d.nodes {
				route := &fleet.Route{Host: "h", Prefix: "/", Targets: []fleet.Target{{Pool: pool, Weight: 1}}}
				Expect(node.view.SetConfiguration(fleet.NewConfiguration(revision, revision, []*fleet.Route{route}, nil, fleet.Limits{}))).To(BeTrue())
			}
		}
		for _, node := range d.nodes {
			node.view.ReplaceServers(map[string]*fleet.Server{
				"s-p": {ID: "s-p", Pool: "p", SoftwareVersion: "v1"}, "s-q": {ID: "s-q", Pool: "q", SoftwareVersion: "v1"},
			})
		}
		leadTo("q", 1)
		time.Sleep(2 * retention)
		origin := Origin{Pool: "q", SoftwareVersion: "v1"}
		d.nodes["a"].origins.Begin("r1", origin, false)
		time.Sleep(time.Second)
		_, sent := d.nodes["b"].origins.table.get(keyOf("r1"))
		Expect(sent).To(BeFalse())
		leadTo("p", 2)
		time.Sleep(observePeriod + 2*sendPeriod)
		for address, node := range d.nodes {
			found, finding := node.origins.Find(context.Background(), "r1", "p", false)
			Expect(finding).To(Equal(Known), address)
			Expect(found).To(Equal(origin), address)
		}
	})
}
