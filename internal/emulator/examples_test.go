package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
)

var _ = DescribeTable("an example deployment runs",
	func(name string, engines, backEnds int) {
		deployment, workload, err := FromExample(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(deployment.Zones).To(Equal(workload.Zones))
		w := NewWorld(Options{
			Deployment: deployment, Seed: 1, Nodes: 4, Mechanisms: applier.AllMechanisms(),
			Limits: checker.DefaultLimits(), Logger: zerolog.Nop(),
		})
		Expect(w.EngineServers).To(HaveLen(engines))
		Expect(w.BackEndServers).To(HaveLen(backEnds))
		w.Loop.RunFor(2 * time.Second)
		w.Import(nil)
		w.Loop.RunFor(13 * time.Second)
		Expect(w.rows.Rows()).To(HaveLen(len(deployment.Rows)))
		w.StartWorkload(DefaultWorkload(), w.Loop.Now().Add(20*time.Second))
		w.Loop.RunFor(2 * time.Minute)
		report := w.Checker.Finish(w.Loop.Now())
		Expect(report.Served).To(BeNumerically(">", 20))
		Expect(report.Violations()).To(BeZero(), "%+v", report.Tallies)
	},
	Entry("schools", examples.Schools, 18, 4),
	Entry("abay", examples.Abay, 18, 3),
)

var _ = Describe("FromExample", func() {
	It("refuses an unknown name", func() {
		_, _, err := FromExample("crete")
		Expect(err).To(MatchError(examples.ErrUnknown))
	})
})
