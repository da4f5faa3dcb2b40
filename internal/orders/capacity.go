package orders

import (
	"context"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

// errNoCapacity is returned for a server that asked this node to back off, or whose rate
// limit is used up.
var errNoCapacity = errors.New("the server asked this node to back off, or its rate limit is used up")

// maxCapacityWait is how long an order or a call for a report waits for capacity of a server's rate limit: no
// longer than the plan's intent for the server holds. After it, the next plan orders anew.
const maxCapacityWait = intentLifetime

// remainingBackoff returns for how long a server still asks this node to back off.
func (h *Holder) remainingBackoff(server *fleet.Server, now time.Time) time.Duration {
	return max(h.config.Notices.BackoffUntil(server).Sub(now), 0)
}

// awaitCapacity waits until a server's rate limit has capacity, and takes it. It returns false
// if the server asked for a backoff, its rate limit has no capacity within maxCapacityWait,
// or ctx has ended.
//
// Orders and calls for reports count against a server's limit like requests. A load is
// followed by a call for a report every 50 ms, which without this check would be 20 a second
// whatever the server's limit.
func (h *Holder) awaitCapacity(ctx context.Context, server *fleet.Server) (serverlimit.Grant, bool) {
	if h.remainingBackoff(server, time.Now()) > 0 {
		return serverlimit.Grant{}, false
	}
	deadline := time.Now().Add(maxCapacityWait)
	grant := h.takeCapacity(ctx, server, deadline)
	for !grant.Allowed {
		if ctx.Err() != nil || grant.RetryAfter <= 0 || !time.Now().Add(grant.RetryAfter).Before(deadline) {
			return grant, false
		}
		clock.Sleep(ctx, grant.RetryAfter)
		grant = h.takeCapacity(ctx, server, deadline)
	}
	clock.Sleep(ctx, grant.Delay)
	if ctx.Err() != nil || h.remainingBackoff(server, time.Now()) > 0 {
		h.config.Limits.Return(grant)
		return grant, false
	}
	return grant, true
}

// takeCapacity takes capacity that comes until the deadline.
func (h *Holder) takeCapacity(ctx context.Context, server *fleet.Server, deadline time.Time) serverlimit.Grant {
	return h.config.Limits.Take(ctx, server, serverlimit.Request{MaxWait: time.Until(deadline), Control: true})
}
