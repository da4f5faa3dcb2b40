package gateway

import "sync"

// retryBudget is a token bucket that limits retries to a fraction of the
// requests, so that retries can't amplify a failure.
type retryBudget struct {
	mutex  sync.Mutex
	tokens float64
	ratio  float64
	burst  float64
}

func newRetryBudget(ratio, burst float64) retryBudget {
	return retryBudget{tokens: burst, ratio: ratio, burst: burst}
}

// refill adds the tokens that a request's first attempt earns.
func (b *retryBudget) refill() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// take removes the token for one retry and reports whether there was one.
func (b *retryBudget) take() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of a retry that was not made.
func (b *retryBudget) refund() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+1, b.burst)
}
