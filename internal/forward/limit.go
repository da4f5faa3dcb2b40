package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

// lowestPriority is the number of the least urgent priority; higher numbers count as it.
const lowestPriority = 9

// Limits keeps what all nodes together send to servers within the rate limits that the servers
// announced.
type Limits interface {
	// Take asks for a slot for one request to a server.
	Take(ctx context.Context, server *fleet.Server, need serverlimit.Request) serverlimit.Grant
	// Return gives back a grant for a request that was not sent.
	Return(grant serverlimit.Grant)
	// Limited reports whether the server announced a limit.
	Limited(server *fleet.Server) bool
	// NextSlotIn is the time until the next free slot, as far as this node knows; zero means now,
	// or no limit.
	NextSlotIn(server *fleet.Server, now time.Time) time.Duration
	// Interval is the time between two requests that the limit allows; zero without a limit.
	Interval(server *fleet.Server) time.Duration
}

// NoLimits is for nodes whose servers never announce limits.
type NoLimits struct{}

var _ Limits = NoLimits{}

// Take implements Limits.
func (NoLimits) Take(context.Context, *fleet.Server, serverlimit.Request) serverlimit.Grant {
	return serverlimit.Grant{Allowed: true}
}

// Return implements Limits.
func (NoLimits) Return(serverlimit.Grant) {}

// Limited implements Limits.
func (NoLimits) Limited(*fleet.Server) bool { return false }

// NextSlotIn implements Limits.
func (NoLimits) NextSlotIn(*fleet.Server, time.Time) time.Duration { return 0 }

// Interval implements Limits.
func (NoLimits) Interval(*fleet.Server) time.Duration { return 0 }

// reservation is reserved capacity at a server with a rate limit, to be used when its slot
// comes.
type reservation struct {
	target    *candidate
	notBefore time.Time
	// interval of the limit that granted the slot.
	interval time.Duration
}

// takeSlot takes a slot from the rate limit of the target, if it has one, and reports whether
// the request may be sent now. If not, the target is kept as the flow's reservation, or released
// where no slot comes in time; then the flow records when the limit has capacity again.
func (f *Forwarder) takeSlot(ctx context.Context, flow *flow, target *candidate, maxWait time.Duration) bool {
	target.grant = f.limits.Take(ctx, target.server, serverlimit.Request{Rank: flow.rank(), MaxWait: maxWait})
	now := time.Now()
	switch {
	case !target.grant.Allowed:
		flow.slotsAt[target.server.ID] = now.Add(target.grant.RetryAfter)
		f.release(flow, target, nil)
		return false
	case target.grant.Delay > 0:
		flow.reservation = &reservation{target: target, notBefore: now.Add(target.grant.Delay), interval: f.limits.Interval(target.server)}
		return false
	}
	return true
}

// dueReservation takes the reserved target once its slot has come; nil before that, or without
// a reservation. A slot of a limit that has changed since is given back, as is one that comes after
// the node has stopped sending.
func (f *Forwarder) dueReservation(flow *flow, now time.Time) *candidate {
	if flow.reservation == nil {
		return nil
	}
	server := flow.reservation.target.server
	if !f.stillAccepts(server) || f.limits.Interval(server) != flow.reservation.interval || f.stopsBefore(flow.reservation.notBefore) {
		f.dropReservation(flow)
		return nil
	}
	if now.Before(flow.reservation.notBefore) {
		return nil
	}
	target := flow.reservation.target
	flow.reservation = nil
	return target
}

// dropReservation releases the reserved target and its slot, if there is a reservation.
func (f *Forwarder) dropReservation(flow *flow) {
	if flow.reservation == nil {
		return
	}
	target := flow.reservation.target
	flow.reservation = nil
	f.release(flow, target, nil)
}

// slotState is what is known about a flow's next slot under a server's rate limit. The zero
// value stands for a server without a limit.
type slotState struct {
	limited bool
	// in is the time until the slot, as far as known.
	in time.Duration
	// refused: the flow asked and got no slot in time. It may ask again after in.
	refused bool
}

// slotStateAt is the state of the flow's next slot at a server.
func (f *Forwarder) slotStateAt(flow *flow, server *fleet.Server, now time.Time) slotState {
	if !f.limits.Limited(server) {
		return slotState{}
	}
	retryIn := flow.slotsAt[server.ID].Sub(now)
	return slotState{limited: true, in: max(f.limits.NextSlotIn(server, now), retryIn, 0), refused: retryIn > 0}
}

// mayRequest reports whether a slot may come in time. While the flow waits for a reserved slot,
// only servers without a limit are considered.
func (s slotState) mayRequest(flow *flow, maxWait time.Duration) bool {
	return !s.limited || !s.refused && s.in <= maxWait && flow.reservation == nil
}

// maxSlotWait is how long a request may wait for a slot at a server: until its latest start, or as long as the
// node sends requests.
func (f *Forwarder) maxSlotWait(latestStart, now time.Time) time.Duration {
	until := latestStart
	if drain := f.drainUntil.Load(); drain != nil {
		until = earlier(until, *drain)
	}
	return max(until.Sub(now), 0)
}

// newlyLimited reports whether the server announced a limit after it was chosen.
func (f *Forwarder) newlyLimited(target *candidate) bool {
	return !target.grant.Limited && f.limits.Limited(target.server)
}

// limitInterval is the longest interval of the rate limits because of which a request is refused;
// zero if they are not the reason, since some server has no limit or has a free slot.
func (f *Forwarder) limitInterval(flow *flow, now time.Time) time.Duration {
	longest := time.Duration(0)
	for server := range f.holders(flow) {
		if f.slotStateAt(flow, server, now).in <= 0 {
			return 0
		}
		longest = max(longest, f.limits.Interval(server))
	}
	return longest
}
