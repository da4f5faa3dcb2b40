package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Guards against a poison request that all nodes serve again because the key of an earlier entry,
// which was released, is deleted after a later entry has come into force.
func TestDeletionOfAnEarlierEntryLeavesALaterOne(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		poison := numbered(0, 1)
		crash := func(number int) {
			c.crash(c.server(fmt.Sprint("s", number)), map[*node][]Identity{c.nodes[number%4]: poison})
			time.Sleep(time.Second)
		}
		for number := range crashThreshold {
			crash(number)
		}
		Expect(c.store.entries()).To(HaveLen(1))
		c.sendFromOutside(c.nodes[0], Released{Identity: poison[0], Explained: true, Ends: []string{"s0"}})
		time.Sleep(time.Second)
		Expect(c.refusedBy(poison[0])).To(BeZero())
		crash(crashThreshold)
		Expect(c.refusedBy(poison[0])).To(Equal(4))
		c.store.removeAll()
		time.Sleep(3 * time.Second)
		Expect(c.refusedBy(poison[0])).To(Equal(4))
		Expect(c.store.entries()).To(HaveLen(1), "saved again")
		c.store.removeAll()
		time.Sleep(time.Second)
		Expect(c.refusedBy(poison[0])).To(BeZero(), "a deletion of its own key releases")
	})
}

// Guards against a poison request that all nodes serve again because a node's pending deletion of
// an earlier entry's key deletes the key of a later one.
func TestPendingDeletionLeavesALaterKey(t *testing.T) {
	runInCluster(t, 1, 1, func(c *cluster) {
		identity := numbered(0, 1)[0]
		entries := c.nodes[0].guard.entryStore
		save := func(servers ...string) {
			now := time.Now()
			entry := Entry{Identity: identity, Times: 1, Servers: servers, Since: now, Until: now.Add(initialQuarantine)}
			put := outside.Operation{Kind: outside.OperationPut, Key: entries.key(identity), Value: entries.encode(entry, now)}
			c.store.apply(outside.Transaction{Operations: []outside.Operation{put}})
			time.Sleep(2 * storeDelay)
		}
		save("s0", "s1", "s2")
		Expect(c.refusedBy(identity)).To(Equal(1))
		entries.remove(identity, time.Now())
		save("s3", "s4", "s5")
		time.Sleep(3 * tickInterval)
		Expect(c.refusedBy(identity)).To(Equal(1))
		Expect(c.store.entries()).To(HaveLen(1))
	})
}

// Guards against a key that stays in the store, and is in force at nodes that start later, since the node
// that released its entry stopped before it deleted the key, or while another one was writing it.
func TestKeyOfAReleasedEntryIsDeletedWithoutTheReleasingNode(t *testing.T) {
	for _, explained := range []bool{false, true} {
		for offset := 2 * decisionDelay; offset < decisionDelay+3*saveInterval; offset += storeDelay {
			runInCluster(t, 4, 3, func(c *cluster) {
				identity := numbered(0, 1)[0]
				for i := range crashThreshold {
					c.crash(c.server(fmt.Sprint("s", i)), map[*node][]Identity{c.nodes[i]: {identity}})
				}
				time.Sleep(offset)
				if explained {
					c.sendFromOutside(c.nodes[0], Released{Identity: identity, Explained: true, Ends: []string{"s0", "s1", "s2"}})
				} else {
					releasing := c.nodes[3]
					releasing.guard.RequestServed(Request{Identity: identity}, time.Now())
					releasing.stop()
					c.store.watch(releasing, false)
				}
				time.Sleep(5 * time.Second)
				Expect(c.store.entries()).To(BeEmpty(), "%v after the crashes", offset)
				restartAll(c)
				Expect(c.refusedBy(identity)).To(BeZero(), "%v after the crashes", offset)
			})
		}
	}
}
