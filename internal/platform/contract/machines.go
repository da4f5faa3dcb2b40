package contract

import (
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/platform"
)

// MachineListFixture is one binding with one empty list behind it.
type MachineListFixture struct {
	Drive
	Service platform.MachineListService
	// Add lists a live machine, Reclaim announces that it leaves, and Remove
	// ends it.
	Add     func(machine platform.Machine)
	Reclaim func(server platform.ServerID, warning time.Duration) bool
	Remove  func(server platform.ServerID) bool
	// SetFaults sets by how much the list lags and whether it answers.
	SetFaults func(lag time.Duration, outage bool)
}

// listTimeout is the timeout of the suite's calls.
const listTimeout = 200 * time.Millisecond

func (f *MachineListFixture) list(since uint64) (listing *platform.MachineListing, err error) {
	ended := make(chan struct{})
	f.Service.List(since, listTimeout, func(read *platform.MachineListing, failure error) {
		listing, err = read, failure
		close(ended)
	})
	f.Await(ended)
	return listing, err
}

func (f *MachineListFixture) servers() map[platform.ServerID]platform.MachinePhase {
	ginkgo.GinkgoHelper()
	listing, err := f.list(0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	phases := map[platform.ServerID]platform.MachinePhase{}
	for _, machine := range listing.Machines {
		phases[machine.Server] = machine.Phase
	}
	return phases
}

// DescribeMachineListService declares the specifications of
// platform.MachineListService for a binding.
func DescribeMachineListService(binding string, setUp func() *MachineListFixture) {
	ginkgo.Describe("MachineListService over "+binding, func() {
		var fixture *MachineListFixture
		first := platform.Machine{
			Server: "glossa-1", Address: "127.0.0.1:7101", Pool: "glossa", Zone: "marousi",
			Region: "attica", Phase: platform.MachineLive, Engine: true,
		}
		second := platform.Machine{Server: "eggrafi-1", Pool: "eggrafi", Zone: "koropi", Phase: platform.MachineLive}
		ginkgo.BeforeEach(func() {
			fixture = setUp()
			fixture.Add(first)
			fixture.Add(second)
		})

		ginkgo.It("lists every field of the machines in order of server", func() {
			listing, err := fixture.list(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(listing.Machines).To(gomega.Equal([]platform.Machine{second, first}))
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
			gomega.Expect(listing.Machines[1].Phase).To(gomega.Equal(platform.MachineLeaving))
			gomega.Expect(listing.Machines[1].LeavesAt).To(gomega.BeTemporally(">", fixture.Now()))
			gomega.Expect(fixture.Reclaim("no-such-server", 0)).To(gomega.BeFalse())
		})

		ginkgo.DescribeTable("lags, but misses no machine that lives",
			func(change func(), whileLagging, afterwards map[platform.ServerID]platform.MachinePhase) {
				fixture.SetFaults(time.Hour, false)
				change()
				gomega.Expect(fixture.servers()).To(gomega.Equal(whileLagging))
				fixture.SetFaults(0, false)
				gomega.Expect(fixture.servers()).To(gomega.Equal(afterwards))
			},
			ginkgo.Entry("a machine that is gone is still listed",
				func() { fixture.Remove("glossa-1") },
				map[platform.ServerID]platform.MachinePhase{"glossa-1": "live", "eggrafi-1": "live"},
				map[platform.ServerID]platform.MachinePhase{"eggrafi-1": "live"}),
			ginkgo.Entry("a machine that leaves is still listed as live",
				func() { fixture.Reclaim("glossa-1", time.Hour) },
				map[platform.ServerID]platform.MachinePhase{"glossa-1": "live", "eggrafi-1": "live"},
				map[platform.ServerID]platform.MachinePhase{"glossa-1": "leaving", "eggrafi-1": "live"}),
			ginkgo.Entry("a new machine is listed at once",
				func() { fixture.Add(platform.Machine{Server: "glossa-2"}) },
				map[platform.ServerID]platform.MachinePhase{"glossa-1": "live", "glossa-2": "live", "eggrafi-1": "live"},
				map[platform.ServerID]platform.MachinePhase{"glossa-1": "live", "glossa-2": "live", "eggrafi-1": "live"}),
		)

		ginkgo.It("ends a call during an outage with an error", func() {
			fixture.SetFaults(0, true)
			_, err := fixture.list(0)
			gomega.Expect(errors.Is(err, platform.ErrServerUnreachable)).To(gomega.BeTrue(), "error: %v", err)
			fixture.SetFaults(0, false)
			gomega.Expect(fixture.servers()).To(gomega.HaveLen(2))
		})
	})
}
