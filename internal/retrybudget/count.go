package retrybudget

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// namePrefix of the names of the limits under which retries are counted, one for each pool.
const namePrefix = "retries "

// Limiter counts over all nodes, as ratelimit.Limiter does.
type Limiter interface {
	Take(ctx context.Context, request ratelimit.Request) ratelimit.Verdict
}

// Count is the Fleet whose slack the counter nodes count. The limit is sent with each request, so
// that counter nodes need no configuration of it.
type Count struct{ Limiter Limiter }

var _ Fleet = Count{}

// Take implements Fleet.
func (c Count) Take(ctx context.Context, retry Retry, slack float64, window time.Duration) Answer {
	verdict := c.Limiter.Take(ctx, ratelimit.Request{
		Name: namePrefix + retry.Pool, Cost: 1, Rank: retry.Rank,
		Limit: ratelimit.Limit{Rate: slack / window.Seconds(), Window: window, Voted: true},
	})
	return Answer{Counted: verdict.CountedBy != "", Queued: verdict.Queued, Allowed: verdict.Allowed, RetryIn: verdict.NextSlotIn}
}
