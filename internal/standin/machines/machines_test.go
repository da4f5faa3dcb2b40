package machines_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
)

func TestMachines(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Machine-list stand-in")
}

func phases(list *machines.List) map[outside.ServerID]outside.MachinePhase {
	listing, err := list.Read(0)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	found := map[outside.ServerID]outside.MachinePhase{}
	for _, machine := range listing.Machines {
		found[machine.Server] = machine.Phase
	}
	return found
}

var _ = ginkgo.Describe("List", func() {
	const lag, warning = 10 * time.Second, 4 * time.Second
	var (
		loop *simulation.Loop
		list *machines.List
		told []string
	)
	ginkgo.BeforeEach(func() {
		loop = simulation.NewLoop(1)
		told = nil
		list = machines.NewList(loop, nil, machines.Hooks{
			Leaving: func(server outside.ServerID, at time.Time) {
				told = append(told, fmt.Sprint(server, " leaves in ", at.Sub(loop.Now())))
			},
			Gone: func(server outside.ServerID) { told = append(told, fmt.Sprint(server, " is gone")) },
		})
		list.SetFaults(machines.Faults{Lag: lag})
		list.Add(outside.Machine{Server: "a"})
	})

	ginkgo.It("shows a reclaimed machine's phases after the lag, and tells them at once", func() {
		list.Reclaim("a", warning)
		gomega.Expect(told).To(gomega.Equal([]string{"a leaves in 4s"}))
		loop.RunFor(warning)
		gomega.Expect(told).To(gomega.HaveLen(2))
		gomega.Expect(phases(list)).To(gomega.HaveKeyWithValue(outside.ServerID("a"), outside.MachineLive))
		loop.RunFor(lag - warning)
		gomega.Expect(phases(list)).To(gomega.HaveKeyWithValue(outside.ServerID("a"), outside.MachineLeaving))
		loop.RunFor(warning)
		gomega.Expect(phases(list)).To(gomega.BeEmpty())
	})

	ginkgo.It("does not end a machine that took the place of a reclaimed one", func() {
		list.Reclaim("a", warning)
		list.Add(outside.Machine{Server: "a"})
		loop.RunFor(time.Hour)
		gomega.Expect(phases(list)).To(gomega.HaveKeyWithValue(outside.ServerID("a"), outside.MachineLive))
		gomega.Expect(told).To(gomega.HaveLen(1))
	})
})

var _ = ginkgo.It("never misses a machine that lives, and raises the version with every change seen", func() {
	rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
		loop := simulation.NewLoop(1)
		list := machines.NewList(loop, nil, machines.Hooks{})
		version, shown := uint64(0), ""
		read := func() {
			listing, err := list.Read(0)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			listed := map[outside.ServerID]bool{}
			for _, machine := range listing.Machines {
				listed[machine.Server] = true
			}
			for _, machine := range list.Living() {
				if !listed[machine.Server] {
					t.Fatalf("%s lives but is not listed", machine.Server)
				}
			}
			if now := fmt.Sprint(listing.Machines); now != shown && listing.Version <= version {
				t.Fatalf("the list changed at version %d", version)
			} else {
				version, shown = listing.Version, now
			}
		}
		server := func(t *rapid.T) outside.ServerID {
			return outside.ServerID(rapid.StringMatching("[a-d]").Draw(t, "server"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"add":    func(t *rapid.T) { list.Add(outside.Machine{Server: server(t)}) },
			"remove": func(t *rapid.T) { list.Remove(server(t)) },
			"reclaim": func(t *rapid.T) {
				list.Reclaim(server(t), time.Duration(rapid.IntRange(0, 5).Draw(t, "s"))*time.Second)
			},
			"lag": func(t *rapid.T) {
				list.SetFaults(machines.Faults{Lag: time.Duration(rapid.IntRange(0, 9).Draw(t, "s")) * time.Second})
			},
			"wait": func(t *rapid.T) { loop.RunFor(time.Duration(rapid.IntRange(0, 5).Draw(t, "s")) * time.Second) },
			"":     func(*rapid.T) { read() },
		})
	})
})
