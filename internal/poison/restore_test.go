package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a restore of the store from a backup that releases poison requests found
// since: nodes took the missing entries for deletions by an operator.
func TestEntryLostInARestoreStaysInForce(t *testing.T) {
	runInCluster(t, 4, 3, func(c *cluster) {
		poison := numbered(0, 2)
		for i := range crashThreshold {
			c.crash(c.server(fmt.Sprint("s", i)), map[*node][]Identity{c.nodes[i]: poison[:1]})
			time.Sleep(time.Second)
		}
		backup := c.store.all()
		for i := range crashThreshold {
			c.crash(c.server(fmt.Sprint("t", i)), map[*node][]Identity{c.nodes[i]: poison[1:]})
			time.Sleep(time.Second)
		}
		Expect(c.store.entries()).To(HaveLen(2))
		for range 2 {
			c.store.restore(backup)
			Expect(c.store.entries()).To(HaveLen(1))
			time.Sleep(5 * time.Second)
			Expect(c.refusedBy(poison[0])).To(Equal(4))
			Expect(c.refusedBy(poison[1])).To(Equal(4))
			Expect(c.store.entries()).To(HaveLen(2), "written again")
		}
		c.store.removeAll()
		time.Sleep(time.Second)
		Expect(c.refusedBy(poison[0])).To(BeZero(), "a deletion by an operator still releases")
		Expect(c.refusedBy(poison[1])).To(BeZero())
	})
}

// Guards against shared crashes that are lost in a restore and not written again: nodes that
// only reach each other through the store then counted their own crashes alone.
func TestSharedCrashesLostInARestoreAreWrittenAgain(t *testing.T) {
	runInCluster(t, 3, 3, func(c *cluster) {
		suspect := numbered(0, 1)
		c.network.SetCut(c.nodes[2].address, true)
		backup := c.store.all()
		c.crash(c.server("s"), map[*node][]Identity{c.nodes[0]: suspect})
		time.Sleep(5 * time.Second)
		Expect(c.store.sharedCrashesOf(suspect[0])).To(Equal(1))
		c.store.restore(backup)
		Expect(c.store.sharedCrashesOf(suspect[0])).To(BeZero())
		time.Sleep(2 * time.Second)
		Expect(c.store.sharedCrashesOf(suspect[0])).To(Equal(1))
	})
}
