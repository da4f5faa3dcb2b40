package forward

import (
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"
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

func TestRetryBudgetDoesNotFollowTheTimeOfDay(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		RegisterTestingT(t)
		bound := newBudgets(BudgetLimits{Ratio: 0.2, Slack: 8, Window: 10 * time.Second}, 1)
		now := time.Now()
		Expect(jumped(now, jump).Sub(now)).To(BeZero(), "monotonic clock")
		Expect(jumped(now, jump).Round(0).Sub(now.Round(0))).To(Equal(jump), "time of day")
		for bound.takeRetry("p", now) {
		}
		Expect(bound.takeRetry("p", jumped(now, jump))).To(BeFalse(), "no retry has expired")
		Expect(bound.takeRetry("p", jumped(now.Add(11*time.Second), jump))).To(BeTrue(), "all retries have expired")
	}
}

func TestNodesTogetherStayWithinTheBudget(t *testing.T) {
	RegisterTestingT(t)
	const nodes = 7
	limits := BudgetLimits{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	now := time.Now()
	repeats := 0
	for range nodes {
		ofNode := newBudgets(limits, nodes)
		for ofNode.takeRetry("p", now) {
			repeats++
		}
	}
	Expect(repeats).To(BeNumerically("<=", limits.Slack))
	Expect(repeats).To(BeNumerically(">", limits.Slack/2))
}
