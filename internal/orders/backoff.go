package orders

import (
	"errors"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// errBackingOff: the server wants nothing from this node now.
var errBackingOff = errors.New("the server asked this node to back off")

// backoffLeft is how long a server wants nothing from this node.
func (h *Holder) backoffLeft(server *fleet.Server, now time.Time) time.Duration {
	if h.config.Backoffs == nil {
		return 0
	}
	return max(h.config.Backoffs.BackoffUntil(server).Sub(now), 0)
}
