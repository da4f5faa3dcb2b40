package simulation_test

import (
	"testing"
	"time"

	"github.com/hatchplank/hatchplank/internal/simulation"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSimulation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Simulation")
}

var _ = Describe("Loop", func() {
	It("runs no event beyond the end time when a stopped event precedes it", func() {
		loop := simulation.NewLoop(1)
		ran := false
		loop.AfterFunc(time.Second, func() {}).Stop()
		loop.AfterFunc(time.Minute, func() { ran = true })
		loop.RunFor(2 * time.Second)
		Expect(ran).To(BeFalse())
		Expect(loop.Now()).To(Equal(simulation.Epoch.Add(2 * time.Second)))
	})
})
