package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// assumedNodes share the limits until their number is known: more than most fleets
// have, since a share that is too large breaks a limit.
const assumedNodes = 100

// aloneShare of its share is what a node gives that reaches no node which counts:
// these may give the whole limit to others meanwhile. Half a share is about what
// tenants ask for that are not near their limits.
const aloneShare = 0.5

// nearShare is that of a limit which was nearly reached: a third of the nodes may be
// cut off together, and what they give adds to a limit that is used up.
const nearShare = 0.1

// alone counts while no node that counts for all can be reached. Callers at this node
// then get one request, and after it part of this node's share of the rate; where the
// limit was nearly reached, or is paced, they get that only.
type alone struct {
	mutex sync.Mutex
	nodes int
	// next is when each limit allows the next request.
	next map[string]time.Time
}

func newAlone() *alone { return &alone{nodes: assumedNodes, next: map[string]time.Time{}} }

func (a *alone) setNodes(nodes int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.nodes = max(nodes, 1)
}

// take decides on a request; near tells that the limit was nearly reached.
func (a *alone) take(name string, limit Limit, cost float64, near bool, now time.Time) (within bool, roomIn time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	share := aloneShare
	if near {
		share = nearShare
	}
	pause := timeFor(cost, share*limit.Rate/float64(a.nodes))
	next := a.next[name]
	if (near || limit.Paced) && next.Add(pause).Before(now) {
		next = now.Add(pause)
		a.next[name] = next
	}
	if now.Before(next) {
		return false, next.Sub(now)
	}
	a.next[name] = now.Add(pause)
	return true, 0
}

// forget drops limits that nobody has asked for lately.
func (a *alone) forget(now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	maps.DeleteFunc(a.next, func(_ string, next time.Time) bool { return now.Sub(next) > unusedTime })
}
