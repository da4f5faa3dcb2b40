package observation

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/fleet"

	_ "github.com/hatchplank/hatchplank/internal/fixedseed" // property tests repeat
)

func TestObservation(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Observation Suite")
}

var (
	testStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	first     = fleet.Incarnation{ID: "s", Born: 5}
	second    = fleet.Incarnation{ID: "s", Born: 6}
	testLoad  = Load{Running: 3, Waiting: 1, Slots: 24}
)

func after(elapsed time.Duration) time.Time { return testStart.Add(elapsed) }

var _ = ginkgo.Describe("The table", func() {
	// Guards against a choice from a load that is no longer true.
	ginkgo.It("returns a load until it is 3 s old", func() {
		table := NewTable()
		table.RecordLoad(first, testLoad, testStart)
		load, at, known := table.Load(first, after(LoadLifetime-1))
		Expect(known).To(BeTrue())
		Expect(load).To(Equal(testLoad))
		Expect(at).To(Equal(testStart))
		_, _, known = table.Load(first, after(LoadLifetime))
		Expect(known).To(BeFalse())
	})

	// Guards against a restarted server that is avoided, or sent too much, because of what its
	// predecessor under the same ID did.
	ginkgo.It("keeps nothing of an earlier incarnation", func() {
		table := NewTable()
		table.RecordLoad(first, testLoad, testStart)
		_, _, known := table.Load(second, testStart)
		Expect(known).To(BeFalse())
		table.RecordReachable(second, testStart)
		table.RecordLoad(first, testLoad, after(time.Millisecond))
		_, _, known = table.Load(second, after(time.Millisecond))
		Expect(known).To(BeFalse())
		_, _, known = table.Load(first, after(time.Millisecond))
		Expect(known).To(BeFalse())
	})

	// Guards against a node's own refused connection being counted as the statement of another.
	ginkgo.It("does not suspect a server because of this node's own observation", func() {
		table := NewTable()
		table.RecordUnreachable(first, testStart)
		Expect(table.Suspected(first, testStart)).To(BeFalse())
		Expect(table.Urgent()).To(Receive())
	})

	// Guards against a suspicion without end, and against one that ends while other nodes still
	// find the server unreachable.
	ginkgo.It("suspects a server for 2 s after the newest observation of another node", func() {
		table, _ := suspicionTable()
		table.Merge([]Observation{{Server: first, Unreachable: true}}, holder, testStart)
		table.Merge([]Observation{{Server: first, Unreachable: true, ReachAge: 300 * time.Millisecond}}, holder, after(1800*time.Millisecond))
		Expect(table.Suspected(first, after(3500*time.Millisecond-1))).To(BeTrue())
		since, suspected := table.SuspectedSince(first, after(time.Second))
		Expect(suspected).To(BeTrue())
		Expect(since).To(Equal(testStart))
		Expect(table.Suspected(first, after(3500*time.Millisecond))).To(BeFalse())
		Expect(table.Suspicions(after(3500 * time.Millisecond))).To(BeZero())
	})

	// Guards against an operator who can't see why a node avoids a server.
	ginkgo.DescribeTable("tells who began and who ended a suspicion",
		func(end func(table *Table), reason EndReason, toldBy string) {
			table, told := suspicionTable()
			table.Merge([]Observation{{Server: first, Unreachable: true}}, holder, testStart)
			end(table)
			Expect(*told).To(Equal([]Suspicion{
				{Server: first, Begun: true, ToldBy: holder.Node},
				{Server: first, Reason: reason, ToldBy: toldBy, Lasted: time.Second},
			}))
			Expect(table.Suspected(first, after(time.Second))).To(BeFalse())
		},
		ginkgo.Entry("an answer here", func(table *Table) { table.RecordReachable(first, after(time.Second)) }, EndReached, ""),
		ginkgo.Entry("an answer at another node", func(table *Table) {
			table.Merge([]Observation{{Server: first, ReachAge: 1}}, holder, after(time.Second))
		}, EndReached, holder.Node),
		ginkgo.Entry("a new incarnation", func(table *Table) { table.RecordReachable(second, after(time.Second)) }, EndIncarnation, ""),
		ginkgo.Entry("a removed record", func(table *Table) {
			table.Prune(func(string) bool { return false }, after(time.Second))
		}, EndRemoved, ""),
	)

	// Guards against a cut-off node whose attempts all fail: it must not renew a suspicion that
	// another node's answer ended, while other nodes are still believed.
	ginkgo.It("does not believe a node again whose suspicion another node's answer ended", func() {
		table, _ := suspicionTable()
		cutOff, other := Origin{Node: "cut:1"}, Origin{Node: "other:1"}
		unreachable := []Observation{{Server: first, Unreachable: true}}
		table.Merge(unreachable, cutOff, testStart)
		Expect(table.Suspected(first, testStart)).To(BeTrue())
		Expect(table.Merge([]Observation{{Server: first, ReachAge: 1}}, other, after(10*time.Millisecond))).To(BeTrue())
		for elapsed := 20 * time.Millisecond; elapsed < mistrustTime; elapsed += 100 * time.Millisecond {
			Expect(table.Merge(unreachable, cutOff, after(elapsed))).To(BeFalse())
			table.RecordReachable(first, after(elapsed))
			Expect(table.Suspected(first, after(elapsed))).To(BeFalse())
		}
		Expect(table.Merge(unreachable, other, after(mistrustTime))).To(BeTrue())
		Expect(table.Suspected(first, after(mistrustTime))).To(BeTrue())
	})

	// Guards against memory that grows with the nodes that ever reported a server wrongly.
	ginkgo.It("keeps a node's mistakes only for as long as it is not believed", func() {
		table, _ := suspicionTable()
		for i := range 100 {
			now := after(time.Duration(i) * time.Second)
			table.Merge([]Observation{{Server: first, Unreachable: true}}, Origin{Node: fmt.Sprintf("n%d:1", i)}, now)
			table.Merge([]Observation{{Server: first, ReachAge: 1}}, Origin{Node: "other:1"}, now.Add(time.Millisecond))
			table.Prune(func(string) bool { return true }, now.Add(2*time.Millisecond))
		}
		Expect(len(table.entries[first.ID].mistrusted)).To(BeNumerically("<=", int(mistrustTime/time.Second)))
	})

	// Guards against two nodes that both consider themselves the order holder and renew each other's
	// observations, which would never expire.
	ginkgo.It("never sends on what an order holder sent", func() {
		table, _ := suspicionTable()
		table.Merge([]Observation{{Server: first, LoadKnown: true, Load: testLoad, Unreachable: true}}, holder, testStart)
		loads, shared := table.LoadsFor("x:1", [][]*fleet.Server{{{ID: first.ID}}}, Received{}, testStart)
		Expect(shared).To(BeFalse())
		Expect(loads).To(BeEmpty())
		changes, _, _ := table.ReachChanges(0, testStart)
		Expect(changes).To(BeEmpty())
		unsent, _ := table.Unsent(Cursor{}, true, testStart)
		Expect(unsent).To(BeEmpty())
	})

	// Guards against a message whose size grows with the number of servers, and against
	// observations that stay unsent.
	ginkgo.It("sends at most 64 observations at a time, and the others next", func() {
		table, _ := suspicionTable()
		const servers = 100
		for i := range servers {
			server := fleet.Incarnation{ID: fmt.Sprint("s", i), Born: 1}
			table.RecordLoad(server, testLoad, testStart)
			if i%2 == 0 {
				table.RecordUnreachable(server, testStart)
			}
		}
		sent := map[string]int{}
		var cursor Cursor
		for range 3 {
			var observations []Observation
			observations, cursor = table.Unsent(cursor, true, testStart)
			Expect(len(observations)).To(BeNumerically("<=", MaxPerMessage))
			for _, one := range observations {
				if one.LoadKnown {
					sent[one.Server.ID]++
				}
			}
		}
		Expect(sent).To(HaveLen(servers))
		observations, _ := table.Unsent(cursor, true, testStart)
		Expect(observations).To(BeEmpty())
	})

	// Guards against messages in a system that does not need them.
	ginkgo.DescribeTable("shares only what a node can't observe itself",
		func(nodes int, loads, suspicions bool) {
			table := NewTable()
			table.SetNodes(nodes, testStart)
			table.RecordLoad(first, testLoad, testStart)
			table.RecordUnreachable(first, testStart)
			observations, _ := table.Unsent(Cursor{}, true, testStart)
			table.Merge([]Observation{{Server: second, LoadKnown: true, Load: testLoad}}, Origin{Node: "x:1"}, testStart)
			_, shared := table.LoadsFor("y:1", [][]*fleet.Server{{{ID: second.ID, Born: second.Born}}}, Received{}, testStart)
			Expect(shared).To(Equal(loads))
			Expect(len(observations) > 0 && observations[0].LoadKnown).To(Equal(loads))
			Expect(len(observations) > 0 && observations[0].Unreachable).To(Equal(suspicions))
		},
		ginkgo.Entry("unknown number of nodes", 0, false, false),
		ginkgo.Entry("16 nodes, 24 slots", 16, false, false),
		ginkgo.Entry("17 nodes, 24 slots", 17, false, true),
		ginkgo.Entry("24 nodes, 24 slots", 24, false, true),
		ginkgo.Entry("25 nodes, 24 slots", 25, true, true),
	)

	// Guards against a new holder, to which few nodes have reported yet, that ends all exchange.
	ginkgo.It("shares less only once fewer nodes are reported for some seconds", func() {
		table := NewTable()
		table.SetNodes(100, testStart)
		table.SetNodes(1, after(nodeCountTime-1))
		Expect(table.SharesLoads(24)).To(BeTrue())
		table.SetNodes(1, after(nodeCountTime))
		Expect(table.SharesLoads(24)).To(BeFalse())
		table.SetNodes(100, after(nodeCountTime))
		Expect(table.SharesLoads(24)).To(BeTrue())
	})

	// Guards against a choice that counts on arrivals of a time when a holder was there.
	ginkgo.It("forgets arrival rates that are not renewed", func() {
		table := NewTable()
		table.SetRates([]Rate{{Pool: "p", Model: "m", PerSecond: 3}}, testStart)
		table.Prune(func(string) bool { return true }, after(LoadLifetime))
		Expect(table.ArrivalRate("p", "m")).To(Equal(3.0))
		table.Prune(func(string) bool { return true }, after(LoadLifetime+1))
		Expect(table.ArrivalRate("p", "m")).To(BeZero())
	})
})

// holder is the order holder as the sender of observations.
var holder = Origin{Node: "h:1", Holder: true}

// suspicionTable returns a table of a large system and the begins and ends of its suspicions.
func suspicionTable() (*Table, *[]Suspicion) {
	table, told := NewTable(), &[]Suspicion{}
	table.SetNodes(100, testStart)
	table.OnSuspicion = func(suspicion Suspicion) { *told = append(*told, suspicion) }
	return table, told
}
