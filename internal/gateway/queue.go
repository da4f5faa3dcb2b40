package gateway

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/hatchplank/hatchplank/internal/router"
)

// priorities is the number of priorities; 0 is the lowest.
const priorities = 10

// group is the queue of one base model with its adapters, or of one pool.
type group struct {
	key string
	// name of the base model or pool, as the router uses it.
	name   string
	router *router.Router
	flows  []*flow
	byKey  map[flowKey]*flow
	// waiting requests by priority, and their sum.
	byPriority [priorities]int
	waiting    int
	running    int
	// virtualTime of the flow served last, as in weighted fair queueing.
	virtualTime float64
	// pass counts the calls of dispatch; see flow.blockedPass.
	pass          uint64
	service       serviceTimes
	budget        retryBudget
	dispatchTimer timerItem
	rows          map[string]*rowDemand
	lastUsed      time.Time
}

type flowKey struct {
	row, tenant string
	// version is set for streams that must continue with it.
	version string
}

// flow is the unit of fair sharing: the waiting requests of one tenant for one
// row, ordered by priority and within a priority by deadline.
type flow struct {
	key    flowKey
	weight float64
	demand *rowDemand
	// arrivals at the flow, including refused requests.
	arrivals arrivals
	heaps    [priorities]entryHeap
	// occupied has a bit for each priority with waiting requests.
	occupied uint16
	// latest is the latest refusal time that was queued at each priority since
	// its heap was last empty.
	latest  [priorities]time.Time
	waiting int
	// virtualTime is the virtual start time of the flow's next request.
	virtualTime float64
	// blockedPass is the latest pass in which no endpoint could take the flow's
	// first request; the flow is skipped for the rest of that pass.
	blockedPass uint64
	// oldest and newest waiting entry, by time of acceptance.
	oldest, newest *entry
}

func (f *flow) topPriority() int { return bits.Len16(f.occupied) - 1 }

// head returns the entry to be served next; the flow must not be empty.
func (f *flow) head() *entry { return f.heaps[f.topPriority()][0] }

// next returns the flow to serve: the one with the highest priority, then the
// lowest virtual time, then the earliest deadline. Flows blocked in this pass are
// skipped; nil if none is left.
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

// before reports whether the flow is to be served before the other one.
func (f *flow) before(other *flow) bool {
	if f.topPriority() != other.topPriority() {
		return f.topPriority() > other.topPriority()
	}
	if f.virtualTime != other.virtualTime {
		return f.virtualTime < other.virtualTime
	}
	return f.head().refuseAt.Before(other.head().refuseAt)
}

// push adds an entry to its flow. A flow that was empty starts at the group's
// virtual time, so that it gains no credit while idle.
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

// remove removes an entry from its flow.
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

// charge advances the flow's virtual time by one dispatch.
func (g *group) charge(flow *flow) {
	g.virtualTime = max(g.virtualTime, flow.virtualTime)
	flow.virtualTime += 1 / flow.weight
}

// link inserts an entry into the list ordered by time of acceptance. The search
// starts at the newest for a new entry, and at the oldest for one that returns
// after a failed attempt, since these are probably closest.
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

// linkBefore inserts an entry before the next newer one, or at the end if that is
// nil.
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

// entryHeap orders entries by refusal time; it implements heap.Interface.
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
