package emulator

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/planner"
)

// shortScenario has one small earlier round and a short measured span.
func shortScenario() PolicyScenario {
	scenario := DefaultPolicyScenario()
	scenario.Nodes, scenario.EarlierRounds = 3, 1
	scenario.FirstOpening, scenario.Period = 30*time.Second, 5*time.Minute
	scenario.Earlier = RoundShape{Opening: time.Minute, Tail: time.Minute, TailRamp: time.Minute, TailScale: 0.2}
	scenario.Measured = RoundShape{Opening: 2 * time.Minute, Tail: time.Minute, TailRamp: time.Minute, TailScale: 0.1}
	scenario.QuietBefore, scenario.QuietAfter = time.Minute, 7*time.Minute
	scenario.ReplacementPause = time.Second
	return scenario
}

func runShort(example string, choice PolicyChoice, seed uint64) *PolicyRun {
	deployment, workload, err := FromExample(example)
	Expect(err).NotTo(HaveOccurred())
	return RunPolicy(PolicyOptions{
		Deployment: deployment, Workload: workload, Scenario: shortScenario(), Choice: choice, Seed: seed,
	})
}

var _ = DescribeTable("a policy run",
	func(example string) {
		calls := -1
		for _, choice := range PolicyChoices() {
			run := runShort(example, choice, 1)
			figures := run.Figures()
			Expect(run.Report.Violations()).To(BeZero(), "%s: %+v", choice.Label, run.Report.Tallies)
			if calls < 0 {
				calls = figures.Requests
			}
			Expect(figures.Requests).To(Equal(calls), "all policies get the same calls")
			Expect(figures.FirstRequests).To(BeNumerically(">", 50))
			Expect(figures.IdleBound).To(BeNumerically("<=", figures.SameWaitsBound))
			Expect(figures.SameWaitsBound).To(BeNumerically("<=", figures.IdleHours), choice.Label)
			Expect(figures.IdleBound).To(BeNumerically(">", 0))
			Expect(figures.ColdBound).To(BeNumerically(">", 0))
			if choice.Label == planner.PolicyOnDemandLRU || choice.Label == planner.PolicyFixedKeepAlive {
				Expect(figures.ColdRatio()).To(BeNumerically(">=", 1), choice.Label)
			}
		}
	},
	Entry("schools", examples.Schools),
	Entry("abay", examples.Abay),
)

var _ = Describe("a policy run", func() {
	It("is the same for the same seed", func() {
		choice := PolicyChoices()[0]
		first, second := runShort(examples.Abay, choice, 2), runShort(examples.Abay, choice, 2)
		Expect(second.Figures()).To(Equal(first.Figures()))
	})
})
