package gateway

import (
	"container/heap"
	"time"
)

// timerKind says what is due.
type timerKind uint8

const (
	timerExpiry timerKind = iota
	timerBackOff
	timerWake
	timerAbandon
)

// timerItem is one due time in a shard's heap, embedded in what it is about. A
// shard needs only one clock timer, whatever the number of items.
type timerItem struct {
	at time.Time
	// position in the heap plus one; 0: not in the heap.
	position int
	kind     timerKind
	entry    *entry
	group    *group
	attempt  *attempt
}

type timerHeap []*timerItem

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position = i + 1
	h[j].position = j + 1
}

func (h *timerHeap) Push(value any) {
	item := value.(*timerItem)
	*h = append(*h, item)
	item.position = len(*h)
}

func (h *timerHeap) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	item.position = 0
	return item
}

// schedule sets an item's due time.
func (s *shard) schedule(item *timerItem, at time.Time) {
	item.at = at
	if item.position > 0 {
		heap.Fix(&s.timers, item.position-1)
	} else {
		heap.Push(&s.timers, item)
	}
	s.arm()
}

// unschedule removes an item. The clock timer is left alone: firing early is
// harmless.
func (s *shard) unschedule(item *timerItem) {
	if item.position > 0 {
		heap.Remove(&s.timers, item.position-1)
	}
}

// arm makes the clock timer fire at the earliest item.
func (s *shard) arm() {
	if len(s.timers) == 0 {
		return
	}
	earliest := s.timers[0].at
	if s.timer != nil {
		if !earliest.Before(s.armedFor) {
			return
		}
		s.timer.Stop()
	}
	s.armedFor = earliest
	delay := max(earliest.Sub(s.gateway.config.Clock.Now()), 0)
	s.timer = s.gateway.config.Clock.AfterFunc(delay, s.fire)
}

// fire handles what is due.
func (s *shard) fire() {
	turn := s.begin()
	s.timer = nil
	for len(s.timers) > 0 && !s.timers[0].at.After(turn.now) {
		item := heap.Pop(&s.timers).(*timerItem)
		s.due(item, turn)
	}
	s.arm()
	s.end(turn)
}

func (s *shard) due(item *timerItem, turn *turn) {
	switch item.kind {
	case timerExpiry:
		s.expire(item.entry, turn)
	case timerBackOff:
		s.requeue(item.entry, turn)
	case timerWake:
		s.dispatch(item.group, turn)
	case timerAbandon:
		s.abandoned(item.attempt, turn)
	}
}
