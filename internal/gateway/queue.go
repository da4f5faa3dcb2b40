package gateway

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/hatchplank/hatchplank/internal/router"
)

// priorities is the number of priorities, from 0 (lowest).
const priorities = 10

// group is the queue of one base model with its adapters, or of one pool.
type group struct {
	key string
	// name in the router.
	name   string
	router *router.Router
	flows  []*flow
	byKey  map[flowKey]*flow
	// waiting requests by priority, and their sum.
	byPriority [priorities]int
	waiting    int
	running    int
	// virtualTime of the flow served last.
	virtualTime float64
	pass        uint64
	service     serviceTimes
	budget      retryBudget
	wake        timerItem
	rows        map[string]*rowDemand
	lastUsed    time.Time
}

type flowKey struct {
	row, tenant string
	// version is set for streams that must go on with it.
	version string
}

// flow is what shares fairly: the waiting requests of one tenant for one row,
// by priority and within a priority by deadline.
type flow struct {
	key    flowKey
	weight float64
	demand *rowDemand
	// arrivals of the flow, those refused included.
	arrivals arrivals
	heaps    [priorities]entryHeap
	// occupied has a bit for each priority with waiting requests.
	occupied uint16
	latest   [priorities]time.Time
	waiting  int
	// virtualTime at which the next request starts.
	virtualTime float64
	// blockedPass is the last dispatch in which no endpoint had a place.
	blockedPass uint64
	// oldest and newest of the waiting, by acceptance.
	oldest, newest *entry
}

func (f *flow) top() int { return bits.Len16(f.occupied) - 1 }

func (f *flow) head() *entry { return f.heaps[f.top()][0] }

// next returns the flow to serve: highest priority, then least served for its
// weight, then earliest deadline. Flows blocked in this pass are left out.
func (g *group) next() *flow {
	var best *flow
	for _, flow := range g.flows {
		if flow.waiting == 0 || flow.blockedPass == g.pass {
			continue
		}
		if best == nil || flow.before(best) {
			best = flow
		}
	}
	return best
}

func (f *flow) before(other *flow) bool {
	if f.top() != other.top() {
		return f.top() > other.top()
	}
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}
	return f.head().refuseAt.Before(other.head().refuseAt)
}

// push adds an entry to its flow.
func (g *group) push(e *entry) {
	flow := e.flow
	if flow.waiting == 0 {
		flow.virtualTime = max(flow.virtualTime, g.virtualTime)
	}
	priority := e.request.Priority
	heap.Push(&flow.heaps[priority], e)
	flow.occupied |= 1 << priority
	if e.refuseAt.After(flow.latest[priority]) || len(flow.heaps[priority]) == 1 {
		flow.latest[priority] = e.refuseAt
	}
	flow.link(e)
	flow.waiting++
	g.waiting++
	g.byPriority[priority]++
}

// remove takes an entry out of its flow.
func (g *group) remove(e *entry) {
	flow := e.flow
	priority := e.request.Priority
	heap.Remove(&flow.heaps[priority], e.index)
	if len(flow.heaps[priority]) == 0 {
		flow.occupied &^= 1 << priority
	}
	flow.unlink(e)
	flow.waiting--
	g.waiting--
	g.byPriority[priority]--
}

// charge counts a dispatch against the flow's share.
func (g *group) charge(flow *flow) {
	g.virtualTime = max(g.virtualTime, flow.virtualTime)
	flow.virtualTime += 1 / flow.weight
}

// link adds an entry to the list by acceptance. New entries belong near the
// newest, entries that come back after a failed attempt near the oldest.
func (f *flow) link(e *entry) {
	if e.attempts > 0 {
		f.linkBefore(e, f.firstAfter(e.request.Accepted))
		return
	}
	older := f.newest
	for older != nil && older.request.Accepted.After(e.request.Accepted) {
		older = older.older
	}
	if older == nil {
		f.linkBefore(e, f.oldest)
		return
	}
	f.linkBefore(e, older.newer)
}

// firstAfter returns the oldest entry accepted after a time.
func (f *flow) firstAfter(accepted time.Time) *entry {
	newer := f.oldest
	for newer != nil && !newer.request.Accepted.After(accepted) {
		newer = newer.newer
	}
	return newer
}

// linkBefore puts an entry before the next newer one; nil: at the end.
func (f *flow) linkBefore(e, newer *entry) {
	older := f.newest
	if newer != nil {
		older = newer.older
		newer.older = e
	} else {
		f.newest = e
	}
	e.older, e.newer = older, newer
	if older != nil {
		older.newer = e
	} else {
		f.oldest = e
	}
}

func (f *flow) unlink(e *entry) {
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		f.oldest = e.newer
	}
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		f.newest = e.older
	}
	e.older, e.newer = nil, nil
}

// entryHeap orders entries by deadline.
type entryHeap []*entry

func (h entryHeap) Len() int           { return len(h) }
func (h entryHeap) Less(i, j int) bool { return h[i].refuseAt.Before(h[j].refuseAt) }

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap) Push(value any) {
	e := value.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
