package mirror

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Servers write their records all the time at a start and there is no relay yet: each node notices
// at once who was elected, with one call.
func TestNodesNoticeAnElectionAmidServerChanges(t *testing.T) {
	withNodes(t, 4, func(d *deployment) {
		d.mutex.Lock()
		d.relay = ""
		d.mutex.Unlock()
		d.nodes[0].stop()
		time.Sleep(d.nodes[0].mirror.maxRelayAge() + 50*time.Millisecond)
		before := d.nodes[1].source.count("own changes")
		for number := range 10 {
			d.store.put(fmt.Sprint("t", number), false)
			time.Sleep(10 * time.Millisecond)
		}
		d.store.putOwn("own/holder", "a")
		time.Sleep(20 * time.Millisecond)
		for _, node := range d.nodes[1:] {
			Expect(node.own.get("own/holder")).To(Equal("a"))
		}
		Expect(d.nodes[1].source.count("own changes") - before).To(BeNumerically("<=", 2))
		// Without a relay the whole state is watched again.
		time.Sleep(testTimes.Changes)
		d.nodes = d.nodes[1:]
		d.expectEqual()
	})
}
