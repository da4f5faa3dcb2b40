package mirror

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// settled is long enough for all nodes to follow the relay.
const settled = 4 * time.Second

func withNodes(t *testing.T, nodes int, body func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		d := newDeployment(nodes)
		defer d.close()
		time.Sleep(settled)
		body(d)
	})
}

// rewriteRecord makes a server write its record periodically, as a healthy one does.
func (d *deployment) rewriteRecord(seconds int) {
	for range seconds * 4 {
		d.store.put("s", false, "m")
		time.Sleep(250 * time.Millisecond)
	}
}

func TestFollowersDoNotReadTheStore(t *testing.T) {
	withNodes(t, 4, func(d *deployment) {
		before := d.nodes[1].source.count("changes")
		relayed := d.nodes[0].source.count("changes")
		d.rewriteRecord(10)
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
		Expect(d.nodes[0].mirror.FollowsRelay()).To(BeFalse())
		Expect(d.nodes[1].source.count("changes")).To(Equal(before))
		Expect(d.nodes[0].source.count("changes") - relayed).To(BeNumerically("<", 50))
	})
}

// A server's record expires and is written again. A follower saw the removal, but the relay sees
// the removal and the new record in one answer and has an equal record from before. It must push
// the new one all the same.
func TestRecreatedRecordIsPushed(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		relay, follower := d.nodes[0], d.nodes[1]
		record := d.store.servers["s"]
		relay.source.setFault(true, false)
		time.Sleep(share(maxRelayAgeShare, testTimes.Changes) + time.Second)
		d.store.remove("s")
		time.Sleep(share(directWaitShare, testTimes.Contact))
		Expect(follower.view.Load().Servers).NotTo(HaveKey("s"))
		Expect(relay.view.Load().Servers).To(HaveKey("s"))
		follower.source.setFault(true, false)
		// The call in progress returns first.
		time.Sleep(testTimes.Contact)
		d.store.recreate(record)
		relay.source.setFault(false, false)
		time.Sleep(settled)
		Expect(follower.mirror.FollowsRelay()).To(BeTrue())
		Expect(follower.view.Load().Servers).To(HaveKey("s"))
	})
}

// A read of the whole state is not consistent at one revision: a record on its last page may be
// newer than the revision of the read. It must reach a follower whose state is older.
func TestRecordNewerThanTheReadIsReported(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	draining := map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Draining: true}}
	m.replace(Changes{At: 10, Newest: 13, Servers: draining})
	m.apply(Changes{Base: 10, At: 15, Servers: draining})
	_, ok := m.state.updateSince(10, 15, 0)
	Expect(ok).To(BeFalse(), "changes between the first page and the last can't be reported")
	_, ok = m.state.updateSince(13, 15, 0)
	Expect(ok).To(BeTrue())
}

// loseServer makes a node lose a server's record, as a defect might.
func (n *testNode) loseServer(id string) {
	n.mirror.mutex.Lock()
	defer n.mirror.mutex.Unlock()
	n.mirror.state.apply(Changes{At: n.mirror.revision, Servers: map[string]*fleet.Server{id: nil}})
	n.view.UpdateServers(map[string]*fleet.Server{id: nil})
}

// Whatever makes two nodes differ, the one that lacks a record reads it again.
func TestDriftBetweenNodesIsRepaired(t *testing.T) {
	for number := range 2 {
		withNodes(t, 2, func(d *deployment) {
			d.nodes[number].loseServer("s")
			time.Sleep(subscribePeriod + time.Second)
			for _, node := range d.nodes {
				Expect(node.view.Load().Servers).To(HaveKey("s"))
				Expect(node.source.count("read")).To(Equal(2))
			}
		})
	}
}

// A difference that reading does not remove must cause few reads.
func TestPersistentDriftCausesFewReads(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		for range 20 {
			d.nodes[1].loseServer("s")
			time.Sleep(subscribePeriod)
		}
		Expect(d.nodes[1].source.count("read")).To(BeNumerically("<=", 3))
	})
}

// A node that differs from the relay but can't read the store keeps applying the relay's updates.
func TestDriftedNodeStillFollowsTheRelay(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.nodes[1].source.setFault(true, false)
		d.nodes[1].loseServer("s")
		time.Sleep(subscribePeriod + time.Second)
		d.store.put("t", false)
		time.Sleep(600 * time.Millisecond)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("t"))
		d.nodes[1].source.setFault(false, false)
		time.Sleep(600 * time.Millisecond)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("s"))
	})
}

func TestDigestDependsOnRecordContent(t *testing.T) {
	RegisterTestingT(t)
	record := ServerRecord{ID: "s", Pool: "p", Slots: 1, Created: 7, Models: []ModelRecord{{Name: "m", Adapters: []string{"a", "b"}}}}
	others := []ServerRecord{
		{ID: "s", Pool: "p", Slots: 1, Created: 8, Models: record.Models},
		{ID: "s", Pool: "p", Slots: 1, Created: 7, Draining: true, Models: record.Models},
		{ID: "s", Pool: "p", Slots: 1, Created: 7},
		{ID: "s", Pool: "p", Slots: 1, Created: 7, Models: []ModelRecord{{Name: "m", Adapters: []string{"ab"}}}},
		{ID: "sp", Slots: 1, Created: 7, Models: record.Models},
	}
	for _, other := range others {
		Expect(other.hash()).NotTo(Equal(record.hash()), "%v", other)
	}
	var digest Digest
	digest.add(record)
	digest.add(others[0])
	digest.remove(record)
	Expect(digest).To(BeEquivalentTo(others[0].hash()))
}

func TestFollowersReceiveChangesInTime(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		d.store.configure(true)
		d.store.put("s", true, "m", "n")
		d.store.put("t", false)
		d.store.putOwn("k", "v")
		time.Sleep(600 * time.Millisecond)
		for _, node := range d.nodes {
			Expect(node.revision()).To(Equal(d.store.configuredAt))
			Expect(node.view.Load().Servers["s"].Draining).To(BeTrue())
			Expect(node.view.Load().Servers["s"].Holds("n", "")).To(BeTrue())
			Expect(node.view.Load().Servers).To(HaveKey("t"))
			Expect(node.own.get("k")).To(Equal("v"))
		}
		Expect(d.nodes[1].source.count("configuration")).To(BeZero(), "the relay pushes it")
		d.store.remove("t")
		time.Sleep(600 * time.Millisecond)
		for _, node := range d.nodes {
			Expect(node.view.Load().Servers).NotTo(HaveKey("t"))
		}
	})
}

func TestUnchangedRecordsAreNotPushed(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.network.mutex.Lock()
		d.network.updates = nil
		d.network.mutex.Unlock()
		d.rewriteRecord(3)
		d.network.mutex.Lock()
		defer d.network.mutex.Unlock()
		Expect(d.network.updates).NotTo(BeEmpty())
		for _, update := range d.network.updates {
			Expect(update.Servers).To(BeEmpty())
		}
	})
}

// Whatever fault the relay has, a follower acts on a change within Times.Changes, with some of it
// left for the request that depends on the change.
func TestFollowersReadTheStoreWhenTheRelay(t *testing.T) {
	cases := map[string]func(d *deployment){
		"has crashed":                       func(d *deployment) { d.nodes[0].stop(); d.network.setPartitioned(addressOf(0), true) },
		"is partitioned from the followers": func(d *deployment) { d.network.setPartitioned(addressOf(0), true) },
		"is refused by the store":           func(d *deployment) { d.nodes[0].source.setFault(true, false) },
		"gets no answer from the store":     func(d *deployment) { d.nodes[0].source.setFault(false, true) },
		"names a node that does not exist":  func(d *deployment) { d.setRelay(9); d.nodes[0].stop() },
		"is not the same for all nodes":     func(d *deployment) { d.setRelay(1) },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			withNodes(t, 3, func(d *deployment) {
				for range 20 {
					inject(d)
					d.store.configure(true)
					d.store.put("s", true)
					time.Sleep(share(0.75, testTimes.Changes))
					Expect(d.nodes[2].revision()).To(Equal(d.store.configuredAt))
					Expect(d.nodes[2].view.Load().Servers["s"].Draining).To(BeTrue())
					d.store.put("s", false)
					time.Sleep(137 * time.Millisecond)
				}
			})
		})
	}
}

func TestMissedUpdatesAreRequestedAgain(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		// Halfway between two periodic subscriptions, so that none hides the miss.
		time.Sleep(subscribePeriod / 4)
		before := d.nodes[1].source.count("changes")
		d.network.mutex.Lock()
		d.network.dropUpdates = 1
		d.network.mutex.Unlock()
		d.store.put("t", false)
		time.Sleep(250 * time.Millisecond)
		d.store.put("u", false)
		time.Sleep(subscribePeriod / 4)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("t"))
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("u"))
		Expect(d.nodes[1].source.count("read")).To(Equal(1))
		Expect(d.nodes[1].source.count("changes")).To(Equal(before), "the relay was called, not the store")
	})
}

// An update carries the age of the relay's state, not of the message.
func TestRelayWithStaleStateIsNotFollowed(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	m.replace(Changes{At: 10})
	m.handleUpdate(Update{Base: 10, At: 10, Age: m.maxRelayAge()}, "r:1")
	Expect(m.next(time.Now())).To(Equal(readChanges))
	m.handleUpdate(Update{Base: 10, At: 10}, "r:1")
	Expect(m.next(time.Now())).To(Equal(awaitRelay))
}

// Calls that the store refuses cost as much as others. While it is unavailable, followers call it
// rarely and the relay often; once it answers again the relay pushes the changes.
func TestUnavailableStoreIsCalledRarely(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		for _, node := range d.nodes {
			node.source.setFault(true, false)
		}
		time.Sleep(testTimes.Changes)
		relay, follower := d.nodes[0].source.count("changes"), d.nodes[1].source.count("changes")
		time.Sleep(4 * time.Second)
		Expect(d.nodes[0].source.count("changes") - relay).To(BeNumerically(">", 20))
		Expect(d.nodes[1].source.count("changes") - follower).To(BeNumerically("<=", 12))
		d.store.put("t", false)
		for _, node := range d.nodes {
			node.source.setFault(false, false)
		}
		time.Sleep(2 * minFailurePause)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("t"))
	})
}

// A single node also calls the store rarely in an outage, but notices its end in time.
func TestSingleNodeNoticesStoreRecoveryInTime(t *testing.T) {
	withNodes(t, 1, func(d *deployment) {
		for range 20 {
			d.nodes[0].source.setFault(true, false)
			d.store.put("t", false)
			time.Sleep(7 * time.Second)
			d.nodes[0].source.setFault(false, false)
			time.Sleep(share(0.25, testTimes.Changes))
			Expect(d.nodes[0].view.Load().Servers).To(HaveKey("t"))
			d.store.remove("t")
			time.Sleep(time.Second)
		}
	})
}

// Records expire while the store is unavailable, and running servers write them again soon after it
// returns. Until then the servers stay in use, whichever way a node reads the removals.
func TestServersStayInUseAfterTheirRecordsExpiredInAnOutage(t *testing.T) {
	for name, after := range map[string]func(d *deployment){
		"reads changes":         func(*deployment) {},
		"reads the whole state": func(d *deployment) { d.store.compact() },
	} {
		t.Run(name, func(t *testing.T) {
			withNodes(t, 3, func(d *deployment) {
				d.store.put("t", false)
				d.store.put("u", true)
				time.Sleep(time.Second)
				record := d.store.servers["s"]
				d.outage(4*time.Second, func() {
					for _, id := range []string{"s", "t", "u"} {
						d.store.remove(id)
					}
					after(d)
				})
				grace := d.nodes[0].mirror.gracePeriod()
				time.Sleep(grace / 2)
				for _, node := range d.nodes {
					Expect(node.view.Load().Servers).To(HaveKey("s"))
					Expect(node.view.Load().Servers).To(HaveKey("t"))
					Expect(node.view.Load().Servers).NotTo(HaveKey("u"), "it was draining")
				}
				d.store.recreate(record)
				time.Sleep(grace + 2*time.Second)
				for _, node := range d.nodes {
					Expect(node.view.Load().Servers).To(HaveKey("s"))
					Expect(node.view.Load().Servers).NotTo(HaveKey("t"), "its record was not written again")
				}
			})
		})
	}
}

// A node that can't reach the store but follows a relay with fresh state must remove a server at
// once, without a grace period.
func TestFollowerRemovesServerWithoutGracePeriod(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		d.nodes[1].source.setFault(true, false)
		d.nodes[1].mirror.noteStoreResult(errUnavailable)
		time.Sleep(settled)
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
		d.store.remove("s")
		time.Sleep(600 * time.Millisecond)
		Expect(d.nodes[1].view.Load().Servers).NotTo(HaveKey("s"))
	})
}

// outage makes the store unavailable for a time, and changes it at the end of that.
func (d *deployment) outage(lasts time.Duration, change func()) {
	for _, node := range d.nodes {
		node.source.setFault(true, false)
	}
	time.Sleep(lasts)
	change()
	for _, node := range d.nodes {
		node.source.setFault(false, false)
	}
	time.Sleep(testTimes.Contact / 8)
}

// Very many changes at once, in a fleet that is not large, are read from the store by each node,
// which follows the relay again afterwards.
func TestManyChangesAreReadFromTheStore(t *testing.T) {
	const nodes = 17
	withNodes(t, nodes, func(d *deployment) {
		d.network.mutex.Lock()
		d.network.updates = nil
		d.network.mutex.Unlock()
		before := d.nodes[1].source.count("changes")
		limit := d.nodes[0].mirror.recordLimit(nodes-1, packedRecordBytes)
		many := 2 * limit
		for number := range many {
			d.store.put(fmt.Sprint("t", number), false)
		}
		time.Sleep(share(0.75, testTimes.Changes))
		for _, node := range d.nodes {
			Expect(node.view.Load().Servers).To(HaveLen(1 + many))
		}
		Expect(d.nodes[1].source.count("changes")).To(BeNumerically(">", before))
		d.network.mutex.Lock()
		for _, update := range d.network.updates {
			unpacked, err := update.unpacked()
			Expect(err).NotTo(HaveOccurred())
			Expect(unpacked.size()).To(BeNumerically("<=", limit))
		}
		d.network.mutex.Unlock()
		time.Sleep(settled)
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
	})
}

func TestUndecodableConfigurationIsReadOnce(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		before := d.nodes[1].revision()
		d.store.configure(false)
		time.Sleep(5 * time.Second)
		Expect(d.nodes[1].revision()).To(Equal(before))
		Expect(d.nodes[1].source.count("configuration")).To(BeZero())
		Expect(d.nodes[1].source.count("decode")).To(Equal(1))
		d.store.configure(true)
		time.Sleep(time.Second)
		Expect(d.nodes[1].revision()).To(Equal(d.store.configuredAt))
	})
}

// A node is behind while a configuration was announced that it has not read, and once neither the
// store nor the relay confirmed its state for Times.Changes.
func TestBehind(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	Expect(m.Behind()).To(BeTrue(), "nothing was read")
	m.replace(Changes{At: 10, ConfigurationRevision: 5})
	m.confirmedAt = time.Now()
	Expect(m.Behind()).To(BeFalse())
	m.handleUpdate(Update{Base: 10, At: 12, Configuration: 11}, "r:1")
	Expect(m.Behind()).To(BeTrue(), "a configuration was not read")
	m.setConfiguration(nil, 11)
	Expect(m.Behind()).To(BeFalse())
	m.confirmedAt, m.relayConfirmedAt = time.Now().Add(-2*testTimes.Changes), time.Now().Add(-2*testTimes.Changes)
	Expect(m.Behind()).To(BeTrue(), "the state was not confirmed for long")
}

func TestStateIsReadAgainAfterCompaction(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		for _, node := range d.nodes {
			node.source.setFault(true, false)
		}
		time.Sleep(time.Second)
		d.store.remove("s")
		d.store.put("t", false)
		d.store.compact()
		for _, node := range d.nodes {
			node.source.setFault(false, false)
		}
		time.Sleep(2 * time.Second)
		for _, node := range d.nodes {
			Expect(node.view.Load().Servers).NotTo(HaveKey("s"))
			Expect(node.view.Load().Servers).To(HaveKey("t"))
		}
	})
}

// An answer of the store that is read late must not revert newer updates from the relay.
func TestLateAnswerDoesNotRevertNewerUpdates(t *testing.T) {
	RegisterTestingT(t)
	node := &testNode{view: fleet.NewView(), own: &fakeOwn{values: map[string]string{}}}
	m := New(Config{View: node.view, Own: node.own, Times: testTimes})
	server := func(draining bool) map[string]*fleet.Server {
		return map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Draining: draining}}
	}
	m.replace(Changes{At: 10, Servers: server(false)})
	m.handleUpdate(Update{Base: 10, At: 12, Servers: []ServerRecord{{ID: "s", Pool: "p", Draining: true}}}, "r:1")
	m.apply(Changes{Base: 10, At: 11, Servers: server(false)})
	Expect(node.view.Load().Servers["s"].Draining).To(BeTrue())
	m.apply(Changes{Base: 10, At: 13, Servers: server(false)})
	Expect(node.view.Load().Servers["s"].Draining).To(BeFalse())
}

// A node to which a relay announced a configuration announces it to others when it becomes the
// relay itself; otherwise a node whose state is older would never read it.
func TestNextRelayAnnouncesTheNewestConfiguration(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	m.replace(Changes{At: 10, ConfigurationRevision: 5})
	m.handleUpdate(Update{Base: 10, At: 12, Configuration: 11}, "r:1")
	Expect(m.next(time.Now())).To(Equal(awaitRelay), "the relay may push it")
	Expect(m.next(time.Now().Add(share(contentWaitShare, testTimes.Changes)))).To(Equal(readConfiguration))
	update, ok := m.state.updateSince(10, 12, 0)
	Expect(ok).To(BeTrue())
	Expect(update.Configuration).To(BeEquivalentTo(11))
}

// Changes that overlap the known state must not repeat events of own keys: a key that was deleted
// since would seem to exist again.
func TestOwnKeyChangesArePassedOnOnce(t *testing.T) {
	RegisterTestingT(t)
	own := &fakeOwn{values: map[string]string{}}
	m := New(Config{View: fleet.NewView(), Own: own, Times: testTimes})
	event := func(value string, revision int64) outside.WatchEvent {
		return outside.WatchEvent{KeyValue: outside.KeyValue{Key: "k", Value: []byte(value), ModRevision: revision}}
	}
	m.replace(Changes{At: 10})
	m.apply(Changes{Base: 10, At: 12, Own: []outside.WatchEvent{event("old", 11), event("new", 12)}})
	m.apply(Changes{Base: 10, At: 13, Own: []outside.WatchEvent{event("old", 11)}})
	Expect(own.get("k")).To(Equal("new"))
}

func TestRemovedServersAreBounded(t *testing.T) {
	RegisterTestingT(t)
	s := newState(0)
	for revision := range int64(3 * maxRemoved) {
		s.apply(Changes{At: revision + 1, Servers: map[string]*fleet.Server{fmt.Sprint(revision): nil}})
	}
	Expect(len(s.removed)).To(BeNumerically("<=", maxRemoved))
	_, ok := s.updateSince(1, 3*maxRemoved, 0)
	Expect(ok).To(BeFalse(), "removals that were dropped can't be reported")
	recent, ok := s.updateSince(3*maxRemoved-5, 3*maxRemoved, 0)
	Expect(ok).To(BeTrue())
	Expect(recent.Ended).To(HaveLen(5))
}

// Random faults, with changing relays: no node's configuration goes back to an older revision, and
// after the faults all nodes have the state of the store.
func TestNodesConvergeAfterRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		withNodes(t, 4, func(d *deployment) {
			d.injectFaults(seed, 1, 60)
			time.Sleep(testTimes.Contact + testTimes.Changes)
			for number, node := range d.nodes {
				Expect(node.revision()).To(Equal(d.store.configuredAt), "seed %d, node %d", seed, number)
				Expect(node.view.Load().Servers).To(HaveLen(len(d.store.servers)), "seed %d, node %d", seed, number)
				for id, server := range d.store.servers {
					Expect(node.view.Load().Servers[id].Draining).To(Equal(server.Draining), "seed %d, node %d", seed, number)
					Expect(node.view.Load().Servers[id].Models).To(HaveLen(len(server.Models)), "seed %d, node %d", seed, number)
				}
			}
		})
	}
}

// injectFaults injects random faults, checks that no node's configuration goes back to an older
// revision, and heals all faults in the end.
func (d *deployment) injectFaults(seed, stream uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, stream))
	highest := make([]int64, len(d.nodes))
	for range steps {
		d.injectRandomFault(random)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		for number, node := range d.nodes {
			Expect(node.revision()).To(BeNumerically(">=", highest[number]), "seed %d", seed)
			highest[number] = node.revision()
		}
	}
	for number, node := range d.nodes {
		node.source.setFault(false, false)
		d.network.setPartitioned(addressOf(number), false)
	}
}

func (d *deployment) injectRandomFault(random *rand.Rand) {
	number := random.IntN(len(d.nodes))
	id := string(rune('s' + random.IntN(5)))
	switch random.IntN(10) {
	case 0:
		d.store.configure(true)
	case 1, 2:
		d.store.put(id, random.IntN(2) == 0, []string{"m", "n"}[:random.IntN(3)]...)
	case 3:
		d.store.remove(id)
	case 4:
		d.setRelay(number)
	case 5:
		d.network.setPartitioned(addressOf(number), random.IntN(2) == 0)
	case 6:
		d.nodes[number].source.setFault(random.IntN(2) == 0, random.IntN(3) == 0)
	case 7:
		d.store.compact()
	case 8:
		d.network.mutex.Lock()
		d.network.dropUpdates = random.IntN(4)
		d.network.mutex.Unlock()
	case 9:
		if record := d.store.servers[id]; record != nil {
			d.store.remove(id)
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			d.store.recreate(record)
		}
	}
}

// Guards against a line for each of 10,000 servers at each of 985 nodes when all of them start.
func TestServersThatChangeTogetherAreLoggedTogether(t *testing.T) {
	RegisterTestingT(t)
	var log bytes.Buffer
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes, Logger: zerolog.New(&log)})
	change := func(count int, draining bool) []string {
		log.Reset()
		servers := map[string]*fleet.Server{}
		for number := range count {
			id := fmt.Sprint("w", number)
			servers[id] = &fleet.Server{ID: id, Draining: draining}
		}
		m.apply(Changes{Base: m.revision, At: m.revision + 1, Servers: servers})
		return strings.Split(strings.TrimSpace(log.String()), "\n")
	}
	Expect(change(10*maxServerLines, false)).To(ConsistOf(And(ContainSubstring(`"ready":1280,"draining":0,"gone":0`), ContainSubstring("server states"))))
	Expect(change(maxServerLines, true)).To(HaveLen(maxServerLines))
	Expect(change(maxServerLines, true)).To(ConsistOf(BeEmpty()), "routing does not depend on heartbeats")
	Expect(change(2*maxServerLines+1, true)).To(ConsistOf(ContainSubstring(`"ready":0,"draining":129,"gone":0`)))
}
