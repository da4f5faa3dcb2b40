package forward

import (
	"context"
	"time"

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
