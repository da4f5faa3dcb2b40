package directory

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/table"
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Directory")
}

type fakeTable struct{ table.View }

func (fakeTable) Row(name string) (table.Row, bool) {
	if name == "tone" {
		return table.Row{Name: name, Kind: table.KindAdapter, Base: "m"}, true
	}
	return table.Row{Name: name, Kind: table.KindModel}, true
}

func (fakeTable) Revision() table.Revision { return 3 }

// fakeDemand has one row, with waiting requests while waiting is set.
type fakeDemand struct{ waiting bool }

func (f *fakeDemand) DemandOf(row string, _ time.Time) (Demand, bool) {
	return Demand{Row: row, Waiting: 1}, true
}

func (f *fakeDemand) Demands(_ time.Time, all bool) []Demand {
	if !f.waiting && !all {
		return nil
	}
	return []Demand{{Row: "tone", Waiting: 1}}
}

// fixture holds a directory and a second simulated node, the owner of cell c1.
type fixture struct {
	loop      *simulation.Loop
	network   *simulation.Network
	directory *Directory
	demand    *fakeDemand
	owner     peer.Transport
	// owners holds the peer address of each cell's owner.
	owners map[string]string
	// reports are those that the owner received; changed lists the models that subscribers were
	// notified of.
	reports []DemandReport
	changed []string
}

func (f *fixture) OwnerOf(cell string) (membership.Owner, bool) {
	address, found := f.owners[cell]
	return membership.Owner{Cell: cell, Member: membership.Member{PeerAddress: address}}, found
}

func newFixture() *fixture {
	loop := simulation.NewLoop(1)
	network := simulation.NewNetwork(loop)
	peers := simulation.NewPeerNetwork(network)
	f := &fixture{loop: loop, network: network, demand: &fakeDemand{}, owners: map[string]string{"c1": "owner"}}
	f.owner = peers.Transport(simulation.NewProcess(loop, "owner"))
	f.owner.Handle(DemandReport{}, func(_ string, message peer.Message, reply func(peer.Message, error)) {
		f.reports = append(f.reports, message.(DemandReport))
		reply(update("c1", 1, uint64(len(f.reports)), "m", "s1"), nil)
	})
	f.directory = New(Config{
		Clock: loop, Transport: peers.Transport(simulation.NewProcess(loop, "gateway")), Ownership: f,
		Cells: func(string) []string { return []string{"c1"} }, Table: fakeTable{},
		Gateway: "g#1", PeerAddress: "gateway", Logger: zerolog.Nop(),
	})
	f.directory.SetDemandSource(f.demand)
	f.directory.Subscribe(func(model string) { f.changed = append(f.changed, model) })
	return f
}

// tickFor runs the loop for the span and calls Tick every 100 ms.
func (f *fixture) tickFor(span time.Duration) {
	for range int(span / (100 * time.Millisecond)) {
		f.loop.RunFor(100 * time.Millisecond)
		f.directory.Tick(f.loop.Now())
	}
}

// update returns an update of one model with an endpoint on each of the servers.
func update(cell string, epoch, sequence uint64, model string, servers ...string) EndpointUpdate {
	row := RowEndpoints{Model: model}
	for _, server := range servers {
		row.Endpoints = append(row.Endpoints, Endpoint{Server: outside.ServerID(server), Model: model})
	}
	return EndpointUpdate{Cell: cell, Epoch: epoch, Sequence: sequence, Rows: []RowEndpoints{row}}
}

// servers returns the servers of the model's endpoints that accept requests.
func (f *fixture) servers(model string) []string {
	servers := []string{}
	for _, endpoint := range f.directory.Endpoints(model).Endpoints {
		servers = append(servers, string(endpoint.Server))
	}
	return servers
}

var _ = DescribeTable("updates of one cell",
	func(expected []string, updates ...EndpointUpdate) {
		f := newFixture()
		for _, each := range updates {
			f.directory.Apply(each)
		}
		Expect(f.servers("m")).To(Equal(expected))
	},
	Entry("applies a newer sequence", []string{"b"}, update("c", 1, 1, "m", "a"), update("c", 1, 2, "m", "b")),
	Entry("ignores an older sequence", []string{"b"}, update("c", 1, 2, "m", "b"), update("c", 1, 1, "m", "a")),
	Entry("ignores a repeated sequence", []string{"a"}, update("c", 1, 1, "m", "a"), update("c", 1, 1, "m", "b")),
	Entry("applies a newer epoch", []string{"b"}, update("c", 1, 9, "m", "a"), update("c", 2, 1, "m", "b")),
	Entry("ignores an older epoch", []string{"b"}, update("c", 2, 1, "m", "b"), update("c", 1, 9, "m", "a")),
	Entry("ignores an older epoch for another model", []string{}, update("c", 2, 1, "n", "b"), update("c", 1, 9, "m", "a")),
	Entry("applies an older sequence for another model", []string{"a"}, update("c", 1, 2, "n", "b"), update("c", 1, 1, "m", "a")),
	Entry("merges two cells", []string{"a", "b"}, update("d", 1, 1, "m", "b"), update("c", 5, 1, "m", "a")),
	Entry("removes the last endpoint", []string{}, update("c", 1, 1, "m", "a"), update("c", 1, 2, "m")),
)

var _ = Describe("Directory", func() {
	It("reports a row's demand at once and applies the reply", func() {
		f := newFixture()
		f.directory.ReportDemand("tone")
		f.directory.ReportDemand("tone")
		f.loop.RunFor(10 * time.Millisecond)
		Expect(f.reports).To(HaveLen(1))
		Expect(f.reports[0].Demands).To(HaveLen(1))
		Expect(f.reports[0].Gateway).To(Equal("g#1"))
		Expect(f.servers("m")).To(Equal([]string{"s1"}))
		Expect(f.changed).To(Equal([]string{"m"}))
	})

	It("repeats a lost report while a request waits", func() {
		f := newFixture()
		f.demand.waiting = true
		f.network.Cut = func(string, string) bool { return true }
		f.directory.ReportDemand("tone")
		f.tickFor(3 * time.Second)
		Expect(f.reports).To(BeEmpty())
		f.network.Cut = func(string, string) bool { return false }
		f.tickFor(time.Second)
		Expect(f.servers("m")).To(Equal([]string{"s1"}))
	})

	It("reports the digests of cached rows until an endpoint is invalidated", func() {
		f := newFixture()
		cached := update("c1", 0, 1, "m", "a")
		cached.Revision = 3
		cached.Rows[0].Digest = 9
		f.directory.Apply(cached)
		f.directory.ReportDemand("m")
		f.loop.RunFor(100 * time.Millisecond)
		Expect(f.reports[0].Known).To(Equal([]CachedRow{{Model: "m", Digest: 9}}))
		f.directory.Apply(cached)
		f.directory.Invalidate("m", "a", 0)
		f.directory.ReportDemand("m")
		f.loop.RunFor(100 * time.Millisecond)
		Expect(f.reports[1].Known).To(BeEmpty())
	})

	It("reports rows with traffic only once each period", func() {
		f := newFixture()
		f.tickFor(10 * time.Second)
		Expect(len(f.reports)).To(BeNumerically("~", 5, 1))
	})

	It("keeps its endpoints when the owner is unreachable or unknown", func() {
		f := newFixture()
		f.directory.ReportDemand("m")
		f.loop.RunFor(time.Second)
		f.network.Cut = func(string, string) bool { return true }
		delete(f.owners, "c1")
		f.demand.waiting = true
		f.tickFor(10 * time.Minute)
		Expect(f.servers("m")).To(Equal([]string{"s1"}))
	})

	It("applies updates that the owner sends without a report", func() {
		f := newFixture()
		f.owner.Send("gateway", update("c1", 1, 7, "m", "s2"))
		f.loop.RunFor(time.Second)
		Expect(f.servers("m")).To(Equal([]string{"s2"}))
	})

	It("uses no leaving server, whatever the owner reports", func() {
		f := newFixture()
		f.directory.Apply(update("c1", 1, 1, "m", "s1", "s2"))
		f.directory.MarkLeaving("s1")
		Expect(f.servers("m")).To(Equal([]string{"s2"}))
		f.directory.Apply(update("c1", 1, 2, "m", "s1", "s2"))
		Expect(f.servers("m")).To(Equal([]string{"s2"}))
	})

	It("marks an engine as leaving that is no longer listed", func() {
		f := newFixture()
		f.directory.Apply(update("c1", 1, 1, "m", "s1", "s2"))
		machines := []outside.Machine{{Server: "s1", Engine: true}, {Server: "s2", Engine: true}}
		f.directory.ApplyListing(outside.MachineListing{Version: 1, Machines: machines})
		Expect(f.servers("m")).To(Equal([]string{"s1", "s2"}))
		f.directory.ApplyListing(outside.MachineListing{Version: 2, Machines: machines[1:]})
		Expect(f.servers("m")).To(Equal([]string{"s2"}))
	})

	It("removes an invalidated endpoint until a newer update", func() {
		f := newFixture()
		f.directory.Apply(update("c1", 1, 1, "m", "s1"))
		f.directory.Invalidate("m", "s1", 0)
		f.directory.Apply(update("c1", 1, 1, "m", "s1"))
		Expect(f.servers("m")).To(BeEmpty())
		f.directory.Apply(update("c1", 1, 2, "m", "s1"))
		Expect(f.servers("m")).To(Equal([]string{"s1"}))
	})

	It("reports a model as refused only if all cells refuse it", func() {
		f := newFixture()
		refused := update("c1", 1, 1, "m")
		refused.Rows[0].Refused = "no_memory"
		refused.Revision = 2
		f.directory.Apply(refused)
		Expect(f.directory.Snapshot("m").Refused).To(BeEmpty(), "the owner's table is older")
		refused.Revision, refused.Sequence = 3, 2
		f.directory.Apply(refused)
		Expect(f.directory.Snapshot("m").Refused).To(Equal("no_memory"))
		f.directory.Apply(update("c2", 1, 1, "m"))
		Expect(f.directory.Snapshot("m").Refused).To(BeEmpty())
	})
})

var _ = Describe("BackEnds", func() {
	listing := func(version uint64, phase outside.MachinePhase) outside.MachineListing {
		return outside.MachineListing{Version: version, Machines: []outside.Machine{
			{Server: "e1", Pool: "eggrafi", Phase: phase}, {Server: "s1", Pool: "glossa", Engine: true},
		}}
	}

	It("has the pools of servers other than engines", func() {
		backEnds := NewBackEnds(0)
		changed := []string{}
		backEnds.Subscribe(func(pool string) { changed = append(changed, pool) })
		backEnds.ApplyListing(listing(1, outside.MachineLive))
		Expect(backEnds.Snapshot("eggrafi").Usable()).To(BeTrue())
		Expect(backEnds.Snapshot("glossa")).To(BeNil())
		backEnds.ApplyListing(listing(2, outside.MachineLive))
		Expect(changed).To(Equal([]string{"eggrafi"}))
		backEnds.ApplyListing(listing(3, outside.MachineLeaving))
		Expect(backEnds.Snapshot("eggrafi").Usable()).To(BeFalse())
		backEnds.ApplyListing(listing(1, outside.MachineLive))
		Expect(backEnds.Snapshot("eggrafi").Usable()).To(BeFalse())
		backEnds.ApplyListing(outside.MachineListing{Version: 4})
		Expect(backEnds.Snapshot("eggrafi").Endpoints).To(BeEmpty())
	})

	It("keeps servers marked as leaving when a listing lags", func() {
		backEnds := NewBackEnds(0)
		backEnds.ApplyListing(listing(1, outside.MachineLive))
		backEnds.MarkLeaving("e1")
		backEnds.ApplyListing(listing(2, outside.MachineLive))
		Expect(backEnds.Snapshot("eggrafi").Usable()).To(BeFalse())
	})
})

// TestUpdatesInAnyOrder checks that the result depends only on the set of updates of the latest
// epoch, not on the order in which they arrive, and that updates of older epochs have no effect.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var updates []EndpointUpdate
		for sequence := range rapid.IntRange(1, 12).Draw(t, "count") {
			model := rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model")
			server := rapid.StringMatching("[a-d]").Draw(t, "server")
			updates = append(updates, update("c", 3, uint64(sequence+1), model, server))
		}
		inOrder, shuffled := newFixture(), newFixture()
		for _, each := range updates {
			inOrder.directory.Apply(each)
		}
		for _, each := range rapid.Permutation(updates).Draw(t, "order") {
			shuffled.directory.Apply(each)
			shuffled.directory.Apply(update("c", 2, 100, "m", "stale"))
		}
		for _, model := range []string{"m", "n"} {
			if a, b := inOrder.servers(model), shuffled.servers(model); len(a) != len(b) || (len(a) > 0 && a[0] != b[0]) {
				t.Fatalf("model %s: %v in order, %v shuffled", model, a, b)
			}
		}
	})
}
