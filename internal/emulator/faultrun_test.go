package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fault run", func() {
	It("keeps every promise", func() {
		for seed := range uint64(3) {
			run := RunFaults(miniatureOptions(seed), 2*time.Minute)
			GinkgoWriter.Printf("%+v\n", run)
			Expect(run.Report.Served).To(BeNumerically(">", 100))
			Expect(run.Report.Violations()).To(BeZero(), "seed %d: %+v", seed, run.Report.Tallies)
		}
	})

	It("is the same for the same seed", func() {
		first := RunFaults(miniatureOptions(1), time.Minute)
		second := RunFaults(miniatureOptions(1), time.Minute)
		Expect(second.Trace).To(Equal(first.Trace))
	})
})
