package gateway

import "sync"

// retryBudget is a token bucket that bounds retries to a part of the requests,
// so that they can't multiply a failure.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

func newRetryBudget(ratio, burst float64) retryBudget {
	return retryBudget{tokens: burst, ratio: ratio, burst: burst}
}

// earn counts a request's first attempt.
func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// take takes one retry if there is one.
func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// giveBack returns a retry that was not used.
func (b *retryBudget) giveBack() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+1, b.burst)
}
