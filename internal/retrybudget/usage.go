package retrybudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/window"
)

// Usage is what a process counted before it stopped, by pool.
type Usage map[string]PoolUsage

// PoolUsage is what a process counted for one pool.
type PoolUsage struct {
	// Requests in the span.
	Requests []window.Amount
	// Retries are ByRequests and BySlack, for builds that don't know what allowed a retry.
	Retries []window.Amount
	// ByRequests is what requests allowed of the retries in the span, and BySlack what the slack allowed
	// of those in the window; nil if an earlier build wrote the usage.
	ByRequests, BySlack []window.Amount
}

// newPoolUsage returns what is counted of a pool.
func newPoolUsage(counts *pool, now time.Time) PoolUsage {
	usage := PoolUsage{
		Requests:   counts.requests.Amounts(now),
		ByRequests: append([]window.Amount{}, counts.byRequests.Amounts(now)...),
		BySlack:    append([]window.Amount{}, counts.bySlack.Amounts(now)...),
	}
	usage.Retries = slices.Concat(usage.ByRequests, usage.BySlack)
	return usage
}

// retries returns the retries by what allowed them. Where the usage does not tell, they count as
// allowed by both.
func (u PoolUsage) retries() (byRequests, bySlack []window.Amount) {
	if u.ByRequests == nil && u.BySlack == nil {
		return u.Retries, u.Retries
	}
	return u.ByRequests, u.BySlack
}

// Close ends the use of the budget: it allows no further retries. It returns what was counted, and
// whether that is all that the node counted in the window.
func (b *Budget) Close(now time.Time) (usage Usage, complete bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closed = true
	usage = Usage{}
	for name, counts := range b.byPool {
		usage[name] = newPoolUsage(counts, now)
	}
	return usage, b.isComplete(now)
}

// mayRetry reports whether a process that knows all that its node counted may allow a retry by itself.
func (b *Budget) mayRetry(now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.isShared() && fullShare*b.evenShare(now) >= 1 {
		return true
	}
	for _, counts := range b.byPool {
		if fullShare*b.limits.Ratio*counts.requests.Total(now) >= 1 {
			return true
		}
	}
	return false
}

// Continue counts on from what the process before this one counted, which stopped the given time
// ago. The usage must be that of the last process that was not killed, and be used once.
func (b *Budget) Continue(usage Usage, stopped time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for name, before := range usage {
		counts := b.of(name, now)
		counts.requests = merged(b.limits.span(), counts.requests.Amounts(now), before.Requests, stopped, now)
		// Retries count as if the process had stopped now: the time since then is from the time of day,
		// which may have been set.
		byRequests, bySlack := before.retries()
		counts.byRequests = merged(b.limits.span(), counts.byRequests.Amounts(now), byRequests, 0, now)
		counts.bySlack = merged(b.limits.Window, counts.bySlack.Amounts(now), bySlack, 0, now)
	}
	b.noEarlier = true
}

// merged returns a sum over a window of the amounts of this process and of the one before it.
func merged(length time.Duration, own, before []window.Amount, stopped time.Duration, now time.Time) window.Sum {
	all := slices.Clone(own)
	for _, amount := range before {
		amount.Age += stopped
		all = append(all, amount)
	}
	slices.SortFunc(all, func(a, b window.Amount) int { return cmp.Compare(b.Age, a.Age) })
	sum := window.NewSum(length, now.Add(-2*length))
	for _, amount := range all {
		if amount.Age < 2*length {
			sum.Add(amount.Amount, now.Add(-amount.Age))
		}
	}
	return sum
}
