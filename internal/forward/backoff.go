package forward

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// returnSpread is the longest share of what is left of a backoff that is added to it
// where a caller is told to come back after it: callers that were refused at different
// times otherwise all come back at its end. With it, 40 callers within 3 s are refused
// 68 times in place of 76, and 100 callers 305 times in place of 311, for 0.1 to 0.2 s
// more until an answer (virtual time, four servers of 3 places that turn all away for
// 2 s and ask for 1 s, means of five seeds).
const returnSpread = 0.25

// Backoffs tells how long servers want nothing from this node.
type Backoffs interface {
	// BackoffUntil is until when a server does; a time that is past or zero: it takes
	// requests.
	BackoffUntil(server *fleet.Server) time.Time
}

// noBackoffs: no server asked for one.
type noBackoffs struct{}

func (noBackoffs) BackoffUntil(*fleet.Server) time.Time { return time.Time{} }

// stillTakes reports whether a server that was chosen before has not told otherwise since.
func (f *Forwarder) stillTakes(server *fleet.Server) bool {
	listed := f.view.Load().Servers[server.ID]
	leaves := listed != nil && listed.ReportedLeaving
	return !leaves && !time.Now().Before(f.backoffs.BackoffUntil(server))
}

// backoffLeft is the time until some server that holds what the request needs wants
// requests again; zero if one does, or none holds it.
func (f *Forwarder) backoffLeft(flow *flow, now time.Time) time.Duration {
	least := time.Duration(0)
	for server := range f.holders(flow) {
		left := f.backoffs.BackoffUntil(server).Sub(now)
		if left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// holders are the servers that hold what the request needs and take new work.
func (f *Forwarder) holders(flow *flow) iter.Seq[*fleet.Server] {
	return func(yield func(*fleet.Server) bool) {
		for _, server := range f.view.Load().Holders(flow.pool, flow.request.Model) {
			if !server.Draining && server.Holds(flow.request.Model, flow.request.Adapter) && !yield(server) {
				return
			}
		}
	}
}

// spread is the delay, longer at random by a part of what is left of the servers' backoff, or
// of the interval that their limits leave.
func (f *Forwarder) spread(flow *flow, delay time.Duration, now time.Time) time.Duration {
	left := max(f.backoffLeft(flow, now), 0)
	return delay + time.Duration(rand.Float64()*max(returnSpread*float64(left), float64(f.limitInterval(flow, now))))
}
