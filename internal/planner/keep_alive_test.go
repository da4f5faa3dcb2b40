package planner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/planner"
)

var _ = DescribeTable("Two replicas that were needed some time ago", func(policy string, idle time.Duration, unloaded int) {
	statistics := planner.NewStatistics()
	statistics.Observe(start.Add(-idle), "a", "group-a", 2)
	plan := mustPolicy(policy).Plan(&planner.Snapshot{
		Now: start, Statistics: statistics, Rows: []planner.Row{model("a", 3, 10*gigabyte)},
		Servers: []planner.Server{
			server("lm-1", 40*gigabyte, ready("a", "1", 0, 10*gigabyte)), server("lm-2", 40*gigabyte, ready("a", "1", 1, 10*gigabyte)),
		},
	})
	Expect(plan.Decisions).To(HaveLen(unloaded))
	for _, decision := range plan.Decisions {
		Expect(decision.Reason).To(Equal(planner.ReasonIdle))
	}
},
	Entry("are both kept for a while", planner.PolicyHatchplank, 30*time.Second, 0),
	Entry("lose the second replica first", planner.PolicyHatchplank, 90*time.Second, 1),
	Entry("are not kept beyond the longest keep-alive", planner.PolicyHatchplank, 11*time.Minute, 2),
	Entry("are both kept by fixed-keep-alive until its keep-alive ends", planner.PolicyFixedKeepAlive, 9*time.Minute, 0),
	Entry("are both unloaded by fixed-keep-alive after it", planner.PolicyFixedKeepAlive, 11*time.Minute, 2),
)
