package forward

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/window"
)

// BudgetLimits bound the attempts beyond the first of each request, summed over
// all nodes, in each window.
type BudgetLimits struct {
	// Ratio of the requests that may be attempts beyond the first.
	Ratio float64
	// Slack is the number of attempts beyond the first that is always allowed.
	Slack float64
	// Window over which both are counted.
	Window time.Duration
}

// budgetSafety is the share of the limits that is used, so that counts that differ
// between nodes and servers stay within them.
const budgetSafety = 0.75

// budget counts requests and repeated attempts of one pool.
type budget struct {
	requests, repeats window.Sum
}

// budgets has one budget per pool.
type budgets struct {
	limits BudgetLimits
	mutex  sync.Mutex
	nodes  int
	byPool map[string]*budget
}

func newBudgets(limits BudgetLimits, nodes int) *budgets {
	return &budgets{limits: limits, nodes: max(nodes, 1), byPool: map[string]*budget{}}
}

// setNodes tells how many nodes share the slack.
func (b *budgets) setNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
}

func (b *budgets) of(pool string) *budget {
	found := b.byPool[pool]
	if found == nil {
		now := time.Now()
		found = &budget{requests: window.NewSum(b.limits.Window, now), repeats: window.NewSum(b.limits.Window, now)}
		b.byPool[pool] = found
	}
	return found
}

// request counts a caller's request.
func (b *budgets) request(pool string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(pool).requests.Add(1, now)
}

// repeat takes one attempt beyond the first, if the budget allows it.
func (b *budgets) repeat(pool string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.of(pool)
	allowed := budgetSafety * (b.limits.Slack/float64(b.nodes) + b.limits.Ratio*counts.requests.Total(now))
	if counts.repeats.Total(now)+1 > allowed {
		return false
	}
	counts.repeats.Add(1, now)
	return true
}
