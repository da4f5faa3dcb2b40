package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

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

// noise makes a server write its record now and then, as it does when it is well.
func (d *deployment) noise(seconds int) {
	for range seconds * 4 {
		d.store.put("s", false, "m")
		time.Sleep(250 * time.Millisecond)
	}
}

func TestFollowersLeaveTheStoreToTheRelay(t *testing.T) {
	withNodes(t, 4, func(d *deployment) {
		before := d.nodes[1].source.count("changes")
		relayed := d.nodes[0].source.count("changes")
		d.noise(10)
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
		Expect(d.nodes[0].mirror.FollowsRelay()).To(BeFalse())
		Expect(d.nodes[1].source.count("changes")).To(Equal(before))
		Expect(d.nodes[0].source.count("changes") - relayed).To(BeNumerically("<", 50))
	})
}

// A follower that saw a server's record lapse, while the relay sees the end and the
// new record in one answer, learns of the new one, though the relay knows one that
// says the same.
func TestRecordThatCameBackIsTold(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		relay, follower := d.nodes[0], d.nodes[1]
		record := d.store.servers["s"]
		relay.source.set(true, false)
		time.Sleep(share(trustShare, testTimes.Changes) + time.Second)
		d.store.remove("s")
		time.Sleep(share(aloneWaitShare, testTimes.Contact))
		Expect(follower.view.Load().Servers).NotTo(HaveKey("s"))
		Expect(relay.view.Load().Servers).To(HaveKey("s"))
		follower.source.set(true, false)
		// The call that it waits in ends.
		time.Sleep(testTimes.Contact)
		d.store.restore(record)
		relay.source.set(false, false)
		time.Sleep(settled)
		Expect(follower.mirror.FollowsRelay()).To(BeTrue())
		Expect(follower.view.Load().Servers).To(HaveKey("s"))
	})
}

// A read of everything is no snapshot: a record on its last page may be newer than
// its revision. A follower that knows less is told of it all the same.
func TestRecordNewerThanTheReadIsTold(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	draining := map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Draining: true}}
	m.replace(Changes{At: 10, Newest: 13, Servers: draining})
	m.apply(Changes{Base: 10, At: 15, Servers: draining})
	_, can := m.known.update(10, 15, 0)
	Expect(can).To(BeFalse(), "what changed between the first page and the last can't be told")
	_, can = m.known.update(13, 15, 0)
	Expect(can).To(BeTrue())
}

// lose makes a node forget a server, as a fault of ours might.
func (n *testNode) lose(id string) {
	n.mirror.mutex.Lock()
	defer n.mirror.mutex.Unlock()
	n.mirror.known.take(Changes{At: n.mirror.revision, Servers: map[string]*fleet.Server{id: nil}})
	n.view.UpdateServers(map[string]*fleet.Server{id: nil})
}

// Whatever makes two nodes differ, the one that lacks a record reads it again.
func TestDifferenceBetweenNodesIsMended(t *testing.T) {
	for number := range 2 {
		withNodes(t, 2, func(d *deployment) {
			d.nodes[number].lose("s")
			time.Sleep(subscribePeriod + time.Second)
			for _, node := range d.nodes {
				Expect(node.view.Load().Servers).To(HaveKey("s"))
				Expect(node.source.count("read")).To(Equal(2))
			}
		})
	}
}

// A difference that reading does not mend costs a read now and then, no more.
func TestDifferenceThatStaysCostsLittle(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		for range 20 {
			d.nodes[1].lose("s")
			time.Sleep(subscribePeriod)
		}
		Expect(d.nodes[1].source.count("read")).To(BeNumerically("<=", 3))
	})
}

// A node that can't read the store goes on with what the relay tells.
func TestDifferenceDoesNotKeepFromTheRelay(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.nodes[1].source.set(true, false)
		d.nodes[1].lose("s")
		time.Sleep(subscribePeriod + time.Second)
		d.store.put("t", false)
		time.Sleep(600 * time.Millisecond)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("t"))
		d.nodes[1].source.set(false, false)
		time.Sleep(600 * time.Millisecond)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("s"))
	})
}

func TestEqualRecordsHaveEqualDigests(t *testing.T) {
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

func TestFollowersLearnOfChangesInTime(t *testing.T) {
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
		Expect(d.nodes[1].source.count("configuration")).To(BeZero(), "the relay passes it on")
		d.store.remove("t")
		time.Sleep(600 * time.Millisecond)
		for _, node := range d.nodes {
			Expect(node.view.Load().Servers).NotTo(HaveKey("t"))
		}
	})
}

func TestRecordsThatDidNotChangeAreNotTold(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.network.mutex.Lock()
		d.network.updates = nil
		d.network.mutex.Unlock()
		d.noise(3)
		d.network.mutex.Lock()
		defer d.network.mutex.Unlock()
		Expect(d.network.updates).NotTo(BeEmpty())
		for _, update := range d.network.updates {
			Expect(update.Servers).To(BeEmpty())
		}
	})
}

// Whatever happens to the relay, a follower acts on a change within the time for
// changes, and a part of it is left for the request that depends on it.
func TestFollowersReadThemselvesWhenTheRelay(t *testing.T) {
	cases := map[string]func(d *deployment){
		"is dead":                        func(d *deployment) { d.nodes[0].stop(); d.network.setCut(addressOf(0), true) },
		"is cut off from the followers":  func(d *deployment) { d.network.setCut(addressOf(0), true) },
		"is turned away by the store":    func(d *deployment) { d.nodes[0].source.set(true, false) },
		"hears nothing of the store":     func(d *deployment) { d.nodes[0].source.set(false, true) },
		"names another node that is not": func(d *deployment) { d.setRelay(9); d.nodes[0].stop() },
		"is not agreed on":               func(d *deployment) { d.setRelay(1) },
	}
	for name, trouble := range cases {
		t.Run(name, func(t *testing.T) {
			withNodes(t, 3, func(d *deployment) {
				for range 20 {
					trouble(d)
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

func TestMissedUpdatesAreAskedForAgain(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		// Between two of the regular subscriptions.
		time.Sleep(subscribePeriod / 4)
		before := d.nodes[1].source.count("changes")
		d.network.mutex.Lock()
		d.network.lose = 1
		d.network.mutex.Unlock()
		d.store.put("t", false)
		time.Sleep(250 * time.Millisecond)
		d.store.put("u", false)
		time.Sleep(subscribePeriod / 4)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("t"))
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("u"))
		Expect(d.nodes[1].source.count("read")).To(Equal(1))
		Expect(d.nodes[1].source.count("changes")).To(Equal(before), "the relay was asked, not the store")
	})
}

// What the relay tells is as old as its own knowledge, not as its message.
func TestOldKnowledgeOfTheRelayIsNotTrusted(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	m.replace(Changes{At: 10})
	m.takeUpdate(Update{Base: 10, At: 10, Age: m.trust()}, "r:1")
	Expect(m.next(time.Now())).To(Equal(readChanges))
	m.takeUpdate(Update{Base: 10, At: 10}, "r:1")
	Expect(m.next(time.Now())).To(Equal(awaitRelay))
}

// Calls that the store refuses cost as much as others. While it is away, followers
// ask seldom, and the relay often; once it is back the relay tells them.
func TestStoreThatIsAwayIsAskedSeldom(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		for _, node := range d.nodes {
			node.source.set(true, false)
		}
		time.Sleep(testTimes.Changes)
		relay, follower := d.nodes[0].source.count("changes"), d.nodes[1].source.count("changes")
		time.Sleep(4 * time.Second)
		Expect(d.nodes[0].source.count("changes") - relay).To(BeNumerically(">", 20))
		Expect(d.nodes[1].source.count("changes") - follower).To(BeNumerically("<=", 12))
		d.store.put("t", false)
		for _, node := range d.nodes {
			node.source.set(false, false)
		}
		time.Sleep(2 * failedPause)
		Expect(d.nodes[1].view.Load().Servers).To(HaveKey("t"))
	})
}

// A node alone asks seldom as well, but in time.
func TestNodeAloneLearnsInTimeThatTheStoreIsBack(t *testing.T) {
	withNodes(t, 1, func(d *deployment) {
		for range 20 {
			d.nodes[0].source.set(true, false)
			d.store.put("t", false)
			time.Sleep(7 * time.Second)
			d.nodes[0].source.set(false, false)
			time.Sleep(share(0.25, testTimes.Changes))
			Expect(d.nodes[0].view.Load().Servers).To(HaveKey("t"))
			d.store.remove("t")
			time.Sleep(time.Second)
		}
	})
}

// Records lapse while the store is away, and come back soon after it does, if
// their servers live. Until then the servers are used, however a node learns.
func TestRecordsThatLapsedInAnOutageStayForAWhile(t *testing.T) {
	for name, after := range map[string]func(d *deployment){
		"told of changes": func(*deployment) {},
		"read again":      func(d *deployment) { d.store.forget() },
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
				grace := d.nodes[0].mirror.lapseTime()
				time.Sleep(grace / 2)
				for _, node := range d.nodes {
					Expect(node.view.Load().Servers).To(HaveKey("s"))
					Expect(node.view.Load().Servers).To(HaveKey("t"))
					Expect(node.view.Load().Servers).NotTo(HaveKey("u"), "it had said that it leaves")
				}
				d.store.restore(record)
				time.Sleep(grace + 2*time.Second)
				for _, node := range d.nodes {
					Expect(node.view.Load().Servers).To(HaveKey("s"))
					Expect(node.view.Load().Servers).NotTo(HaveKey("t"), "its record did not come back")
				}
			})
		})
	}
}

// A node that the store turns away, but that hears a relay with fresh word, takes a
// server that ends for one that is gone.
func TestServerThatEndsIsGoneAtOnceWhereTheRelayKnows(t *testing.T) {
	withNodes(t, 3, func(d *deployment) {
		d.nodes[1].source.set(true, false)
		d.nodes[1].mirror.noteAnswer(errAway)
		time.Sleep(settled)
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
		d.store.remove("s")
		time.Sleep(600 * time.Millisecond)
		Expect(d.nodes[1].view.Load().Servers).NotTo(HaveKey("s"))
	})
}

// outage keeps the store away for the time, and changes it meanwhile.
func (d *deployment) outage(lasts time.Duration, change func()) {
	for _, node := range d.nodes {
		node.source.set(true, false)
	}
	time.Sleep(lasts)
	change()
	for _, node := range d.nodes {
		node.source.set(false, false)
	}
	time.Sleep(testTimes.Contact / 8)
}

// Very many changes at once, in a fleet that is not large, are read from the store, by
// each node for itself, and the relay is followed again after that.
func TestManyChangesAreReadFromTheStore(t *testing.T) {
	const nodes = 17
	withNodes(t, nodes, func(d *deployment) {
		d.network.mutex.Lock()
		d.network.updates = nil
		d.network.mutex.Unlock()
		before := d.nodes[1].source.count("changes")
		most := d.nodes[0].mirror.mostFor(nodes - 1)
		many := 2 * most
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
			Expect(update.size()).To(BeNumerically("<=", most))
		}
		d.network.mutex.Unlock()
		time.Sleep(settled)
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
	})
}

func TestConfigurationThatIsNotUnderstoodIsReadOnce(t *testing.T) {
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

// A node is behind while it knows of a configuration that it has not read, and once it
// has heard neither the store nor the relay for as long as a change may take.
func TestNodeKnowsWhetherItIsBehind(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	Expect(m.Behind()).To(BeTrue(), "nothing was read")
	m.replace(Changes{At: 10, ConfigurationRevision: 5})
	m.confirmedAt = time.Now()
	Expect(m.Behind()).To(BeFalse())
	m.takeUpdate(Update{Base: 10, At: 12, Configuration: 11}, "r:1")
	Expect(m.Behind()).To(BeTrue(), "a configuration was not read")
	m.takeConfiguration(nil, 11)
	Expect(m.Behind()).To(BeFalse())
	m.confirmedAt, m.relayedAt = time.Now().Add(-2*testTimes.Changes), time.Now().Add(-2*testTimes.Changes)
	Expect(m.Behind()).To(BeTrue(), "nothing was heard for long")
}

func TestForgottenHistoryIsReadAgain(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		for _, node := range d.nodes {
			node.source.set(true, false)
		}
		time.Sleep(time.Second)
		d.store.remove("s")
		d.store.put("t", false)
		d.store.forget()
		for _, node := range d.nodes {
			node.source.set(false, false)
		}
		time.Sleep(2 * time.Second)
		for _, node := range d.nodes {
			Expect(node.view.Load().Servers).NotTo(HaveKey("s"))
			Expect(node.view.Load().Servers).To(HaveKey("t"))
		}
	})
}

// An answer of the store that is read late must not undo what the relay told since.
func TestLateAnswerDoesNotUndoWhatIsKnown(t *testing.T) {
	RegisterTestingT(t)
	node := &testNode{view: fleet.NewView(), own: &fakeOwn{values: map[string]string{}}}
	m := New(Config{View: node.view, Own: node.own, Times: testTimes})
	server := func(draining bool) map[string]*fleet.Server {
		return map[string]*fleet.Server{"s": {ID: "s", Pool: "p", Draining: draining}}
	}
	m.replace(Changes{At: 10, Servers: server(false)})
	m.takeUpdate(Update{Base: 10, At: 12, Servers: []ServerRecord{{ID: "s", Pool: "p", Draining: true}}}, "r:1")
	m.apply(Changes{Base: 10, At: 11, Servers: server(false)})
	Expect(node.view.Load().Servers["s"].Draining).To(BeTrue())
	m.apply(Changes{Base: 10, At: 13, Servers: server(false)})
	Expect(node.view.Load().Servers["s"].Draining).To(BeFalse())
}

// A node that learned of a configuration from one relay tells of it when it is the
// relay itself; else a node that is further behind would never read it.
func TestNextRelayTellsTheNewestConfiguration(t *testing.T) {
	RegisterTestingT(t)
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
	m.replace(Changes{At: 10, ConfigurationRevision: 5})
	m.takeUpdate(Update{Base: 10, At: 12, Configuration: 11}, "r:1")
	Expect(m.next(time.Now())).To(Equal(awaitRelay), "the relay may pass it on")
	Expect(m.next(time.Now().Add(share(contentPatienceShare, testTimes.Changes)))).To(Equal(readConfiguration))
	told, can := m.known.update(10, 12, 0)
	Expect(can).To(BeTrue())
	Expect(told.Configuration).To(BeEquivalentTo(11))
}

// Changes that overlap what is known repeat no event of the product's own keys: one
// that was removed since would seem to be there again.
func TestOwnKeysAreToldOnce(t *testing.T) {
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

func TestWhatEndedIsBounded(t *testing.T) {
	RegisterTestingT(t)
	k := newKnown(0)
	for revision := range int64(3 * mostEnded) {
		k.take(Changes{At: revision + 1, Servers: map[string]*fleet.Server{fmt.Sprint(revision): nil}})
	}
	Expect(len(k.ended)).To(BeNumerically("<=", mostEnded))
	_, can := k.update(1, 3*mostEnded, 0)
	Expect(can).To(BeFalse(), "what was forgotten can't be told")
	recent, can := k.update(3*mostEnded-5, 3*mostEnded, 0)
	Expect(can).To(BeTrue())
	Expect(recent.Ended).To(HaveLen(5))
}

// Any trouble, with relays that change: no node goes back, and once it is over
// all know what the store holds.
func TestAnyTroubleLeavesAllNodesEqual(t *testing.T) {
	for seed := range uint64(200) {
		withNodes(t, 4, func(d *deployment) {
			d.endureTrouble(seed, 1, 60)
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

// endureTrouble checks that no node goes back while there is trouble, and ends it.
func (d *deployment) endureTrouble(seed, stream uint64, steps int) {
	random := rand.New(rand.NewPCG(seed, stream))
	highest := make([]int64, len(d.nodes))
	for range steps {
		d.randomTrouble(random)
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		for number, node := range d.nodes {
			Expect(node.revision()).To(BeNumerically(">=", highest[number]), "seed %d", seed)
			highest[number] = node.revision()
		}
	}
	for number, node := range d.nodes {
		node.source.set(false, false)
		d.network.setCut(addressOf(number), false)
	}
}

func (d *deployment) randomTrouble(random *rand.Rand) {
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
		d.network.setCut(addressOf(number), random.IntN(2) == 0)
	case 6:
		d.nodes[number].source.set(random.IntN(2) == 0, random.IntN(3) == 0)
	case 7:
		d.store.forget()
	case 8:
		d.network.mutex.Lock()
		d.network.lose = random.IntN(4)
		d.network.mutex.Unlock()
	case 9:
		if record := d.store.servers[id]; record != nil {
			d.store.remove(id)
			time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
			d.store.restore(record)
		}
	}
}
