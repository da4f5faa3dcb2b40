package forward

import (
	"sync"
	"time"
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

// Shares of the limits that are used, so that counts that differ between nodes
// and servers stay within them.
const (
	budgetSafety = 0.75
	// budgetSlots divide the window; the oldest one leaves as a whole.
	budgetSlots = 20
)

// budget counts requests and repeated attempts of one pool.
type budget struct {
	requests, repeats windowCount
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
		found = &budget{requests: newWindowCount(b.limits.Window), repeats: newWindowCount(b.limits.Window)}
		b.byPool[pool] = found
	}
	return found
}

// request counts a caller's request.
func (b *budgets) request(pool string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(pool).requests.add(now)
}

// repeat takes one attempt beyond the first, if the budget allows it.
func (b *budgets) repeat(pool string, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.of(pool)
	allowed := budgetSafety * (b.limits.Slack/float64(b.nodes) + b.limits.Ratio*float64(counts.requests.sum(now)))
	if float64(counts.repeats.sum(now)+1) > allowed {
		return false
	}
	counts.repeats.add(now)
	return true
}

// windowCount counts events of the last window, in slots. Slots are counted from
// its beginning on the steady clock, since the time of day may jump.
type windowCount struct {
	begin  time.Time
	slot   time.Duration
	counts [budgetSlots + 1]int
	newest int64
}

func newWindowCount(window time.Duration) windowCount {
	return windowCount{begin: time.Now(), slot: max(window/budgetSlots, time.Millisecond)}
}

func (w *windowCount) advance(now time.Time) {
	current := max(int64(now.Sub(w.begin)/w.slot), 0)
	if current-w.newest > int64(len(w.counts)) {
		w.counts = [budgetSlots + 1]int{}
		w.newest = current
		return
	}
	for w.newest < current {
		w.newest++
		w.counts[w.newest%int64(len(w.counts))] = 0
	}
}

func (w *windowCount) add(now time.Time) {
	w.advance(now)
	w.counts[w.newest%int64(len(w.counts))]++
}

func (w *windowCount) sum(now time.Time) int {
	w.advance(now)
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}
