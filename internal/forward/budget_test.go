package forward

import "github.com/hatchplank/hatchplank/internal/retrybudget"

// newBudgets returns a budget with even shares of the slack.
func newBudgets(limits BudgetLimits, nodes int) *retrybudget.Budget {
	return retrybudget.New(retrybudget.Config{Limits: limits, Nodes: nodes})
}
