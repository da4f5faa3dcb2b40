package planner_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/planner"
)

// observeRound records calls of five models within two minutes.
func observeRound(statistics *planner.Statistics, at time.Time) {
	for i := range 5 {
		statistics.Observe(at.Add(time.Duration(i)*20*time.Second), fmt.Sprintf("model-%d", i), "group-a", 1)
	}
}

var _ = Describe("Sessions", func() {
	It("are not started by isolated calls", func() {
		statistics := planner.NewStatistics()
		for hour := range 48 {
			statistics.Observe(start.Add(time.Duration(hour)*time.Hour), fmt.Sprintf("model-%d", hour%5), "group-a", 1)
		}
		Expect(statistics.Tenant("group-a").Starts).To(BeEmpty())
		observeRound(statistics, start.Add(50*time.Hour))
		Expect(statistics.Tenant("group-a").Starts).To(HaveLen(1))
		Expect(statistics.SessionShare("model-1", "group-a")).To(BeZero(), "no session came before")
	})

	It("continue through pauses and are counted once", func() {
		statistics := planner.NewStatistics()
		for minute := range 30 {
			observeRound(statistics, start.Add(time.Duration(minute)*4*time.Minute))
		}
		Expect(statistics.Tenant("group-a").Starts).To(HaveLen(1))
	})

	DescribeTable("at regular intervals", func(gaps []time.Duration, ahead time.Duration, restored bool, expected int) {
		statistics, at := planner.NewStatistics(), start.Add(-1000*time.Hour)
		observeRound(statistics, at)
		for _, gap := range gaps {
			at = at.Add(gap)
			observeRound(statistics, at)
		}
		if restored {
			data, err := statistics.Encode()
			Expect(err).NotTo(HaveOccurred())
			earlier, err := planner.DecodeStatistics(data)
			Expect(err).NotTo(HaveOccurred())
			statistics = planner.NewStatistics()
			statistics.Restore(earlier)
		}
		snapshot := &planner.Snapshot{
			Now: at.Add(gaps[len(gaps)-1] - ahead), Statistics: statistics,
			Servers: []planner.Server{server("lm-1", 200*gigabyte)},
		}
		for i := range 6 {
			snapshot.Rows = append(snapshot.Rows, model(fmt.Sprintf("model-%d", i), 1, 10*gigabyte))
		}
		decisions := mustPolicy(planner.PolicyHatchplank).Plan(snapshot).Decisions
		Expect(decisions).To(HaveLen(expected))
		for _, decision := range decisions {
			Expect(decision.Reason).To(Equal(planner.ReasonForeseen))
		}
	},
		Entry("have their models loaded ahead", []time.Duration{168 * time.Hour, 168 * time.Hour}, time.Minute, false, 5),
		Entry("have their models loaded ahead by another owner", []time.Duration{168 * time.Hour, 168 * time.Hour}, time.Minute, true, 5),
		Entry("have their models loaded ahead although one was detected a little late", []time.Duration{time.Hour, time.Hour + 2*time.Minute}, time.Minute, false, 5),
		Entry("cause no load long ahead", []time.Duration{168 * time.Hour, 168 * time.Hour}, time.Hour, false, 0),
		Entry("cause no load when the intervals differ", []time.Duration{100 * time.Hour, 168 * time.Hour}, time.Minute, false, 0),
		Entry("cause no load after one interval", []time.Duration{168 * time.Hour}, time.Minute, false, 0),
	)
})
