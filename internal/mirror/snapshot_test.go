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

// withLargeFleet runs a test with more servers than one call to the store delivers. All nodes have
// the same relay from the start.
func withLargeFleet(t *testing.T, nodes int, body func(d *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		d := newDeployment(0)
		for number := range maxDirectServers + 100 {
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

// All nodes start at once: each reads the configuration and the own keys, only the relay reads all
// records, and the others get them by one read of the snapshot each.
func TestOnlyTheRelayReadsTheRecordsOfALargeFleet(t *testing.T) {
	withLargeFleet(t, 5, func(d *deployment) {
		time.Sleep(settled)
		d.expectEqual()
		for number, node := range d.nodes[1:] {
			Expect(node.source.count("read")).To(Equal(1), "node %d asks whether the fleet is large", number+1)
			Expect(node.source.count("stale copy")).To(Equal(1), "node %d", number+1)
			Expect(node.source.count("copy")).To(BeZero(), "node %d", number+1)
		}
		// A node that starts later uses the existing snapshot.
		d.store.put("late", false, "m")
		d.store.remove("w3")
		late := d.addNode(addressOf(5))
		d.nodes = append(d.nodes, late)
		time.Sleep(time.Second)
		d.expectEqual()
		Expect(late.source.count("read")).To(BeZero())
	})
}

// The configuration is put into force although no node writes a records snapshot.
func TestConfigurationDoesNotWaitForRecords(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		d.nodes[0].source.setFault(true, false)
		time.Sleep(100 * time.Millisecond)
		d.store.putOwn("own/holder", "a")
		d.store.configure(true)
		time.Sleep(share(0.5, testTimes.Changes))
		for _, node := range d.nodes[1:] {
			Expect(node.revision()).To(Equal(d.store.configuredAt))
			Expect(node.own.get("own/holder")).To(Equal("a"))
		}
		// The records are read without a relay as well.
		time.Sleep(share(snapshotWaitShare, testTimes.Changes) + 4*pageWait)
		for _, node := range d.nodes[1:] {
			Expect(node.view.Load().Servers).To(HaveLen(len(d.store.servers)))
		}
	})
}

// Nodes that can't get the changes since their revision keep the state that they have until they
// have read the new one.
func TestLargeFleetAfterCompaction(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		time.Sleep(settled)
		for _, node := range d.nodes {
			node.source.setFault(true, false)
		}
		time.Sleep(testTimes.Changes)
		d.store.remove("w1")
		d.store.put("new", false, "m")
		d.store.configure(true)
		d.store.compact()
		for _, node := range d.nodes {
			Expect(len(node.view.Load().Servers)).To(BeNumerically(">", maxDirectServers))
			node.source.setFault(false, false)
		}
		time.Sleep(testTimes.Changes)
		for _, node := range d.nodes {
			Expect(node.revision()).To(Equal(d.store.configuredAt))
		}
		time.Sleep(testTimes.Contact)
		d.expectEqual()
	})
}

// Thousands of servers register while the nodes are running: only the relay receives each change,
// the others read snapshots and send no other calls to the store.
func TestManyNewServersAreReadFromSnapshots(t *testing.T) {
	withNodes(t, 5, func(d *deployment) {
		d.nodes[0].mirror.config.LinkBytesPerSecond = 1
		before := make([]int, len(d.nodes))
		for number, node := range d.nodes {
			before[number] = node.source.count("changes")
		}
		const servers = 8 * maxRecordsPushed
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
			// The first hundreds register before the fleet is known to be large.
			Expect(node.source.count("changes")-before[number+1]).To(BeNumerically("<=", 4), "node %d", number+1)
		}
	})
}

// Configurations are written in quick succession, for many nodes on a slow link: the pushes stay
// within the link's bandwidth, no node reads a version from the store that the relay pushes, and
// all receive the last one in time.
func TestConfigurationPushesRespectTheLinkBandwidth(t *testing.T) {
	RegisterTestingT(t)
	const subscribers, size = 1000, 60_000
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes, LinkBytesPerSecond: 25e6})
	began := time.Now()
	pushes := 0
	for step := range 40 {
		now := began.Add(time.Duration(step) * 100 * time.Millisecond)
		m.state.configuration = int64(step + 1)
		m.content.set(make([]byte, size), int64(step+1))
		if m.contentToPush(subscribers, now) != nil {
			pushes++
		}
	}
	Expect(pushes).To(BeNumerically(">=", 4), "each takes 0.8 s of half of the link")
	Expect(pushes).To(BeNumerically("<=", 6))
	Expect(m.contentToPush(subscribers, began.Add(time.Minute))).NotTo(BeNil(), "the last one is pushed")
	Expect(m.contentToPush(subscribers, began.Add(2*time.Minute))).To(BeNil(), "once")
}

// A configuration that the relay announces and does not push is read from the store.
func TestAnnouncedConfigurationThatIsNotPushedIsRead(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		d.nodes[0].mirror.mutex.Lock()
		d.nodes[0].mirror.content.linkFreeAt = time.Now().Add(time.Minute)
		d.nodes[0].mirror.mutex.Unlock()
		d.store.configure(true)
		time.Sleep(share(relayPollShare+contentWaitShare, testTimes.Changes) + 50*time.Millisecond)
		Expect(d.nodes[1].revision()).To(Equal(d.store.configuredAt))
		Expect(d.nodes[1].source.count("configuration")).To(Equal(1))
	})
}

func TestCorruptContentIsReadFromTheStore(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		node := d.nodes[1].mirror
		d.nodes[0].stop()
		d.store.configure(true)
		node.handleUpdate(Update{Base: node.revision, At: node.revision, Configuration: d.store.configuredAt, Content: []byte{1, 2}}, "r:1")
		time.Sleep(100 * time.Millisecond)
		Expect(d.nodes[1].revision()).To(Equal(d.store.configuredAt))
	})
}

// Nodes and servers start together: the nodes know the relay before it has sent them an update, and
// still leave the store's link to it.
func TestNodesWaitForTheFirstUpdateOfANewRelay(t *testing.T) {
	withNodes(t, 0, func(d *deployment) {
		for number := range 4 {
			d.nodes = append(d.nodes, d.addNode(addressOf(number)))
		}
		time.Sleep(100 * time.Millisecond)
		for number := range maxDirectServers {
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

// The store's watches stall for a second in which a server starts to drain and the configuration
// changes; then the store compacts its history, stale reads return snapshots from before that, and
// a read of all records takes long. The configuration must not wait for that read, the records come
// from one new snapshot, and no node reads repeatedly.
func TestCompactionDuringAWatchGap(t *testing.T) {
	withLargeFleet(t, 6, func(d *deployment) {
		// There is a snapshot from before the gap that no node has read.
		time.Sleep(settled + maxSnapshotAge)
		before := make([]map[string]int, len(d.nodes))
		for number, node := range d.nodes {
			node.source.mutex.Lock()
			before[number] = maps.Clone(node.source.calls)
			node.source.readTime = share(0.3, testTimes.Changes)
			node.source.mutex.Unlock()
			node.source.setStalled(true)
		}
		d.store.put("w5", true, "m")
		d.store.configure(true)
		time.Sleep(time.Second)
		d.store.mutex.Lock()
		d.store.staleReads = true
		d.store.mutex.Unlock()
		d.store.compact()
		for _, node := range d.nodes {
			node.source.setStalled(false)
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
			for call, limit := range map[string]int{"read": 0, "own": 1, "copy": 1, "stale copy": 1, "configuration": 1, "changes": 4} {
				Expect(node.source.count(call)-before[number+1][call]).To(BeNumerically("<=", limit), "node %d, %s", number+1, call)
			}
		}
	})
}

// A relay that refuses the first subscriptions is asked again before the node reads the store.
func TestNewRelayThatRefusesIsRetried(t *testing.T) {
	withNodes(t, 0, func(d *deployment) {
		d.nodes = append(d.nodes, d.addNode(addressOf(0)), d.addNode(addressOf(1)))
		d.network.setPartitioned(addressOf(1), true)
		time.Sleep(relayCheckPeriod + 50*time.Millisecond)
		d.network.setPartitioned(addressOf(1), false)
		// A call to the store in progress returns first.
		time.Sleep(share(electionWaitShare, testTimes.Changes) + share(directWaitShare, testTimes.Contact))
		Expect(d.nodes[1].mirror.FollowsRelay()).To(BeTrue())
		Expect(d.nodes[1].source.count("changes")).To(BeNumerically("<=", 1))
	})
}

// A node that lost the history after its state was complete must not use a snapshot from before the
// gap: it would request changes that are compacted, and start over endlessly. A node that has just
// started uses any snapshot.
func TestSnapshotFromBeforeAGapIsNotUsed(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	for _, initialized := range []bool{true, false} {
		m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: testTimes})
		if initialized {
			m.replace(Changes{At: 50})
		}
		m.manifest = snapshotManifest{Revision: 90, Records: 2 * maxDirectServers}
		m.beginPartial(Changes{At: 100})
		Expect(m.recordsDue(now)).To(Equal(!initialized))
		m.manifest.Revision = 100
		Expect(m.recordsDue(now)).To(BeTrue())
	}
}

// A node that starts in a fleet with a snapshot uses the servers of its zone before it has read the
// others, which takes long when all nodes start at once.
func TestServersOfTheZoneAreReadFirst(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		for number := range 2 * maxDirectServers {
			id := fmt.Sprint("w", number)
			d.store.add(fakeChange{server: id, record: &fleet.Server{ID: id, Pool: "p", Zone: fmt.Sprint("z", number%4)}})
		}
		time.Sleep(settled)
		late := d.addNodeWith(addressOf(2), func(n *testNode) {
			n.mirror.config.Zone = "z1"
			n.source.snapshotTime = time.Second
		})
		time.Sleep(100 * time.Millisecond)
		Expect(late.view.Load().Servers).To(HaveLen(2 * maxDirectServers / 4))
		for _, server := range late.view.Load().Servers {
			Expect(server.Zone).To(Equal("z1"))
		}
		d.nodes = append(d.nodes, late)
		time.Sleep(2 * time.Second)
		d.expectEqual()
	})
}

func TestCorruptSnapshotIsReplaced(t *testing.T) {
	withLargeFleet(t, 2, func(d *deployment) {
		time.Sleep(settled)
		d.store.mutex.Lock()
		d.store.snapshot = []SnapshotPart{{Name: "z/00", Value: []byte{1, 2, 3}}}
		d.store.mutex.Unlock()
		d.nodes = append(d.nodes, d.addNode(addressOf(2)))
		time.Sleep(maxSnapshotAge + testTimes.Changes)
		d.expectEqual()
	})
}

func TestSnapshotRoundTrip(t *testing.T) {
	RegisterTestingT(t)
	content := recordsSnapshot{Revision: 7, Records: benchmarkRecords(3 * maxDirectServers)}
	parts, err := content.encode()
	Expect(err).NotTo(HaveOccurred())
	decoded, err := decodeSnapshot(parts)
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
	_, err = decodeSnapshot(parts)
	Expect(err).To(HaveOccurred(), "half of a snapshot")
	_, err = decodeSnapshot(nil)
	Expect(err).To(HaveOccurred(), "no snapshot")
}

func FuzzSnapshot(f *testing.F) {
	content := recordsSnapshot{Revision: 7, Records: benchmarkRecords(20)}
	parts, err := content.encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(parts[0].Value)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, part []byte) {
		found, err := decodeSnapshot([]SnapshotPart{{Name: "z/00", Value: part}})
		if (found == nil) == (err == nil) {
			t.Fatalf("neither a snapshot nor an error: %v, %v", found, err)
		}
	})
}

// As TestNodesConvergeAfterRandomFaults, in a fleet whose records are read from snapshots.
func TestNodesOfALargeFleetConvergeAfterRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		withLargeFleet(t, 4, func(d *deployment) {
			d.injectFaults(seed, 2, 40)
			time.Sleep(testTimes.Contact + testTimes.Changes + share(snapshotWaitShare, testTimes.Changes) + 4*pageWait)
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

// BenchmarkSnapshot measures the time and bytes that a snapshot of 10,000 servers takes.
func BenchmarkSnapshot(b *testing.B) {
	content := recordsSnapshot{Revision: 7, Records: benchmarkRecords(10000)}
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
			if _, err := decodeSnapshot(parts); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkUpdate measures the relay's reply to one subscription in a fleet of 10,000 servers.
func BenchmarkUpdate(b *testing.B) {
	s := newState(0)
	for i, record := range benchmarkRecords(10000) {
		s.set(record.ID, record, int64(i+1))
	}
	s.baseRevision = 9000
	for b.Loop() {
		if update, ok := s.updateSince(9990, 10000, 0); !ok || len(update.Servers) != 10 {
			b.Fatal("unexpected update")
		}
	}
}
