package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

// Quota bounds what all nodes together serve of a tenant's requests.
type Quota interface {
	// Take asks for a request of so many tokens, zero if it tells none. It returns
	// whether the request is within the tenant's limit and, if not, how long it
	// takes until there is room for it.
	Take(ctx context.Context, tenant *tenants.Tenant, tokens int) (within bool, roomIn time.Duration)
	// Return gives back what was taken at the time for a request that has not run.
	Return(tenant *tenants.Tenant, tokens int, taken time.Time)
}

// tokens of the prompt, and of the answer at most.
func (r *Request) tokens() int { return r.PromptTokens + r.AnswerTokens }

// admitTenant finds the tenant that the request's key belongs to and takes the
// request from the tenant's quota. It returns nil if the request may go on.
func (f *Forwarder) admitTenant(ctx context.Context, configuration *fleet.Configuration, route *fleet.Route, request *Request) *Outcome {
	if configuration.Tenants == nil {
		return nil
	}
	if request.Key != nil {
		request.Tenant, _ = configuration.Tenants.ByKey(*request.Key)
	}
	if request.Tenant == nil {
		if route.Anonymous {
			return nil
		}
		return &Outcome{Code: result.Unauthenticated, Reason: "no tenant has this key", Route: route.Name}
	}
	if f.quota == nil {
		return nil
	}
	within, roomIn := f.quota.Take(ctx, request.Tenant, request.tokens())
	if within {
		return nil
	}
	return &Outcome{
		Code: result.OverQuota, Reason: "tenant " + request.Tenant.Name + " is over its limit", Route: route.Name, RetryAfter: roomIn,
	}
}
