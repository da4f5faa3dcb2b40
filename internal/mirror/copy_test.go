package mirror

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// withLargeFleet has more servers than one call to the store brings. The relay is
// everybody's from the start.
func withLargeFleet(t *testing.T, nodes int, body func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		d := newDeployment(0)
		for number := range onePage + 100 {
			d.store.put(fmt.Sprint("w", number), false, "m", fmt.Sprint("n", number%7))
		}
		for number := range nodes {
			d.nodes = append(d.nodes, d.addNode(addressOf(number)))
		}
		defer d.close()
		body(d)
	})
}

func (d *deployment) expectEqual(explain ...any) {
	for _, node := range d.nodes {
		Expect(node.revision()).To(Equal(d.store.configuredAt), explain...)
		servers := node.view.Load().Servers
		Expect(servers).To(HaveLen(len(d.store.servers)), explain...)
		for id, server := range d.store.servers {
			Expect(servers[id].Draining).To(Equal(server.Draining), explain...)
			Expect(servers[id].Created).To(Equal(server.Created), explain...)
			Expect(servers[id].Models).To(HaveLen(len(server.Models)), explain...)
		}
	}
}

// A start of all nodes at once: each reads the small things, the relay alone reads all
// records, and the others get them by one call each.
func TestRecordsOfALargeFleetAreReadByTheRelayAlone(t *testing.T) {
	withLargeFleet(t, 5, func(d *deployment) {
		time.Sleep(settled)
		d.expectEqual()
		for number, node := range d.nodes[1:] {
			Expect(node.source.count("read")).To(Equal(1), "node %d asks whether the fleet is large", number+1)
			Expect(node.source.count("stale copy")).To(Equal(1), "node %d", number+1)
			Expect(node.source.count("copy")).To(BeZero(), "node %d", number+1)
		}
		// A node that starts later finds the copy.
		d.store.put("late", false, "m")
		d.store.remove("w3")
		late := d.addNode(addressOf(5))
		d.nodes = append(d.nodes, late)
		time.Sleep(time.Second)
		d.expectEqual()
		Expect(late.source.count("read")).To(BeZero())
	})
}

// The configuration is in force although nobody leaves a copy of the records.
func TestConfigurationDoesNotWaitForRecords(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		d.nodes[0].source.set(true, false)
		time.Sleep(100 * time.Millisecond)
		d.store.putOwn("own/holder", "a")
		d.store.configure(true)
		time.Sleep(share(0.5, testTimes.Changes))
		for _, node := range d.nodes[1:] {
			Expect(node.revision()).To(Equal(d.store.configuredAt))
			Expect(node.own.get("own/holder")).To(Equal("a"))
		}
		// The records come without a relay as well.
		time.Sleep(share(copyPatienceShare, testTimes.Changes) + 4*pagePatience)
		for _, node := range d.nodes[1:] {
			Expect(node.view.Load().Servers).To(HaveLen(len(d.store.servers)))
		}
	})
}

// Nodes whose history is forgotten go on with what they knew until they know better.
func TestForgottenHistoryOfALargeFleet(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		time.Sleep(settled)
		for _, node := range d.nodes {
			node.source.set(true, false)
		}
		time.Sleep(testTimes.Changes)
		d.store.remove("w1")
		d.store.put("new", false, "m")
		d.store.configure(true)
		d.store.forget()
		for _, node := range d.nodes {
			Expect(len(node.view.Load().Servers)).To(BeNumerically(">", onePage))
			node.source.set(false, false)
		}
		time.Sleep(testTimes.Changes)
		for _, node := range d.nodes {
			Expect(node.revision()).To(Equal(d.store.configuredAt))
		}
		time.Sleep(testTimes.Contact)
		d.expectEqual()
	})
}

// A start at which thousands of servers come while the nodes are there already: only the
// relay hears of each of them, the others take copies and call the store for nothing else.
func TestManyServersThatComeAreTakenFromCopies(t *testing.T) {
	withNodes(t, 5, func(d *deployment) {
		d.nodes[0].mirror.config.LinkBytesPerSecond = 1
		before := make([]int, len(d.nodes))
		for number, node := range d.nodes {
			before[number] = node.source.count("changes")
		}
		const servers = 8 * mostTold
		for number := range servers {
			d.store.put(fmt.Sprint("w", number), false, "m", fmt.Sprint("n", number%7))
			if number%1000 == 0 {
				time.Sleep(300 * time.Millisecond)
			}
		}
		d.store.configure(true)
		time.Sleep(share(0.5, testTimes.Changes))
		for _, node := range d.nodes {
			Expect(node.revision()).To(Equal(d.store.configuredAt))
		}
		time.Sleep(testTimes.Changes)
		d.expectEqual()
		for number, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeTrue())
			Expect(node.source.count("read")).To(Equal(1), "node %d", number+1)
			// The first hundreds come before the fleet is known to be large.
			Expect(node.source.count("changes")-before[number+1]).To(BeNumerically("<=", 4), "node %d", number+1)
		}
	})
}

// A storm of configurations to many nodes over a slow link: the link is not given more
// than it bears, no node reads the store for a version that comes by the relay, and all
// have the last one in time.
func TestConfigurationsAreNotToldFasterThanTheLinkBears(t *testing.T) {
	RegisterTestingT(t)
	const subscribers, size = 1000, 60_000
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes, LinkBytesPerSecond: 25e6})
	began := time.Now()
	told := 0
	for step := range 40 {
		now := began.Add(time.Duration(step) * 100 * time.Millisecond)
		m.known.configuration = int64(step + 1)
		m.content.set(make([]byte, size), int64(step+1))
		if m.contentToTell(subscribers, now) != nil {
			told++
		}
	}
	Expect(told).To(BeNumerically(">=", 4), "each takes 0.8 s of half of the link")
	Expect(told).To(BeNumerically("<=", 6))
	Expect(m.contentToTell(subscribers, began.Add(time.Minute))).NotTo(BeNil(), "the last one is told")
	Expect(m.contentToTell(subscribers, began.Add(2*time.Minute))).To(BeNil(), "once")
}

// What a relay announces and does not pass on is read from the store.
func TestAnnouncedConfigurationThatDoesNotComeIsRead(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.nodes[0].mirror.mutex.Lock()
		d.nodes[0].mirror.content.freeAt = time.Now().Add(time.Minute)
		d.nodes[0].mirror.mutex.Unlock()
		d.store.configure(true)
		time.Sleep(share(relayShare+contentPatienceShare, testTimes.Changes) + 50*time.Millisecond)
		Expect(d.nodes[1].revision()).To(Equal(d.store.configuredAt))
		Expect(d.nodes[1].source.count("configuration")).To(Equal(1))
	})
}

func TestBrokenContentIsReadFromTheStore(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		node := d.nodes[1].mirror
		d.nodes[0].stop()
		d.store.configure(true)
		node.takeUpdate(Update{Base: node.revision, At: node.revision, Configuration: d.store.configuredAt, Content: []byte{1, 2}}, "r:1")
		time.Sleep(100 * time.Millisecond)
		Expect(d.nodes[1].revision()).To(Equal(d.store.configuredAt))
	})
}

// A start at which nodes and servers come together: the nodes know who the relay is before
// it has told them anything, and still leave the store's link to it.
func TestNodesWaitForTheWordOfANewRelay(t *testing.T) {
	withNodes(t, 0, func(d *deployment) {
		for number := range 4 {
			d.nodes = append(d.nodes, d.addNode(addressOf(number)))
		}
		time.Sleep(100 * time.Millisecond)
		for number := range onePage {
			d.store.put(fmt.Sprint("w", number), false, "m")
			time.Sleep(time.Millisecond)
		}
		for number, node := range d.nodes[1:] {
			Expect(node.source.count("changes")).To(BeZero(), "node %d", number+1)
			Expect(node.mirror.FollowsRelay()).To(BeTrue(), "node %d", number+1)
		}
		time.Sleep(settled)
		d.expectEqual()
	})
}

// The store's watches hear nothing for a second in which a server leaves and the
// configuration changes; then the history is dropped, and copies that may be stale are
// from before. A read of all records takes long. The configuration does not wait for it,
// the records come from one new copy, and no node reads again and again.
func TestHistoryThatIsDroppedInAGap(t *testing.T) {
	withLargeFleet(t, 6, func(d *deployment) {
		// There is a copy from before the gap that no node has taken.
		time.Sleep(settled + copyRefresh)
		before := make([]map[string]int, len(d.nodes))
		for number, node := range d.nodes {
			node.source.mutex.Lock()
			before[number] = maps.Clone(node.source.calls)
			node.source.wholeTime = share(0.3, testTimes.Changes)
			node.source.mutex.Unlock()
			node.source.setMute(true)
		}
		d.store.put("w5", true, "m")
		d.store.configure(true)
		time.Sleep(time.Second)
		d.store.mutex.Lock()
		d.store.behind = true
		d.store.mutex.Unlock()
		d.store.forget()
		for _, node := range d.nodes {
			node.source.setMute(false)
		}
		time.Sleep(share(0.2, testTimes.Changes))
		for number, node := range d.nodes {
			Expect(node.revision()).To(Equal(d.store.configuredAt), "node %d", number)
		}
		time.Sleep(share(0.8, testTimes.Changes))
		d.expectEqual()
		time.Sleep(settled)
		for number, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeTrue(), "node %d", number+1)
			for call, most := range map[string]int{"read": 0, "own": 1, "copy": 1, "stale copy": 1, "configuration": 1, "changes": 4} {
				Expect(node.source.count(call)-before[number+1][call]).To(BeNumerically("<=", most), "node %d, %s", number+1, call)
			}
		}
	})
}

// A relay that refuses the first subscriptions is asked again before the store is.
func TestNewRelayThatRefusesIsAskedAgain(t *testing.T) {
	withNodes(t, 0, func(d *deployment) {
		d.nodes = append(d.nodes, d.addNode(addressOf(0)), d.addNode(addressOf(1)))
		d.network.setCut(addressOf(1), true)
		time.Sleep(relayPeriod + 50*time.Millisecond)
		d.network.setCut(addressOf(1), false)
		// A call to the store that has begun ends first.
		time.Sleep(share(electionShare, testTimes.Changes) + share(aloneWaitShare, testTimes.Contact))
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
		Expect(d.nodes[1].source.count("changes")).To(BeNumerically("<=", 1))
	})
}

// A node that lost the history after it knew everything takes no copy from before that: it
// would ask for changes that are forgotten, and begin anew without end. One that has just
// started takes any.
func TestCopyFromBeforeAGapIsNotTaken(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	for _, knew := range []bool{true, false} {
		m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
		if knew {
			m.replace(Changes{At: 50})
		}
		m.copyEntry = copyEntry{Revision: 90, Records: 2 * onePage}
		m.begin(Changes{At: 100})
		Expect(m.recordsDue(now)).To(Equal(!knew))
		m.copyEntry.Revision = 100
		Expect(m.recordsDue(now)).To(BeTrue())
	}
}

// A node that starts in a fleet with a copy uses the servers of its zone before it has read
// those of the others, which takes long when all nodes start at once.
func TestServersOfTheZoneComeFirst(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		for number := range 2 * onePage {
			id := fmt.Sprint("w", number)
			d.store.add(fakeChange{server: id, record: &fleet.Server{ID: id, Pool: "p", Zone: fmt.Sprint("z", number%4)}})
		}
		time.Sleep(settled)
		late := d.addNodeWith(addressOf(2), func(n *testNode) {
			n.mirror.config.Zone = "z1"
			n.source.copyTime = time.Second
		})
		time.Sleep(100 * time.Millisecond)
		Expect(late.view.Load().Servers).To(HaveLen(2 * onePage / 4))
		for _, server := range late.view.Load().Servers {
			Expect(server.Zone).To(Equal("z1"))
		}
		d.nodes = append(d.nodes, late)
		time.Sleep(2 * time.Second)
		d.expectEqual()
	})
}

func TestCopyThatIsBrokenIsReplaced(t *testing.T) {
	withLargeFleet(t, 2, func(d *deployment) {
		time.Sleep(settled)
		d.store.mutex.Lock()
		d.store.copied = []SnapshotPart{{Name: "z/00", Value: []byte{1, 2, 3}}}
		d.store.mutex.Unlock()
		d.nodes = append(d.nodes, d.addNode(addressOf(2)))
		time.Sleep(copyRefresh + testTimes.Changes)
		d.expectEqual()
	})
}

func TestCopyIsDecodedAsEncoded(t *testing.T) {
	RegisterTestingT(t)
	content := recordsCopy{Revision: 7, Records: benchmarkRecords(3 * onePage)}
	parts, err := content.encode()
	Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeCopy(parts)
	Expect(err).NotTo(HaveOccurred())
	Expect(decoded.Revision).To(Equal(content.Revision))
	Expect(decoded.Records).To(HaveLen(len(content.Records)))
	byID := map[string]ServerRecord{}
	for _, record := range decoded.Records {
		byID[record.ID] = record
	}
	for i, record := range content.Records {
		Expect(record.equal(byID[record.ID])).To(BeTrue(), "record %d", i)
	}
	parts[2].Value = parts[2].Value[:len(parts[2].Value)/2]
	_, err = decodeCopy(parts)
	Expect(err).To(HaveOccurred(), "half of a copy is none")
	_, err = decodeCopy(nil)
	Expect(err).To(HaveOccurred(), "no copy")
}

func FuzzCopy(f *testing.F) {
	content := recordsCopy{Revision: 7, Records: benchmarkRecords(20)}
	parts, err := content.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(parts[0].Value)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, part []byte) {
		found, err := decodeCopy([]SnapshotPart{{Name: "z/00", Value: part}})
		if (found == nil) == (err == nil) {
			t.Fatalf("neither a copy nor an error: %v, %v", found, err)
		}
	})
}

// As TestAnyTroubleLeavesAllNodesEqual, in a fleet whose records are copied.
func TestAnyTroubleLeavesAllNodesOfALargeFleetEqual(t *testing.T) {
	for seed := range uint64(20) {
		withLargeFleet(t, 4, func(d *deployment) {
			d.endureTrouble(seed, 2, 40)
			time.Sleep(testTimes.Contact + testTimes.Changes + share(copyPatienceShare, testTimes.Changes) + 4*pagePatience)
			d.expectEqual("seed %d", seed)
		})
	}
}

func benchmarkRecords(servers int) []ServerRecord {
	random := rand.New(rand.NewPCG(1, 1))
	records := make([]ServerRecord, servers)
	for i := range records {
		records[i] = ServerRecord{
			ID: fmt.Sprintf("i-%010x", random.Uint64()>>24), Pool: "glossa", Zone: fmt.Sprint("zone-", i%6), Slots: 64, Created: int64(1 + random.IntN(servers)),
			Address: fmt.Sprintf("10.%d.%d.%d:8187", 1+i%6, random.IntN(256), random.IntN(256)),
			Models: []ModelRecord{
				{Name: fmt.Sprintf("model%06d", random.IntN(300)), Adapters: []string{}}, {Name: fmt.Sprintf("model%06d", random.IntN(300)), Adapters: []string{"a1"}},
			},
		}
	}
	return records
}

// What a node of a fleet of 10,000 servers spends on the copy, in time and bytes.
func BenchmarkCopy(b *testing.B) {
	content := recordsCopy{Revision: 7, Records: benchmarkRecords(10000)}
	parts, err := content.encode()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		size := 0
		for _, part := range parts {
			size += len(part.Value)
		}
		for b.Loop() {
			if _, err := content.encode(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "bytes")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := decodeCopy(parts); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// What the relay of 10,000 servers spends on the answer to one subscription.
func BenchmarkUpdate(b *testing.B) {
	k := newKnown(0)
	for i, record := range benchmarkRecords(10000) {
		k.set(record.ID, record, int64(i+1))
	}
	k.since = 9000
	for b.Loop() {
		if update, can := k.update(9990, 10000, 0); !can || len(update.Servers) != 10 {
			b.Fatal("unexpected update")
		}
	}
}
