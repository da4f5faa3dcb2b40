package forward

import (
	"container/heap"
	"runtime"
	"sync"
	"time"
)

// turns lets the requests that wait for a pool's servers choose one after the other once capacity may have become
// free, the most urgent first: all of them are woken at once, in no order. On several cores, one may choose before
// another that comes first has woken. It is safe for concurrent use.
type turns struct {
	mutex  sync.Mutex
	byPool map[string]*poolTurns
}

// poolTurns are the requests of a pool that were woken.
type poolTurns struct {
	// choosing: a request has its turn.
	choosing bool
	woken    turnHeap
}

// turn is that of one request.
type turn struct {
	priority int
	// latestStart is the latest time at which a server can begin with the request.
	latestStart time.Time
	granted     chan struct{}
}

// before reports whether the turn comes before another: by priority, and then by the time that the caller has to spare.
func (t *turn) before(other *turn) bool {
	if t.priority != other.priority {
		return t.priority < other.priority
	}
	return t.latestStart.Before(other.latestStart)
}

func newTurns() *turns { return &turns{byPool: map[string]*poolTurns{}} }

// await waits until all woken requests that come before this one have chosen. The caller must call end after its own
// choice, which must not wait for anything.
func (t *turns) await(pool string, priority int, latestStart time.Time) (end func()) {
	own := &turn{priority: priority, latestStart: latestStart, granted: make(chan struct{})}
	t.add(pool, own)
	// Requests that were woken at the same time add their turns first.
	runtime.Gosched()
	t.begin(pool)
	<-own.granted
	return func() { t.end(pool) }
}

func (t *turns) add(pool string, own *turn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.byPool[pool]
	if found == nil {
		found = &poolTurns{}
		t.byPool[pool] = found
	}
	heap.Push(&found.woken, own)
}

// begin grants the first turn unless a request is choosing, which grants the next one.
func (t *turns) begin(pool string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if found := t.byPool[pool]; !found.choosing {
		found.grantNext()
	}
}

// end ends the current turn and grants the next one.
func (t *turns) end(pool string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := t.byPool[pool]
	found.grantNext()
	if !found.choosing {
		delete(t.byPool, pool)
	}
}

// grantNext grants the first turn of those that were woken, if there is one. The lock must be held.
func (p *poolTurns) grantNext() {
	p.choosing = p.woken.Len() > 0
	if p.choosing {
		close(heap.Pop(&p.woken).(*turn).granted)
	}
}

// turnHeap implements heap.Interface.
type turnHeap []*turn

func (h turnHeap) Len() int           { return len(h) }
func (h turnHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h turnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(added any) { *h = append(*h, added.(*turn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
