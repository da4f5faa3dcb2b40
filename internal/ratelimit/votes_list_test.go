package ratelimit_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// TestVotedLimitHoldsWhereNodesHaveAnEarlierList: nothing but voted limits is in use, three of eight counter
// nodes were replaced, and a third of the nodes does not receive the new list from a holder.
func TestVotedLimitHoldsWhereNodesHaveAnEarlierList(t *testing.T) {
	const slack = 200
	limit := ratelimit.Limit{Rate: slack / 10.0, Window: 10 * time.Second, Voted: true}
	withFleet(t, quotaNodes, func(f *fleet) {
		time.Sleep(2 * limit.Window)
		live, missing := f.without(f.limiters[0].Counters().Addresses[0], 3, quotaNodes/3)
		f.replaceCounters(2, live)
		time.Sleep(2 * limit.Window)
		used := &usage{}
		grantedTo := map[string]int{}
		for end, number := time.Now().Add(2*limit.Window), 0; time.Now().Before(end); number++ {
			node := number * 5 % quotaNodes
			verdict := f.limiters[node].Take(context.Background(), ratelimit.Request{Name: "retries p", Limit: limit, Cost: 1})
			if verdict.Allowed {
				used.add(grant{at: time.Now(), cost: 1})
				grantedTo[f.addressOf(node)]++
			}
			time.Sleep(10 * time.Millisecond)
		}
		sum, _ := used.maxInWindow()
		Expect(sum).To(BeNumerically("<=", slack))
		Expect(sum).To(BeNumerically(">=", 0.7*slack))
		for _, address := range missing[3:] {
			Expect(grantedTo).To(HaveKey(address))
		}
	})
}
