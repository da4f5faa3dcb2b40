package contract

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// MachineListFixture is one binding with one empty list behind it.
type MachineListFixture struct {
	Drive
	Service outside.MachineListService
	// Add lists a live machine, Reclaim announces that it leaves, and Remove
	// ends it.
	Add     func(machine outside.Machine)
	Reclaim func(server outside.ServerID, warning time.Duration) bool
	Remove  func(server outside.ServerID) bool
	// SetFaults sets by how much the list lags and whether it answers.
	SetFaults func(lag time.Duration, outage bool)
}

// listTimeout is the timeout of the suite's calls.
const listTimeout = 200 * time.Millisecond

func (f *MachineListFixture) list(since uint64) (listing *outside.MachineListing, err error) {
	ended := make(chan struct{})
	f.Service.List(since, listTimeout, func(read *outside.MachineListing, failure error) {
		listing, err = read, failure
		close(ended)
	})
	f.Await(ended)
	return listing, err
}

func (f *MachineListFixture) servers() map[outside.ServerID]outside.MachinePhase {
	ginkgo.GinkgoHelper()
	listing, err := f.list(0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	phases := map[outside.ServerID]outside.MachinePhase{}
	for _, machine := range listing.Machines {
		phases[machine.Server] = machine.Phase
	}
	return phases
}

// DescribeMachineListService declares the specifications of
// outside.MachineListService for a binding.
func DescribeMachineListService(binding string, setUp func() *MachineListFixture) {
	ginkgo.Describe("MachineListService over "+binding, func() {
		var fixture *MachineListFixture
		first := outside.Machine{
			Server: "glossa-1", Address: "127.0.0.1:7101", Pool: "glossa", Zone: "marousi",
			Region: "attica", Phase: outside.MachineLive, Engine: true,
		}
		second := outside.Machine{Server: "eggrafi-1", Pool: "eggrafi", Zone: "koropi", Phase: outside.MachineLive}
		ginkgo.BeforeEach(func() {
			fixture = setUp()
			fixture.Add(first)
			fixture.Add(second)
		})

		ginkgo.It("lists every field of the machines in order of server", func() {
			listing, err := fixture.list(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(listing.Machines).To(gomega.Equal([]outside.Machine{second, first}))
		})

		ginkgo.It("gives no listing when nothing changed, and a higher version when it did", func() {
			before, err := fixture.list(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			unchanged, err := fixture.list(before.Version)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(unchanged).To(gomega.BeNil())
			fixture.Remove(first.Server)
			after, err := fixture.list(before.Version)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(after).NotTo(gomega.BeNil())
			gomega.Expect(after.Version).To(gomega.BeNumerically(">", before.Version))
		})

		ginkgo.It("shows a machine that leaves with its end", func() {
			gomega.Expect(fixture.Reclaim(first.Server, time.Hour)).To(gomega.BeTrue())
			listing, err := fixture.list(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(listing.Machines[1].Phase).To(gomega.Equal(outside.MachineLeaving))
			gomega.Expect(listing.Machines[1].LeavesAt).To(gomega.BeTemporally(">", fixture.Now()))
			gomega.Expect(fixture.Reclaim("no-such-server", 0)).To(gomega.BeFalse())
		})

		ginkgo.DescribeTable("lags, but misses no machine that lives",
			func(change func(), whileLagging, afterwards map[outside.ServerID]outside.MachinePhase) {
				fixture.SetFaults(time.Hour, false)
				change()
				gomega.Expect(fixture.servers()).To(gomega.Equal(whileLagging))
				fixture.SetFaults(0, false)
				gomega.Expect(fixture.servers()).To(gomega.Equal(afterwards))
			},
			ginkgo.Entry("a machine that is gone is still listed",
				func() { fixture.Remove("glossa-1") },
				map[outside.ServerID]outside.MachinePhase{"glossa-1": "live", "eggrafi-1": "live"},
				map[outside.ServerID]outside.MachinePhase{"eggrafi-1": "live"}),
			ginkgo.Entry("a machine that leaves is still listed as live",
				func() { fixture.Reclaim("glossa-1", time.Hour) },
				map[outside.ServerID]outside.MachinePhase{"glossa-1": "live", "eggrafi-1": "live"},
				map[outside.ServerID]outside.MachinePhase{"glossa-1": "leaving", "eggrafi-1": "live"}),
			ginkgo.Entry("a new machine is listed at once",
				func() { fixture.Add(outside.Machine{Server: "glossa-2"}) },
				map[outside.ServerID]outside.MachinePhase{"glossa-1": "live", "glossa-2": "live", "eggrafi-1": "live"},
				map[outside.ServerID]outside.MachinePhase{"glossa-1": "live", "glossa-2": "live", "eggrafi-1": "live"}),
		)

		ginkgo.It("ends a call during an outage with an error", func() {
			fixture.SetFaults(0, true)
			_, err := fixture.list(0)
			gomega.Expect(errors.Is(err, outside.ErrServerUnreachable)).To(gomega.BeTrue(), "error: %v", err)
			fixture.SetFaults(0, false)
			gomega.Expect(fixture.servers()).To(gomega.HaveLen(2))
		})
	})
}
