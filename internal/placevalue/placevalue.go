// Package placevalue prices the places that models have in servers' memory, so that the next
// replica of one model can be compared with the replica of another that it would evict. Its
// functions are pure.
//
// The unit is lost requests per second. A request that waits loses the share of its caller's time that it
// waits for: all of it from the moment at which the caller leaves. Requests whose priority is known are
// weighted by it.
package placevalue

import (
	"math"
	"time"
)

const (
	// minGapSeconds is the expected time until the next request for a model that was just
	// requested, whose rate is not known.
	minGapSeconds = 8.0
	// priorityLevels is the number of priorities that weights distinguish.
	priorityLevels = 10
	// minOwn is the number of requests below which a model is not what fills its servers.
	minOwn = 1.0
	// maxAdded is the largest number of replicas whose common gain is considered.
	maxAdded = 8
	// crowdedShare is the share of slots taken from which a further replica is considered.
	crowdedShare = 0.5
)

// Weight returns what a request of a priority counts: 1 at priority 0, the most urgent, down
// to 0.1 at priority 9 and beyond.
func Weight(priority int) float64 {
	return float64(priorityLevels-min(max(priority, 0), priorityLevels-1)) / priorityLevels
}

// Server is the load of one server.
type Server struct {
	// Load is the number of requests running and waiting.
	Load float64
	// Capacity is the number of slots times the server's speed, as a multiple of usual.
	Capacity float64
}

// Group is the servers that hold one model or are about to.
type Group struct {
	// Servers is their number.
	Servers int
	// Load and Capacity are the sums over the servers.
	Load, Capacity float64
	// Own is the part of Load that is the model's own.
	Own float64
	// Rate is the model's arrival rate in requests per second.
	Rate float64
	// CallerTime is how long callers wait for a response; zero if not known.
	CallerTime time.Duration
}

// Waiting returns the mean number of requests that wait for a slot at a server with this mean load, which is also
// the time for which requests wait there, in seconds per second. The load is assumed to vary as a Poisson
// distribution does, in its normal approximation.
func Waiting(load, capacity float64) float64 {
	deviation := math.Sqrt(max(load, 1))
	free := (max(capacity, 0) - load) / deviation
	density := math.Exp(-free*free/2) / math.Sqrt(2*math.Pi)
	return deviation * max(density-free*math.Erfc(free/math.Sqrt2)/2, 0)
}

// WaitLoss returns what a request loses that waits so long: the share of its caller's time, up to 1.
func WaitLoss(wait, callerTime time.Duration) float64 {
	if wait <= 0 {
		return 0
	}
	if callerTime <= 0 {
		return 1
	}
	return min(wait.Seconds()/callerTime.Seconds(), 1)
}

// Full reports whether more than half of the group's slots are taken, by whichever models.
func (g Group) Full() bool { return g.Servers > 0 && g.Load > crowdedShare*g.Capacity }

// Crowded reports whether more than half of the group's slots are taken, and the model's own requests
// are what fills them: they alone take more than half, or without them no more than half would be
// taken. So several models that fill their servers together count as well as one that does alone.
func (g Group) Crowded() bool {
	half := crowdedShare * g.Capacity
	return g.Full() && (g.Own > half || g.Load-g.Own < half)
}

// waiting is the number of requests that wait at the group's servers, all of which are taken for average ones.
func (g Group) waiting() float64 {
	count := float64(g.Servers)
	return count * Waiting(g.Load/count, g.Capacity/count)
}

// Gain returns the lost requests per second that another replica, on a server outside the group,
// avoids. The model's requests are assumed to move there until the server is as full as the
// group, which also changes what other models' requests lose on both sides. Where one replica
// alone leaves all servers full, it is the share of one in the gain of several: models that need
// several would otherwise never get the first.
func (g Group) Gain(server Server) float64 {
	if g.Servers <= 0 || g.Own < minOwn || g.Rate <= 0 || server.Capacity <= 0 {
		return 0
	}
	best := 0.0
	for added := 1; added <= maxAdded; added *= 2 {
		best = max(best, g.gainOf(float64(added), server)/float64(added))
	}
	return best
}

// gainOf returns the lost requests per second that replicas on several servers like the given one
// avoid; negative if they lose more than they avoid.
func (g Group) gainOf(added float64, server Server) float64 {
	level := (g.Load + added*server.Load) / (g.Capacity + added*server.Capacity)
	moved := min(max(added*(level*server.Capacity-server.Load), 0), g.Own)
	relieved := g
	relieved.Load -= moved
	loadThere := server.Load + moved/added
	before := g.waiting() + added*Waiting(server.Load, server.Capacity)
	after := relieved.waiting() + added*Waiting(loadThere, server.Capacity)
	return (before - after) * WaitLoss(time.Second, g.CallerTime)
}

// RemovalLoss returns the lost requests per second that the group has if it loses one of its
// servers, which is not the last: the gain of adding that server to the others.
func (g Group) RemovalLoss() float64 {
	if g.Servers < 2 {
		return 0
	}
	count := float64(g.Servers)
	removed := Server{Load: max(g.Load-g.Own, 0) / count, Capacity: g.Capacity / count}
	left := g
	left.Servers--
	left.Load -= removed.Load
	left.Capacity -= removed.Capacity
	return left.Gain(removed)
}

// LastReplica is the only replica of a model that has no requests now.
type LastReplica struct {
	// Idle is the time since the model was last requested, or since requests began to be
	// counted.
	Idle time.Duration
	// Rate is the recent arrival rate in requests per second.
	Rate float64
	// Reload is the duration of a load.
	Reload time.Duration
	// CallerTime is how long callers wait for a response; zero if not known.
	CallerTime time.Duration
	// StoreContended is set if the reload is from the weight store and other models wait for
	// loads from there: it then delays one of them.
	StoreContended bool
}

// Loss returns the lost requests per second if the replica is evicted. Memory is assumed to be
// full, so that the model, once it is loaded again, takes the place of another like it: its
// place is worth the requests that arrive, whether they find this model or the next one cold.
func (r LastReplica) Loss() float64 {
	rate := max(r.Rate, RecentUse(r.Idle.Seconds(), minGapSeconds)/minGapSeconds)
	loss := rate * WaitLoss(r.Reload, r.CallerTime)
	if r.StoreContended {
		loss *= 2
	}
	return loss
}

// RecentUse returns the probability that a model which was last used some time ago is used
// within the horizon. Both are in the same unit. It assumes no known rate: a model unused for as
// long as the horizon is used within it in half of the cases. Package planner uses it too.
func RecentUse(idle, horizon float64) float64 { return 1 / (1 + max(idle, 0)/horizon) }
