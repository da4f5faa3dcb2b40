package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// BudgetLimits bound the retries of all nodes together.
type BudgetLimits = retrybudget.Limits

// takeRetry takes one retry for the flow from the budget, and reports whether the budget allows
// it. It may wait for counter nodes.
func (f *Forwarder) takeRetry(ctx context.Context, flow *flow) bool {
	decision := f.budgets.Take(ctx, retrybudget.Retry{Pool: flow.pool, Rank: flow.rank()}, time.Now())
	if decision.By != "" {
		f.onRetry(flow.request, decision)
	}
	return decision.Allowed
}

// refuseWithoutRetry ends a request that can't be sent now and will need a retry that the budget does not allow;
// nil if it may wait for a server.
func (f *Forwarder) refuseWithoutRetry(flow *flow, now time.Time) *Outcome {
	if flow.maySend || !f.budgets.IsSpent(retrybudget.Retry{Pool: flow.pool, Rank: flow.rank()}, now) {
		return nil
	}
	return f.giveUp(flow, "retry budget is spent", result.RetryBudgetSpent)
}
