package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Whatever records say, in whatever order they and the servers' words come: a life that
// told that it leaves is never shown as ready, and no other life is for it.
func TestLifeThatToldThatItLeavesStaysSo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		view := NewView()
		told, newest := map[Incarnation]bool{}, map[string]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0: // The record ends, with its server or while the store is away.
				view.UpdateServers(map[string]*Server{id: nil})
			case 1: // The server begins another life.
				newest[id]++
				view.UpdateServers(map[string]*Server{id: {ID: id, Pool: "p", Born: 1 + newest[id]}})
			case 2: // The record of a life comes once more, or back.
				view.UpdateServers(map[string]*Server{id: {ID: id, Pool: "p", Born: 1 + newest[id]}})
			case 3: // All is read again, with or without the server.
				records := map[string]*Server{}
				for _, other := range []string{"s0", "s1", "s2"} {
					if rapid.Bool().Draw(t, "listed") {
						records[other] = &Server{ID: other, Pool: "p", Born: 1 + newest[other]}
					}
				}
				view.ReplaceServers(records)
			case 4: // The holder's word of what the server holds comes.
				view.ApplyPlacements([]*Server{{ID: id, Models: map[string]LoadedModel{"m": {}}, PlacementVersion: 1}})
			case 5: // An answer tells, maybe one of an earlier life.
				life := Incarnation{ID: id, Born: 1 + rapid.Int64Range(0, newest[id]).Draw(t, "born")}
				view.SetLeaving(life)
				told[life] = true
			}
			for _, server := range view.Load().Servers {
				g.Expect(server.ReportedLeaving).To(Equal(told[server.Incarnation()]), fmt.Sprint(server.Incarnation(), told))
				g.Expect(server.Draining).To(Equal(server.ReportedLeaving))
			}
		}
	})
}

// Servers that don't tell their birth never begin another life under their ID.
func TestLifeWithoutABirthLeavesForGood(t *testing.T) {
	RegisterTestingT(t)
	view := NewView()
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p"}})
	Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeTrue())
	Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeFalse())
	view.UpdateServers(map[string]*Server{"s": nil})
	Expect(view.Leaving()).To(BeEmpty())
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Created: 7}})
	Expect(view.Load().Servers["s"].Draining).To(BeTrue())
	// A node of another build passed the record on without its birth, which is known now.
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Born: 5}})
	Expect(view.Load().Servers["s"].Draining).To(BeTrue())
	Expect(view.Leaving()).To(Equal([]Incarnation{{ID: "s", Born: 5}}))
	view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Born: 6}})
	Expect(view.Load().Servers["s"].Draining).To(BeFalse())
	Expect(view.Leaving()).To(BeEmpty())
}

// The record stays what the server wrote: nodes pass it on, and compare it.
func TestRecordOfALeavingServerIsLeftAsItIs(t *testing.T) {
	RegisterTestingT(t)
	view := NewView()
	view.ReplaceServers(map[string]*Server{"s": {ID: "s", Pool: "p"}})
	view.SetLeaving(Incarnation{ID: "s"})
	Expect(view.Record("s").Draining).To(BeFalse())
}
