package tenants

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// Quota enforces the limits of tenants over all nodes. It is safe for concurrent use.
type Quota struct {
	// Limiter counts over all nodes.
	Limiter *ratelimit.Limiter
	// Window over which a tenant's requests are summed.
	Window time.Duration
	// OnVerdict is called with each verdict of the Limiter; nil: not called.
	OnVerdict func(tenant string, verdict ratelimit.Verdict)
}

// Request is a tenant's request, as its limit counts it.
type Request struct {
	// Tokens of the request; zero if it states none.
	Tokens int
	// Rank is the urgency among the tenant's requests, from 0 (most urgent) to 1.
	Rank float64
	// TimeLeft is the time that the caller has, in which it may come back after a refusal.
	TimeLeft time.Duration
}

// Take asks whether a request is within its tenant's limit, and counts it if it is. A tenant
// without a limit is always within it.
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

// Return gives back what was taken for a request that was not executed.
func (q *Quota) Return(tenant *Tenant, need Request, verdict ratelimit.Verdict) {
	q.Limiter.Return(q.request(tenant, need), verdict)
}

func (q *Quota) request(tenant *Tenant, need Request) ratelimit.Request {
	return ratelimit.Request{
		Name: tenant.Name, Limit: tenant.Limit.over(q.Window), Cost: tenant.Limit.Cost(need.Tokens), Rank: need.Rank, TimeLeft: need.TimeLeft,
	}
}

// over returns the limit over a window.
func (l Limit) over(window time.Duration) ratelimit.Limit {
	return ratelimit.Limit{Rate: l.Rate, Burst: l.Burst, Window: window}
}

// LimitsByName returns a function that finds the limit of a directory's tenant by its name, for
// ratelimit.Config. directory may return nil.
func LimitsByName(directory func() *Directory, window time.Duration) func(name string) (ratelimit.Limit, bool) {
	return func(name string) (ratelimit.Limit, bool) {
		current := directory()
		if current == nil {
			return ratelimit.Limit{}, false
		}
		tenant := current.ByName(name)
		if tenant == nil {
			return ratelimit.Limit{}, false
		}
		return tenant.Limit.over(window), true
	}
}
