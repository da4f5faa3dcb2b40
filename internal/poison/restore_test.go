package poison

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A restore of the store from a backup released the requests that were found since to end
// servers: nodes took the entries that were missing for removed by an operator.
func TestEntryThatARestoreLostStillHolds(t *testing.T) {
	inWorld(t, 4, 3, func(w *world) {
		poison := numbered(0, 2)
		for i := range endsToHold {
			w.end(w.server(fmt.Sprint("s", i)), map[*node][]Identity{w.nodes[i]: poison[:1]})
			time.Sleep(time.Second)
		}
		backup := w.store.all()
		for i := range endsToHold {
			w.end(w.server(fmt.Sprint("t", i)), map[*node][]Identity{w.nodes[i]: poison[1:]})
			time.Sleep(time.Second)
		}
		Expect(w.store.entries()).To(HaveLen(2))
		for range 2 {
			w.store.restore(backup)
			Expect(w.store.entries()).To(HaveLen(1))
			time.Sleep(5 * time.Second)
			Expect(w.held(poison[0])).To(Equal(4))
			Expect(w.held(poison[1])).To(Equal(4))
			Expect(w.store.entries()).To(HaveLen(2), "written again")
		}
		w.store.removeAll()
		time.Sleep(time.Second)
		Expect(w.held(poison[0])).To(BeZero(), "an operator's removal still releases")
		Expect(w.held(poison[1])).To(BeZero())
	})
}

// The ends that a node had shared by way of the store were lost in a restore, and not written
// again: nodes that reach each other only there counted their own ends alone.
func TestSharedEndsThatARestoreLostAreWrittenAgain(t *testing.T) {
	inWorld(t, 3, 3, func(w *world) {
		suspect := numbered(0, 1)
		w.network.SetCut(w.nodes[2].address, true)
		backup := w.store.all()
		w.end(w.server("s"), map[*node][]Identity{w.nodes[0]: suspect})
		time.Sleep(5 * time.Second)
		Expect(w.store.sharedEndsOf(suspect[0])).To(Equal(1))
		w.store.restore(backup)
		Expect(w.store.sharedEndsOf(suspect[0])).To(BeZero())
		time.Sleep(2 * time.Second)
		Expect(w.store.sharedEndsOf(suspect[0])).To(Equal(1))
	})
}
