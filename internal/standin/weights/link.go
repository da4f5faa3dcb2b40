package weights

import (
	"container/heap"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// finishSlack is by how many bytes a transfer may fall short of its size when
// it counts as finished; it absorbs the rounding of virtual time.
const finishSlack = 1e-3

// Link is a bandwidth shared by transfers: up to fullSpeed of them run at the
// full rate each; beyond that all slow down evenly. Safe for concurrent use.
//
// All transfers have the same rate at any time, so the bytes each has moved
// since it began are the growth of one counter, and the next to finish is the
// top of a heap: an event costs the logarithm of the number of transfers.
type Link struct {
	clock clock.Clock

	mutex          sync.Mutex
	bytesPerSecond float64
	fullSpeed      int
	slowDown       float64
	// moved is the bytes that a transfer active since the beginning moved.
	moved   float64
	updated time.Time
	active  transferHeap
	timer   clock.Timer
	// armed identifies the newest timer; older ones do nothing.
	armed uint64
}

// NewLink returns a link that gives bytesPerSecond to each of up to fullSpeed
// transfers at once.
func NewLink(c clock.Clock, bytesPerSecond float64, fullSpeed int) *Link {
	return &Link{
		clock: c, bytesPerSecond: bytesPerSecond, fullSpeed: max(1, fullSpeed),
		slowDown: 1, updated: c.Now(),
	}
}

// linkTransfer is one transfer on a link.
type linkTransfer struct {
	link  *Link
	bytes float64
	// target is the link's moved counter at which the transfer is finished.
	target   float64
	position int
	done     func(error)
}

// Fetch begins a transfer at once; it implements Fetcher.
func (l *Link) Fetch(bytes int64, done func(error)) Transfer {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance()
	transfer := &linkTransfer{link: l, bytes: float64(bytes), done: done}
	transfer.target = l.moved + transfer.bytes
	heap.Push(&l.active, transfer)
	l.arm()
	return transfer
}

// Active returns how many transfers run.
func (l *Link) Active() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.active)
}

// SetSlowDown makes every transfer slower by a factor; 1 or less is full speed.
func (l *Link) SetSlowDown(factor float64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.advance()
	l.slowDown = max(1, factor)
	l.arm()
}

// SlowDown returns the factor set.
func (l *Link) SlowDown() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.slowDown
}

// FailAll ends every transfer with err.
func (l *Link) FailAll(err error) {
	l.mutex.Lock()
	l.advance()
	failed := l.active
	l.active = nil
	for _, transfer := range failed {
		transfer.position = -1
	}
	l.arm()
	l.mutex.Unlock()
	for _, transfer := range failed {
		transfer.done(err)
	}
}

// rate returns the bytes per second of each transfer.
func (l *Link) rate() float64 {
	rate := l.bytesPerSecond / l.slowDown
	if len(l.active) > l.fullSpeed {
		rate *= float64(l.fullSpeed) / float64(len(l.active))
	}
	return rate
}

// advance moves the counter to the present.
func (l *Link) advance() {
	now := l.clock.Now()
	elapsed := now.Sub(l.updated).Seconds()
	l.updated = now
	if len(l.active) == 0 {
		l.moved = 0
		return
	}
	if elapsed > 0 {
		l.moved += elapsed * l.rate()
	}
}

// arm sets the timer to the next finish.
func (l *Link) arm() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	l.armed++
	if len(l.active) == 0 {
		return
	}
	left := max(0, l.active[0].target-l.moved)
	// Rounded up, so that the transfer is finished when the timer fires.
	delay := time.Duration(left/l.rate()*float64(time.Second)) + 1
	armed := l.armed
	l.timer = l.clock.AfterFunc(delay, func() { l.fire(armed) })
}

func (l *Link) fire(armed uint64) {
	l.mutex.Lock()
	if armed != l.armed {
		l.mutex.Unlock()
		return
	}
	l.advance()
	var finished []*linkTransfer
	for len(l.active) > 0 && l.active[0].target <= l.moved+finishSlack {
		finished = append(finished, heap.Pop(&l.active).(*linkTransfer))
	}
	l.arm()
	l.mutex.Unlock()
	for _, transfer := range finished {
		transfer.done(nil)
	}
}

// Progress implements Transfer.
func (t *linkTransfer) Progress() float64 {
	t.link.mutex.Lock()
	defer t.link.mutex.Unlock()
	if t.position < 0 || t.bytes <= 0 {
		return 1
	}
	t.link.advance()
	left := (t.target - t.link.moved) / t.bytes
	return min(1, max(0, 1-left))
}

// Cancel implements Transfer.
func (t *linkTransfer) Cancel() {
	t.link.mutex.Lock()
	defer t.link.mutex.Unlock()
	if t.position < 0 {
		return
	}
	t.link.advance()
	heap.Remove(&t.link.active, t.position)
	t.link.arm()
}

// transferHeap orders transfers by their finish. A transfer that has left the
// heap has position -1.
type transferHeap []*linkTransfer

func (h transferHeap) Len() int           { return len(h) }
func (h transferHeap) Less(i, j int) bool { return h[i].target < h[j].target }

func (h transferHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i
	h[j].position = j
}

func (h *transferHeap) Push(x any) {
	transfer := x.(*linkTransfer)
	transfer.position = len(*h)
	*h = append(*h, transfer)
}

func (h *transferHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.position = -1
	return last
}
