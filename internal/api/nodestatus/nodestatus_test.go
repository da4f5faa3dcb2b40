package nodestatus_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/api"
	"github.com/hatchplank/hatchplank/internal/api/nodestatus"
	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

func TestNodeStatus(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Node Status Suite")
}

// fakeNode implements the dependencies of one node's Collector.
type fakeNode struct {
	*table.Snapshot
	self    membership.Member
	members []membership.Member
	cells   []applier.CellStatus
	groups  []gateway.GroupStats
}

func (p *fakeNode) Self() membership.Member      { return p.self }
func (p *fakeNode) Members() []membership.Member { return p.members }

func (p *fakeNode) OwnerOf(cell string) (membership.Owner, bool) {
	return membership.Owner{Cell: cell, Epoch: 3, Member: p.members[0]}, cell == "c"
}

func (p *fakeNode) InForce(done func([]tablestore.NodeRevision)) {
	done([]tablestore.NodeRevision{{Member: p.self, Revision: 7, Answered: true}})
}

func (p *fakeNode) Machine(outside.ServerID) (outside.Machine, bool) {
	return outside.Machine{Pool: "glossa"}, true
}

// cellStatuses and stats add the remaining interfaces, Cells and Requests, to a fakeNode.
type cellStatuses struct{ *fakeNode }

func (c cellStatuses) Status() []applier.CellStatus { return c.cells }

type stats struct{ *fakeNode }

func (s stats) Stats() gateway.Stats { return gateway.Stats{Groups: s.groups} }

func replica(model string, slot outside.SlotID, adapters ...string) applier.ReplicaStatus {
	return applier.ReplicaStatus{Model: model, Slot: slot, Phase: outside.ReplicaReady, Reason: "waiting requests", Adapters: adapters}
}

var _ = Describe("Collector", func() {
	var loop *simulation.Loop
	var collectors []*nodestatus.Collector
	var processes []*simulation.Process

	BeforeEach(func() {
		loop = simulation.NewLoop(1)
		peers := simulation.NewPeerNetwork(simulation.NewNetwork(loop))
		collectors, processes = nil, nil
		members := []membership.Member{{Name: "a", PeerAddress: "a"}, {Name: "b", PeerAddress: "b"}, {Name: "c", PeerAddress: "c"}}
		rows := []table.Row{{Name: "dossier", Tenant: "attica", MinReplicas: 1, MaxReplicas: 4}, {Name: "idle", Tenant: "ionia"}}
		for index, member := range members {
			process := simulation.NewProcess(loop, member.Name)
			node := &fakeNode{
				Snapshot: table.NewSnapshot(table.Revision(7+index), rows), self: member, members: members,
				groups: []gateway.GroupStats{{Name: "dossier", Waiting: 1 + index, Running: 2}, {Name: "pool/eggrafi", Waiting: 3}},
				cells: []applier.CellStatus{{Cell: "c", Servers: []applier.ServerStatus{{
					Server: outside.ServerID("s-" + member.Name), Listed: true, Adopted: index != 1, CommittedBytes: 5,
					Replicas: []applier.ReplicaStatus{replica("dossier", outside.SlotID(2-index), "tone")},
				}}}},
			}
			processes = append(processes, process)
			collectors = append(collectors, nodestatus.New(nodestatus.Config{
				Clock: process, Members: node, Ownership: node, CellNames: []string{"c", "d"}, Table: node,
				Cells: cellStatuses{node}, Requests: stats{node}, Machines: node, Transport: peers.Transport(process),
			}))
		}
	})

	collect := func() api.Status {
		GinkgoHelper()
		calls := 0
		var status api.Status
		collectors[0].Status(time.Second, func(s api.Status, err error) {
			Expect(err).NotTo(HaveOccurred())
			calls, status = calls+1, s
		})
		Expect(calls).To(BeZero(), "done was called before Status returned")
		loop.RunFor(time.Minute)
		Expect(calls).To(Equal(1))
		return status
	}

	It("merges the replies of all nodes", func() {
		status := collect()
		Expect(status.Unreachable).To(BeEmpty())
		Expect(status.Rows).To(HaveLen(3))
		dossier := status.Rows[0]
		Expect(dossier.Row).To(Equal("dossier"))
		Expect([]int{dossier.Waiting, dossier.Running, dossier.MinReplicas, dossier.MaxReplicas}).To(Equal([]int{6, 6, 1, 4}))
		Expect(dossier.Replicas).To(HaveLen(3))
		Expect([]string{dossier.Replicas[0].Server, dossier.Replicas[2].Server}).To(Equal([]string{"s-c", "s-a"}))
		Expect(dossier.Replicas[0].Reason).To(Equal("waiting requests"))
		Expect(status.Rows[1]).To(Equal(api.RowStatus{Row: "idle", Tenant: "ionia", Replicas: []api.ReplicaStatus{}}))
		Expect(status.Rows[2].Row).To(Equal("tone"))
		Expect(status.Rows[2].Replicas).To(HaveLen(3))
		Expect(status.Pools).To(Equal([]api.PoolStatus{{Pool: "eggrafi", Waiting: 9}}))
		Expect(status.Servers[1]).To(Equal(api.ServerStatus{Server: "s-b", Pool: "glossa", Cell: "c", State: "not_adopted", ReservedBytes: 5}))
		Expect(status.Members[2].Revision).To(BeEquivalentTo(9))
		Expect(status.Owners).To(Equal([]api.OwnerStatus{{Cell: "c", Member: "a", Epoch: 3}, {Cell: "d", Vacant: true, Member: "a", Epoch: 3}}))
	})

	It("lists the nodes that do not answer", func() {
		processes[2].Pause()
		status := collect()
		Expect(status.Unreachable).To(Equal([]string{"c"}))
		Expect(status.Rows[0].Waiting).To(Equal(3))
		Expect(status.Members).To(HaveLen(3))
	})

	It("reports whether a revision is in force", func() {
		var status api.RevisionStatus
		collectors[0].RevisionStatus(8, time.Second, func(f api.RevisionStatus, _ error) { status = f })
		Expect(status.InForce).To(BeFalse())
		collectors[0].RevisionStatus(7, time.Second, func(f api.RevisionStatus, _ error) { status = f })
		Expect(status.InForce).To(BeTrue())
	})
})

// stubKeyValues completes its calls with err.
type stubKeyValues struct {
	outside.KeyValueService
	err error
}

func (f *stubKeyValues) KeepAlive(_ outside.LeaseID, _ time.Duration, done func(error)) {
	done(f.err)
}

func (f *stubKeyValues) Range(_ string, _ time.Duration, done func(outside.RangeResult, error)) {
	done(outside.RangeResult{}, f.err)
}

var _ = Describe("the health of a platform service", func() {
	It("reflects the newest call and keeps the time of the last success", func() {
		loop := simulation.NewLoop(1)
		observer := nodestatus.NewServiceObserver("key-value", loop)
		service := &stubKeyValues{}
		observed := nodestatus.ObserveKeyValues(service, observer)
		health := nodestatus.HealthOf(observer)
		Expect(health().Services[0].Healthy).To(BeFalse())
		observed.Range("", time.Second, func(outside.RangeResult, error) {})
		Expect(health().Services[0].Healthy).To(BeTrue())
		loop.RunFor(time.Minute)
		service.err = outside.ErrAmbiguous
		var got error
		observed.KeepAlive(1, time.Second, func(err error) { got = err })
		Expect(errors.Is(got, outside.ErrAmbiguous)).To(BeTrue())
		Expect(health().Services[0].Healthy).To(BeFalse())
		Expect(health().Services[0].LastSuccess).To(Equal(simulation.Epoch))
		service.err = outside.ErrLeaseNotFound
		observed.KeepAlive(1, time.Second, func(error) {})
		Expect(health().Services[0].Healthy).To(BeTrue())
	})
})
