package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

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

// A record whose birth lies in the future hid the leaving notice of its server, and a notice that
// was received under it outlived all later incarnations.
func TestFutureBirthDoesNotOutrankLaterIncarnations(t *testing.T) {
	for _, ahead := range []time.Duration{time.Hour, 200 * 365 * 24 * time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			RegisterTestingT(t)
			now := time.Now().UnixMilli()
			odd := &Server{ID: "s", Pool: "p", Born: time.Now().Add(ahead).UnixMilli()}
			good := &Server{ID: "s", Pool: "p", Born: now}
			view := NewView()
			view.ReplaceServers(map[string]*Server{"s": odd})
			Expect(view.SetLeaving(good.Incarnation())).To(BeTrue())

			view = NewView()
			view.ReplaceServers(map[string]*Server{"s": odd})
			Expect(view.SetLeaving(Incarnation{ID: "s", Born: odd.Born})).To(BeTrue())
			view.ReplaceServers(map[string]*Server{"s": good})
			Expect(view.Load().Servers["s"].Draining).To(BeTrue(), "it may be the incarnation that sent the notice")
			time.Sleep(2 * time.Hour)
			view.ReplaceServers(map[string]*Server{"s": {ID: "s", Pool: "p", Born: now + 1000}})
			Expect(view.Load().Servers["s"].Draining).To(BeFalse())
		})
	}
}

// Clocks of servers may be ahead of a node's.
func TestBirthWithinTheClockSkewCounts(t *testing.T) {
	RegisterTestingT(t)
	now := time.Now()
	first, second := Incarnation{ID: "s", Born: now.UnixMilli()}, Incarnation{ID: "s", Born: now.Add(maxClockSkew - time.Second).UnixMilli()}
	Expect(second.Follows(first)).To(BeTrue())
	Expect(Incarnation{ID: "s", Born: now.Add(maxClockSkew + time.Minute).UnixMilli()}.Follows(first)).To(BeFalse())
}

// Without births the leaving notice of a removed record held for the next server under its ID, for good.
func TestLeavingNoticeWithoutBirthEndsAtAnotherAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		view := NewView()
		view.ReplaceServers(map[string]*Server{"s": {ID: "s", Pool: "p", Address: "a:1", Created: 1}})
		Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeTrue())
		view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Address: "a:1", Created: 1}})
		Expect(view.Load().Servers["s"].Draining).To(BeTrue(), "the same incarnation's record says that it is ready")
		view.UpdateServers(map[string]*Server{"s": nil})
		view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Address: "a:2", Created: 50}})
		Expect(view.Load().Servers["s"].Draining).To(BeFalse())
		Expect(view.Leaving()).To(BeEmpty())

		// A node that has the earlier record still reports the notice.
		Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeFalse())
		Expect(view.Load().Servers["s"].Draining).To(BeFalse())
		time.Sleep(2 * time.Minute)
		view.ExpireLeaving()
		Expect(view.leaving).To(BeEmpty())
		Expect(view.SetLeaving(Incarnation{ID: "s"})).To(BeTrue())
		Expect(view.Load().Servers["s"].Draining).To(BeTrue(), "the new incarnation leaves")
	})
}

// A record that expired in an outage of the store is created again by the same incarnation, which is
// still leaving; but a notice must not hold for good for another one at its address.
func TestLeavingNoticeWithoutBirthOutlastsAnOutageOnly(t *testing.T) {
	for name, change := range map[string]func(view *View){
		"notice before the record is created again": func(view *View) {
			view.SetLeaving(Incarnation{ID: "s"})
			view.UpdateServers(map[string]*Server{"s": nil})
		},
		"notice while there is no record": func(view *View) {
			view.UpdateServers(map[string]*Server{"s": nil})
			view.SetLeaving(Incarnation{ID: "s"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				view := NewView()
				view.ReplaceServers(map[string]*Server{"s": {ID: "s", Pool: "p", Address: "a:1", Created: 1}})
				change(view)
				time.Sleep(noticeRetention - time.Second)
				view.UpdateServers(map[string]*Server{"s": {ID: "s", Pool: "p", Address: "a:1", Created: 50}})
				view.ExpireLeaving()
				Expect(view.Load().Servers["s"].Draining).To(BeTrue())
				time.Sleep(2 * time.Second)
				view.ExpireLeaving()
				Expect(view.Load().Servers["s"].Draining).To(BeFalse())
				Expect(view.Leaving()).To(BeEmpty())
			})
		})
	}
}

// A record that was not created again never ends the notice.
func TestLeavingNoticeHoldsForItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		RegisterTestingT(t)
		view := NewView()
		record := &Server{ID: "s", Pool: "p", Address: "a:1", Created: 1}
		view.ReplaceServers(map[string]*Server{"s": record})
		view.SetLeaving(Incarnation{ID: "s"})
		for range 3 {
			time.Sleep(noticeRetention)
			view.ReplaceServers(map[string]*Server{"s": record})
			view.ExpireLeaving()
			Expect(view.Load().Servers["s"].Draining).To(BeTrue())
		}
	})
}
