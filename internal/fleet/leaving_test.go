package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// For arbitrary orders of records and notices: an incarnation that has sent a leaving notice is
// never shown as ready, and no other incarnation is shown as leaving because of it.
func TestLeavingIncarnationStaysLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		view := NewView()
		notified, newest := map[Incarnation]bool{}, map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0: // The record is deleted, with its server or while the store is unavailable.
				view.UpdateServers(map[string]*Server{id: nil})
			case 1: // The server starts another incarnation.
				newest[id]++
				view.UpdateServers(map[string]*Server{id: {ID: id, Pool: "p", Born: 1 + newest[id]}})
			case 2: // The record of an incarnation is received again, or reappears.
				view.UpdateServers(map[string]*Server{id: {ID: id, Pool: "p", Born: 1 + newest[id]}})
			case 3: // All records are read again, with or without the server.
				records := map[string]*Server{}
				for _, other := range []string{"s0", "s1", "s2"} {
					if rapid.Bool().Draw(t, "listed") {
						records[other] = &Server{ID: other, Pool: "p", Born: 1 + newest[other]}
					}
				}
				view.ReplaceServers(records)
			case 4: // A placement of the holder is received.
				view.ApplyPlacements([]*Server{{ID: id, Models: map[string]LoadedModel{"m": {}}, PlacementVersion: 1}})
			case 5: // An answer contains a notice, possibly of an earlier incarnation.
				incarnation := Incarnation{ID: id, Born: 1 + rapid.Int64Range(0, newest[id]).Draw(t, "born")}
				view.SetLeaving(incarnation)
				notified[incarnation] = true
			}
			for _, server := range view.Load().Servers {
				g.Expect(server.ReportedLeaving).To(Equal(notified[server.Incarnation()]), fmt.Sprint(server.Incarnation(), notified))
				g.Expect(server.Draining).To(Equal(server.ReportedLeaving))
			}
		}
	})
}

// Servers that don't report their birth never start another incarnation under their ID.
func TestIncarnationWithoutABirthLeavesForGood(t *testing.T) {
	RegisterTestingT(t)
	view := NewView()
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p"}})
	Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeTrue())
	Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeFalse())
	view.UpdateServers(map[string]*Server{"s": nil})
	Expect(view.Leaving()).To(BeEmpty())
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Created: 7}})
	Expect(view.Load().Servers["s"].Draining).To(BeTrue())
	// A node of another build had passed the record on without the birth, which is received
	// now.
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Born: 5}})
	Expect(view.Load().Servers["s"].Draining).To(BeTrue())
	Expect(view.Leaving()).To(Equal([]Incarnation{{ID: "s", Born: 5}}))
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Born: 6}})
	Expect(view.Load().Servers["s"].Draining).To(BeFalse())
	Expect(view.Leaving()).To(BeEmpty())
}

// The record stays as the server wrote it: nodes forward and compare records.
func TestRecordOfALeavingServerIsLeftAsItIs(t *testing.T) {
	RegisterTestingT(t)
	view := NewView()
	view.ReplaceServers(map[string]*Server{"s": {ID: "s", Pool: "p"}})
	view.SetLeaving(Incarnation{ID: "s"})
	Expect(view.Record("s").Draining).To(BeFalse())
}
