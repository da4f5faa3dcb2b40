package mirror

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// isolateRelay cuts the relay off from the other nodes, or connects it again.
func (d *deployment) isolateRelay(isolated bool) { d.network.setPartitioned(addressOf(0), isolated) }

// expectRecordsUnread expects that no node but the relay watched everything or read the records
// since the counts before.
func (d *deployment) expectRecordsUnread(before []map[string]int) {
	for number, node := range d.nodes[1:] {
		for _, call := range []string{"changes", "read"} {
			Expect(node.source.count(call)-before[number+1][call]).To(BeZero(), "node %d, %s", number+1, call)
		}
	}
}

// counts returns the numbers of calls of all nodes.
func (d *deployment) counts() []map[string]int {
	var counts []map[string]int
	for _, node := range d.nodes {
		counts = append(counts, node.source.counts())
	}
	return counts
}

// Guards against a relay that can't read the store because all other nodes, which have lost it, read
// the records at the same time: in a fleet of 985 nodes no relay lasted for 20 s.
func TestNodesThatLoseTheRelayLeaveTheRecordsToIt(t *testing.T) {
	withLargeFleet(t, 5, func(d *deployment) {
		time.Sleep(settled)
		before := d.counts()
		d.isolateRelay(true)
		for number := range 40 {
			d.store.put(fmt.Sprint("w", number), true, "m")
			time.Sleep(100 * time.Millisecond)
		}
		d.store.configure(true)
		d.store.putOwn("own/holder", "a")
		time.Sleep(share(0.5, testTimes.Changes))
		for _, node := range d.nodes[1:] {
			Expect(node.mirror.FollowsRelay()).To(BeFalse())
			Expect(node.mirror.Behind()).To(BeFalse())
			Expect(node.revision()).To(Equal(d.store.configuredAt))
			Expect(node.own.get("own/holder")).To(Equal("a"))
		}
		d.expectRecordsUnread(before)
		d.isolateRelay(false)
		time.Sleep(settled)
		d.expectEqual()
		d.expectRecordsUnread(before)
	})
}

// The same where the nodes and the servers start together, so that no node knows yet how many
// servers there are.
func TestNodesThatStartWithTheServersLeaveTheRecordsToTheRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		d := newDeployment(0)
		defer d.close()
		d.store.remove("s")
		for number := range 5 {
			d.nodes = append(d.nodes, d.addNode(addressOf(number)))
		}
		time.Sleep(testTimes.Changes)
		before := d.counts()
		d.isolateRelay(true)
		for number := range 2 * maxDirectServers {
			d.store.put(fmt.Sprint("w", number), false, "m")
			time.Sleep(2 * time.Millisecond)
		}
		d.isolateRelay(false)
		time.Sleep(settled)
		d.expectRecordsUnread(before)
		time.Sleep(testTimes.Contact)
		d.expectEqual()
	})
}

// Guards against records that stay as they are at a node that never reaches the relay.
func TestNodeWithoutARelayReadsSnapshotsFromTimeToTime(t *testing.T) {
	withLargeFleet(t, 3, func(d *deployment) {
		time.Sleep(settled)
		d.network.setPartitioned(addressOf(2), true)
		d.store.remove("w1")
		d.store.put("new", false, "m")
		d.store.putOwn("own/key", "a")
		time.Sleep(2*essentialsRefresh + maxSnapshotAge + testTimes.Contact)
		d.expectEqual()
		Expect(d.nodes[2].source.count("read")).To(Equal(1), "when it started")
		Expect(d.nodes[2].mirror.state.own).To(HaveKey("own/key"), "it passes on all own keys")
	})
}
