package tenants

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// Quota keeps tenants within their limits over all nodes. It is safe for concurrent use.
type Quota struct {
	// Limiter counts for all nodes.
	Limiter *ratelimit.Limiter
	// Window over which a tenant's requests are summed.
	Window time.Duration
	// OnVerdict is called with each verdict; nil: not called.
	OnVerdict func(tenant string, verdict ratelimit.Verdict)
}

// Request is what a request takes of its tenant's limit.
type Request struct {
	// Tokens of the request; zero if it tells none.
	Tokens int
	// Rank among the tenant's requests, from 0, the most urgent, to 1.
	Rank float64
}

// Take asks whether a request is within its tenant's limit, and counts it if it is.
func (q *Quota) Take(ctx context.Context, tenant *Tenant, need Request) ratelimit.Verdict {
	if tenant.Limit.Rate <= 0 {
		return ratelimit.Verdict{Allowed: true}
	}
	verdict := q.Limiter.Take(ctx, q.request(tenant, need))
	if q.OnVerdict != nil {
		q.OnVerdict(tenant.Name, verdict)
	}
	return verdict
}

// Return gives back what was taken for a request that has not run.
func (q *Quota) Return(tenant *Tenant, need Request, verdict ratelimit.Verdict) {
	q.Limiter.Return(q.request(tenant, need), verdict)
}

func (q *Quota) request(tenant *Tenant, need Request) ratelimit.Request {
	return ratelimit.Request{
		Name: tenant.Name, Limit: tenant.Limit.over(q.Window), Cost: tenant.Limit.Cost(need.Tokens), Rank: need.Rank,
	}
}

// over is the limit over a window.
func (l Limit) over(window time.Duration) ratelimit.Limit {
	return ratelimit.Limit{Rate: l.Rate, Burst: l.Burst, Window: window}
}

// LimitsByName returns the limits of a directory's tenants by name, for a Limiter; directory
// may return nil.
func LimitsByName(directory func() *Directory, window time.Duration) func(name string) (ratelimit.Limit, bool) {
	return func(name string) (ratelimit.Limit, bool) {
		known := directory()
		if known == nil {
			return ratelimit.Limit{}, false
		}
		tenant := known.ByName(name)
		if tenant == nil {
			return ratelimit.Limit{}, false
		}
		return tenant.Limit.over(window), true
	}
}
