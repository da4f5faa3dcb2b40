package ratelimit

import (
	"maps"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/window"
)

// assumedNodes is the number of nodes that share the limits until the real one is known: more
// than most fleets have, since a share that is too large breaks a limit.
const assumedNodes = 100

// fallbackShare is the part of its share of the rate that a node grants while it reaches no
// counter node: these may grant the whole limit to other nodes meanwhile. Half a share is
// about what tenants use that are not near their limits.
const fallbackShare = 0.5

// nearLimitShare replaces fallbackShare for a limit that was nearly reached, or of which more is
// requested here than this node's whole share: a third of the nodes may be partitioned together,
// and what they grant adds to a limit that is used up.
const nearLimitShare = 0.1

// fallback decides on requests while no counter node can be reached. Callers at this node then
// get one request at once, and after it a part of this node's share of the rate; if the limit
// was nearly reached or is paced, they get only that part.
type fallback struct {
	mutex sync.Mutex
	nodes int
	// byName of the limit.
	byName map[string]*fallbackMeter
}

// fallbackMeter is the state of one limit.
type fallbackMeter struct {
	// began is when the first request arrived, and requested what was requested within the window
	// since, in the limit's unit, while no counter node replied.
	began     time.Time
	requested window.Sum
	// grantedAt is when a request was granted last, and granted its cost. A limit that begins
	// with a pause has them as if one had been granted then.
	grantedAt time.Time
	granted   float64
	// nextAt is when the next request could be granted, as of the last request.
	nextAt time.Time
}

// exceedsShare counts a request, and reports whether more was requested before it than the node's share
// of the limit.
func (m *fallbackMeter) exceedsShare(request Request, nodes int, now time.Time) bool {
	before := m.requested.Total(now)
	m.requested.Add(request.Cost, now)
	counted := min(now.Sub(m.began), request.Limit.Window)
	return before > (request.Limit.Rate*counted.Seconds()+request.Limit.Burst)/float64(nodes)
}

// take grants a request if the rate yielded the cost of the last one since. With pauseFirst, callers that
// requested nothing for long wait for that too.
func (m *fallbackMeter) take(cost, rate float64, pauseFirst bool, now time.Time) (allowed bool, retryAfter time.Duration) {
	if pauseFirst && now.Sub(m.grantedAt) > 2*timeFor(cost, rate) {
		m.grantedAt, m.granted = now, cost
	}
	m.nextAt = m.grantedAt.Add(timeFor(m.granted, rate))
	if now.Before(m.nextAt) {
		return false, m.nextAt.Sub(now)
	}
	m.grantedAt, m.granted, m.nextAt = now, cost, now.Add(timeFor(cost, rate))
	return true, 0
}

func newFallback() *fallback {
	return &fallback{nodes: assumedNodes, byName: map[string]*fallbackMeter{}}
}

func (f *fallback) setNodes(nodes int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nodes = max(nodes, 1)
}

// fallbackState is what this node knows of a limit that it decides on.
type fallbackState struct {
	// nearLimit is set if the limit was nearly reached at the last count.
	nearLimit bool
	// othersMayCount is set if there are counter nodes, which this node does not reach.
	othersMayCount bool
}

// take decides on a request.
func (f *fallback) take(request Request, state fallbackState, now time.Time) (allowed bool, retryAfter time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	limit := request.Limit
	found := f.byName[request.Name]
	if found == nil {
		found = &fallbackMeter{began: now, requested: window.NewSum(limit.Window, now)}
		f.byName[request.Name] = found
	}
	share := fallbackShare
	if exceeds := found.exceedsShare(request, f.nodes, now); state.nearLimit || exceeds && state.othersMayCount && !limit.Paced {
		share = nearLimitShare
	}
	return found.take(request.Cost, share*limit.Rate/float64(f.nodes), state.nearLimit || limit.Paced, now)
}

// prune drops limits that were not used for idleTime.
func (f *fallback) prune(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	maps.DeleteFunc(f.byName, func(_ string, idle *fallbackMeter) bool { return now.Sub(idle.nextAt) > idleTime })
}
