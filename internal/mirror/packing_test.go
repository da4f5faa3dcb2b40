package mirror

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/peer"
)

func TestPackedRecordsAreUnpacked(t *testing.T) {
	RegisterTestingT(t)
	sent := Update{Base: 3, At: 7, Servers: benchmarkRecords(2000), Ended: []string{"gone"}}
	packed := sent.packed()
	Expect(packed.Servers).To(BeEmpty())
	Expect(len(packed.Packed)).To(BeNumerically("<", 2000*packedRecordBytes))
	received, err := packed.unpacked()
	Expect(err).NotTo(HaveOccurred())
	Expect(received.Servers).To(HaveLen(len(sent.Servers)))
	for i, record := range sent.Servers {
		Expect(record.equal(received.Servers[i])).To(BeTrue())
	}
	few := Update{Servers: benchmarkRecords(minPackedRecords - 1)}
	Expect(few.packed()).To(Equal(few))
}

// Guards against records that a node of an earlier build does not understand, and counts as received.
func TestSubscriberThatDoesNotUnpackGetsRecordsAsTheyAre(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		var received []Update
		earlier := d.network.add("earlier:1")
		earlier.Handle(Update{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
			received = append(received, message.(Update))
			reply(nil, nil)
		})
		subscribed := false
		earlier.Call(d.relay, Subscribe{Address: "earlier:1", Revision: d.nodes[0].mirror.revision}, time.Second, func(reply peer.Message, err error) {
			_, subscribed = reply.(Update)
		})
		time.Sleep(10 * time.Millisecond)
		Expect(subscribed).To(BeTrue())
		for number := range 3 * minPackedRecords {
			d.store.put(fmt.Sprint("t", number), false)
		}
		time.Sleep(share(0.5, testTimes.Changes))
		records := 0
		for _, update := range received {
			Expect(update.Packed).To(BeEmpty())
			records += len(update.Servers)
		}
		Expect(records).To(Equal(3 * minPackedRecords))
		Expect(d.nodes[1].view.Load().Servers).To(HaveLen(1 + 3*minPackedRecords))
	})
}

// Packed records that are damaged change nothing, so that they are asked for again.
func TestDamagedPackedRecordsAreNotApplied(t *testing.T) {
	withNodes(t, 2, func(d *deployment) {
		node := d.nodes[1].mirror
		revision := node.revision
		node.handleUpdate(Update{Base: revision, At: revision + 5, Packed: []byte{1, 2, 3}}, d.relay)
		Expect(node.revision).To(Equal(revision))
	})
}

// Guards against pushes that take longer than the time until the next one: nodes on slow links fell
// behind further with each, and were lost to those below them.
func TestPushesOfRecordsLeaveHalfOfTheLink(t *testing.T) {
	RegisterTestingT(t)
	times := Times{Contact: 6 * time.Second, Changes: 5 * time.Second}
	m := New(Config{View: fleet.NewView(), Own: &fakeOwn{values: map[string]string{}}, Times: times, LinkBytesPerSecond: 2.5e6})
	for _, subscribers := range []int{15, 30, 45} {
		bytes := m.recordLimit(subscribers, packedRecordBytes) * packedRecordBytes * subscribers
		Expect(float64(bytes) / 2.5e6).To(BeNumerically("<=", share(0.5*relayPollShare, times.Changes).Seconds()))
	}
	Expect(m.recordLimit(fanOut, packedRecordBytes)).To(BeNumerically(">", 300), "changes of a release are pushed")
}

// BenchmarkPush measures the encoding of a push of 1,000 records to all subscribers of a relay.
func BenchmarkPush(b *testing.B) {
	update := Update{Base: 3, At: 7, Servers: benchmarkRecords(1000)}
	b.Run("pack", func(b *testing.B) {
		for b.Loop() {
			if len(update.packed().Packed) == 0 {
				b.Fatal("not packed")
			}
		}
	})
}
