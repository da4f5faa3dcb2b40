package orders

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/standin/peers"
)

// fleetNodes is the number of nodes that report to a holder in these tests.
const fleetNodes = 984

// reportingFleet returns a holder whose term has just begun, and the update that the last of many
// nodes gets in reply to its first report.
func reportingFleet() (*Holder, Update) {
	holder := holderOf(largeSnapshot(0), &countingEngines{}, func(string, Update) {})
	holder.term, holder.termStart = newTerm(5, time.Now(), time.Now().Add(time.Minute), true), time.Now()
	var update Update
	for number := range fleetNodes {
		name := fmt.Sprint("n", number)
		update, _ = holder.HandleReport(DemandReport{Node: name, Address: name + ":1", Sequence: 1, Started: 1})
	}
	return holder, update
}

// Guards against the reports of a whole fleet every 0.4 s until a new holder knows how many nodes
// share limits, 26 s at 985 nodes: it had no time left to read the store.
func TestReportsAreSpacedBeforeTheHolderKnowsTheFleetSize(t *testing.T) {
	RegisterTestingT(t)
	_, update := reportingFleet()
	Expect(update.Nodes).To(BeZero(), "the fleet may be larger")
	Expect(update.Reporting).To(Equal(fleetNodes))
	view := fleet.NewView()
	var shared []int
	link := NewLink(LinkConfig{
		View: view, Notices: notice.NewRegistry(notice.Config{View: view}), Transport: peers.NewNetwork().Add("n:1"),
		SetNodes: func(nodes int) { shared = append(shared, nodes) }, SetCounters: func(ratelimit.Counters) {}, Logger: zerolog.Nop(),
	})
	link.apply(update, "h:1")
	Expect(link.period()).To(Equal(reportPeriodOf(fleetNodes)))
	Expect(shared).To(BeEmpty())
}

// Guards against work that grows with the number of nodes for each report of one of them.
func TestCountingNodesAllocatesNothing(t *testing.T) {
	RegisterTestingT(t)
	holder, _ := reportingFleet()
	Expect(testing.AllocsPerRun(100, func() { holder.demand.liveCount(time.Now()) })).To(BeZero())
}

// BenchmarkHandleReport measures one report to the holder of a large fleet.
func BenchmarkHandleReport(b *testing.B) {
	holder, _ := reportingFleet()
	b.ReportAllocs()
	for sequence := uint64(2); b.Loop(); sequence++ {
		holder.HandleReport(DemandReport{Node: "n1", Address: "n1:1", Sequence: sequence, Started: 1})
	}
}
