package planner_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/planner"
)

var _ = Describe("Memory for adapters", func() {
	It("is gained by one more replica of the base model if an adapter in demand fits beside none", func() {
		held := ready("base", "1", 0, 20*gigabyte)
		plan := mustPolicy(planner.PolicyHatchplank).Plan(&planner.Snapshot{
			Now:     start,
			Rows:    []planner.Row{model("base", 3, 20*gigabyte), waiting(adapter("style", "base", 2, gigabyte), 1)},
			Servers: []planner.Server{server("lm-1", 20*gigabyte, held), server("lm-2", 40*gigabyte)},
		})
		Expect(plan.Decisions).To(ContainElement(SatisfyAll(
			HaveField("Action", planner.ActionLoad), HaveField("Server", BeEquivalentTo("lm-2")), HaveField("Model", "base"))))
		Expect(plan.Decisions).To(ContainElement(SatisfyAll(
			HaveField("Action", planner.ActionLoadAdapter), HaveField("Adapter", "style"))))
	})

	It("is reserved beside a base model while other servers have free memory", func() {
		held := ready("base", "1", 0, 20*gigabyte)
		plan := mustPolicy(planner.PolicyHatchplank).Plan(&planner.Snapshot{
			Now: start,
			Rows: []planner.Row{
				model("base", 1, 20*gigabyte), waiting(model("other", 1, 10*gigabyte), 1), adapter("style", "base", 2, 2*gigabyte),
			},
			Servers: []planner.Server{server("lm-1", 30*gigabyte, held), server("lm-2", 60*gigabyte)},
		})
		Expect(plan.Decisions).To(ContainElement(SatisfyAll(
			HaveField("Action", planner.ActionLoad), HaveField("Model", "other"), HaveField("Server", BeEquivalentTo("lm-2")))))
	})
})
