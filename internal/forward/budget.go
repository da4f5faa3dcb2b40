package forward

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/window"
)

// BudgetLimits bound the retries, that is, the attempts beyond the first of each request, of
// all nodes together in each window: Slack + Ratio * requests.
type BudgetLimits struct {
	// Ratio is the number of retries that are allowed per request.
	Ratio float64
	// Slack is the number of retries that are allowed whatever the number of requests.
	Slack float64
	// Window over which requests and retries are counted.
	Window time.Duration
}

// budgetSafety is the share of the limits that is used, so that the limits hold also where
// nodes and servers count differently.
const budgetSafety = 0.75

// budget counts the requests and retries of one pool.
type budget struct {
	requests, retries window.Sum
}

// budgets keeps one budget per pool. It is safe for concurrent use.
type budgets struct {
	limits BudgetLimits
	mutex  sync.Mutex
	nodes  int
	byPool map[string]*budget
}

func newBudgets(limits BudgetLimits, nodes int) *budgets {
	return &budgets{limits: limits, nodes: max(nodes, 1), byPool: map[string]*budget{}}
}

// setNodes sets the number of nodes that share the slack.
func (b *budgets) setNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
}

// of returns the pool's budget. The lock must be held.
func (b *budgets) of(pool string) *budget {
	found := b.byPool[pool]
	if found == nil {
		now := time.Now()
		found = &budget{requests: window.NewSum(b.limits.Window, now), retries: window.NewSum(b.limits.Window, now)}
		b.byPool[pool] = found
	}
	return found
}

// request counts a request of a caller.
func (b *budgets) request(pool string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(pool).requests.Add(1, now)
}

// takeRetry takes one retry from the budget, and reports whether the budget allowed it.
func (b *budgets) takeRetry(pool string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.of(pool)
	allowed := budgetSafety * (b.limits.Slack/float64(b.nodes) + b.limits.Ratio*counts.requests.Total(now))
	if counts.retries.Total(now)+1 > allowed {
		return false
	}
	counts.retries.Add(1, now)
	return true
}
