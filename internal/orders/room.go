package orders

import (
	"context"
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

// errQuiet: the server wants nothing from this node now, or its limit has no room.
var errQuiet = errors.New("the server asked this node to back off, or its limit has no room")

// backoffLeft is how long a server wants nothing from this node.
func (h *Holder) backoffLeft(server *fleet.Server, now time.Time) time.Duration {
	return max(h.config.Notices.BackoffUntil(server).Sub(now), 0)
}

// awaitRoom waits until a server's limit has room, and takes it. It returns false if the server
// wants nothing, or has no room for long.
//
// Orders and questions come to a server like requests, and a load is followed by a question
// every 50 ms: 20 a second, whatever the server's limit.
func (h *Holder) awaitRoom(ctx context.Context, server *fleet.Server) (serverlimit.Grant, bool) {
	if h.backoffLeft(server, time.Now()) > 0 {
		return serverlimit.Grant{}, false
	}
	grant := h.config.Limits.Take(ctx, server, serverlimit.Need{MaxWait: serverlimit.Window})
	if !grant.Within {
		return grant, false
	}
	clock.Sleep(ctx, grant.In)
	if ctx.Err() != nil || h.backoffLeft(server, time.Now()) > 0 {
		h.config.Limits.Return(grant)
		return grant, false
	}
	return grant, true
}
