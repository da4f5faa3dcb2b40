package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
)

const (
	// leastUrgent priority; requests beyond it are alike.
	leastUrgent = 9
	// limitPenaltyShare of its objective is the most by which a request is sent elsewhere to
	// spare a server's limit.
	limitPenaltyShare = 0.5
)

// Limits keep what all nodes send to servers within the limits that these named.
type Limits interface {
	// Take asks for one sending to a server.
	Take(ctx context.Context, server *fleet.Server, need serverlimit.Need) serverlimit.Grant
	// Return gives back what was granted and not sent.
	Return(grant serverlimit.Grant)
	// Limited reports whether the server named a limit.
	Limited(server *fleet.Server) bool
	// NextSlotIn is the time until the next turn there, as far as known; zero: now, or no limit.
	NextSlotIn(server *fleet.Server, now time.Time) time.Duration
	// Interval that the limit leaves between sendings; zero without a limit.
	Interval(server *fleet.Server) time.Duration
}

// NoLimits is for nodes whose servers name none.
type NoLimits struct{}

var _ Limits = NoLimits{}

// Take implements Limits.
func (NoLimits) Take(context.Context, *fleet.Server, serverlimit.Need) serverlimit.Grant {
	return serverlimit.Grant{Within: true}
}

// Return implements Limits.
func (NoLimits) Return(serverlimit.Grant) {}

// Limited implements Limits.
func (NoLimits) Limited(*fleet.Server) bool { return false }

// NextSlotIn implements Limits.
func (NoLimits) NextSlotIn(*fleet.Server, time.Time) time.Duration { return 0 }

// Interval implements Limits.
func (NoLimits) Interval(*fleet.Server) time.Duration { return 0 }

// reservation is a place at a server with a limit, which may be sent to from a time on.
type reservation struct {
	place *candidate
	from  time.Time
}

// takeTurn takes a turn from the limit of the place's server, if it has one, and reports
// whether the place may be used now. If not, the place is kept as the flow's reservation, or
// released where no turn comes in time; the flow knows then when to ask again.
func (f *Forwarder) takeTurn(ctx context.Context, flow *flow, place *candidate, maxWait time.Duration) bool {
	rank := float64(min(flow.priority, leastUrgent)) / leastUrgent
	place.grant = f.limits.Take(ctx, place.server, serverlimit.Need{Rank: rank, MaxWait: maxWait})
	now := time.Now()
	switch {
	case !place.grant.Within:
		flow.turns[place.server.ID] = now.Add(place.grant.RoomIn)
		f.release(flow, place, nil)
		return false
	case place.grant.In > 0:
		flow.reserved = &reservation{place: place, from: now.Add(place.grant.In)}
		return false
	}
	return true
}

// dueReservation returns the reserved place once its turn has come; nil before that, or where
// there is none.
func (f *Forwarder) dueReservation(flow *flow, now time.Time) *candidate {
	if flow.reserved == nil {
		return nil
	}
	if !f.stillTakes(flow.reserved.place.server) {
		f.dropReservation(flow)
		return nil
	}
	if now.Before(flow.reserved.from) {
		return nil
	}
	place := flow.reserved.place
	flow.reserved = nil
	return place
}

// dropReservation gives the reserved turn back, if there is one.
func (f *Forwarder) dropReservation(flow *flow) {
	if flow.reserved == nil {
		return
	}
	place := flow.reserved.place
	flow.reserved = nil
	f.release(flow, place, nil)
}

// turn is what a flow knows of its turn at a server; the zero turn: there is no limit.
type turn struct {
	limited bool
	// in is the time until the turn may be, as far as known.
	in time.Duration
	// refused: the flow asked, and got none in time. It may ask again then.
	refused bool
}

// turnAt tells what the flow knows of its turn at a server.
func (f *Forwarder) turnAt(flow *flow, server *fleet.Server, now time.Time) turn {
	if !f.limits.Limited(server) {
		return turn{}
	}
	told := flow.turns[server.ID].Sub(now)
	return turn{limited: true, in: max(f.limits.NextSlotIn(server, now), told, 0), refused: told > 0}
}

// mayBeAsked: a turn may come in time. While the flow waits for one it only looks for a server
// without a limit.
func (t turn) mayBeAsked(flow *flow, mostWait time.Duration) bool {
	return !t.limited || !t.refused && t.in <= mostWait && flow.reserved == nil
}

// mostTurnWait is how long the flow may wait for its turn at a server: as long as a request
// is held.
func (f *Forwarder) mostTurnWait(flow *flow, now time.Time) time.Duration {
	until := flow.startBy(now)
	if flow.cameBack {
		given := flow.request.Deadline.Sub(flow.request.Accepted)
		until = earlier(until, flow.request.Accepted.Add(time.Duration(holdShare*float64(given))))
	}
	if drain := f.drainUntil.Load(); drain != nil {
		until = earlier(until, *drain)
	}
	return max(until.Sub(now), 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// limitPenalty makes servers with a limit the last choice: what they still take is for
// requests that no other server can serve in time. Beside one without a limit, a server that
// takes 1 a second gets none of 1,000 requests in 20 s so, 9 otherwise (virtual time).
func (f *Forwarder) limitPenalty(flow *flow, server *fleet.Server) time.Duration {
	most := time.Duration(limitPenaltyShare * float64(flow.route.LatencyObjective))
	return min(f.limits.Interval(server), most)
}

// newlyLimited: the server named a limit after the place there was taken.
func (f *Forwarder) newlyLimited(place *candidate) bool {
	return !place.grant.Limited && f.limits.Limited(place.server)
}

// limitInterval is the longest interval of the limits because of which a caller is refused;
// zero if they are not the reason.
func (f *Forwarder) limitInterval(flow *flow, now time.Time) time.Duration {
	longest := time.Duration(0)
	for server := range f.holders(flow) {
		if f.turnAt(flow, server, now).in <= 0 {
			return 0
		}
		longest = max(longest, f.limits.Interval(server))
	}
	return longest
}
