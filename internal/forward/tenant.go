package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/tenants"
)

// Quota enforces the limits of tenants over all nodes together.
type Quota interface {
	// Take reports whether a request is within its tenant's limit, and counts it if it is.
	Take(ctx context.Context, tenant *tenants.Tenant, need tenants.Request) ratelimit.Verdict
	// Return gives back what was taken for a request that has not run.
	Return(tenant *tenants.Tenant, need tenants.Request, verdict ratelimit.Verdict)
}

// tokens is the number of tokens that are counted against the quota: those of the prompt and of
// the longest possible answer.
func (r *Request) tokens() int { return r.PromptTokens + r.AnswerTokens }

// admitTenant sets the tenant that the request's key belongs to and counts the request against
// the tenant's quota. It returns nil if the request may go on.
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
		if f.mayBeStale() {
			// The key may have been added in a configuration that this node has not read, and
			// that another node has in force.
			return &Outcome{
				Code: result.NodeNotReady, Reason: "no tenant has this key, but a newer configuration may", Route: route.Name,
				RetryAfter: minReadyDelay,
			}
		}
		return &Outcome{Code: result.Unauthenticated, Reason: "no tenant has this key", Route: route.Name}
	}
	if f.quota == nil {
		return nil
	}
	request.quota = f.quota.Take(ctx, request.Tenant, tenants.Request{
		Tokens: request.tokens(), Rank: configuration.RouteRank(route), TimeLeft: max(time.Until(f.deadlineOf(request, route)), 0),
	})
	if request.quota.Allowed {
		return nil
	}
	return &Outcome{
		Code: result.OverQuota, Reason: overLimit(request.Tenant, request.quota), Route: route.Name,
		RetryAfter: request.quota.RetryAfter, Decision: Decision{Configuration: configuration.Revision},
	}
}

// overLimit is the reason of a refusal: the tenant, and the node that counted, if one did.
func overLimit(tenant *tenants.Tenant, verdict ratelimit.Verdict) string {
	if verdict.CountedBy == "" {
		return "tenant " + tenant.Name + " is over this node's share of its limit; no node that counts it answers"
	}
	return "tenant " + tenant.Name + " is over its limit, counted by " + verdict.CountedBy
}

// returnQuota gives back what was taken for a request that has not run.
func (f *Forwarder) returnQuota(request *Request) {
	if f.quota != nil && request.Tenant != nil {
		f.quota.Return(request.Tenant, tenants.Request{Tokens: request.tokens()}, request.quota)
	}
}
