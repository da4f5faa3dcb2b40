package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// assumedNodes is the number of nodes that share the limits until the real one is known: more
// than most fleets have, since a share that is too large breaks a limit.
const assumedNodes = 100

// fallbackShare is the part of its share of the rate that a node grants while it reaches no
// counter node: these may grant the whole limit to other nodes meanwhile. Half a share is
// about what tenants use that are not near their limits.
const fallbackShare = 0.5

// nearLimitShare replaces fallbackShare for a limit that was nearly reached: a third of the
// nodes may be partitioned together, and what they grant adds to a limit that is used up.
const nearLimitShare = 0.1

// fallback decides on requests while no counter node can be reached. Callers at this node then
// get one request at once, and after it a part of this node's share of the rate; if the limit
// was nearly reached or is paced, they get only that part.
type fallback struct {
	mutex sync.Mutex
	nodes int
	// nextAt is when each limit allows the next request, by name.
	nextAt map[string]time.Time
}

func newFallback() *fallback {
	return &fallback{nodes: assumedNodes, nextAt: map[string]time.Time{}}
}

func (f *fallback) setNodes(nodes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = max(nodes, 1)
}

// take decides on a request; nearLimit is set if the limit was nearly reached.
func (f *fallback) take(name string, limit Limit, cost float64, nearLimit bool, now time.Time) (allowed bool, retryAfter time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	share := fallbackShare
	if nearLimit {
		share = nearLimitShare
	}
	pause := timeFor(cost, share*limit.Rate/float64(f.nodes))
	next := f.nextAt[name]
	if (nearLimit || limit.Paced) && next.Add(pause).Before(now) {
		next = now.Add(pause)
		f.nextAt[name] = next
	}
	if now.Before(next) {
		return false, next.Sub(now)
	}
	f.nextAt[name] = now.Add(pause)
	return true, 0
}

// prune drops limits that were not used for idleTime.
func (f *fallback) prune(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	maps.DeleteFunc(f.nextAt, func(_ string, next time.Time) bool { return now.Sub(next) > idleTime })
}
