package retrybudget_test

import (
	"context"
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// jumped is the same moment on the monotonic clock after the time of day jumped. A time.Time with
// a monotonic reading keeps its seconds above 30 bits of nanoseconds.
func jumped(moment time.Time, by time.Duration) time.Time {
	fields := (*struct {
		wall uint64
		ext  int64
	})(unsafe.Pointer(&moment))
	fields.wall += uint64(by/time.Second) << 30
	return moment
}

// newBudget returns the budget of one of the nodes, with even shares of the slack. No earlier
// process of the node used it.
func newBudget(limits retrybudget.Limits, nodes int) *retrybudget.Budget {
	budget := retrybudget.New(retrybudget.Config{Limits: limits, Nodes: nodes})
	budget.SetNoEarlierProcess()
	return budget
}

// takeRetry takes a retry of the highest urgency.
func takeRetry(budget *retrybudget.Budget, pool string, now time.Time) bool {
	return budget.Take(context.Background(), retrybudget.Retry{Pool: pool}, now).Allowed
}

func TestRetryBudgetDoesNotFollowTheTimeOfDay(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		RegisterTestingT(t)
		bound := newBudget(retrybudget.Limits{Ratio: 0.2, Slack: 8, Window: 10 * time.Second}, 1)
		now := time.Now()
		Expect(jumped(now, jump).Sub(now)).To(BeZero(), "monotonic clock")
		Expect(jumped(now, jump).Round(0).Sub(now.Round(0))).To(Equal(jump), "time of day")
		for takeRetry(bound, "p", now) {
		}
		Expect(takeRetry(bound, "p", jumped(now, jump))).To(BeFalse(), "no retry has expired")
		Expect(takeRetry(bound, "p", jumped(now.Add(11*time.Second), jump))).To(BeTrue(), "all retries have expired")
	}
}

func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	RegisterTestingT(t)
	const nodes = 7
	limits := retrybudget.Limits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	now := time.Now()
	repeats := 0
	for range nodes {
		ofNode := newBudget(limits, nodes)
		for takeRetry(ofNode, "p", now) {
			repeats++
		}
	}
	Expect(repeats).To(BeNumerically("<=", limits.Slack))
	Expect(repeats).To(BeNumerically(">", limits.Slack/2))
}
