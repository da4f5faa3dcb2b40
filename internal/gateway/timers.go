package gateway

import (
	"container/heap"
	"time"
)

// timerKind is the action that a timerItem triggers.
type timerKind uint8

const (
	timerExpiry timerKind = iota
	timerBackOff
	timerDispatch
	timerAbandon
)

// timerItem is an entry of a shard's timer heap. It is embedded in the entry, group
// or attempt that it belongs to. The heap lets a shard use a single clock timer.
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

// schedule sets or changes an item's due time.
func (s *shard) schedule(item *timerItem, at time.Time) {
	item.at = at
	if item.position > 0 {
		heap.Fix(&s.timers, item.position-1)
	} else {
		heap.Push(&s.timers, item)
	}
	s.arm()
}

// unschedule removes an item. The clock timer is not changed: if it fires early,
// nothing is due and it is set again.
func (s *shard) unschedule(item *timerItem) {
	if item.position > 0 {
		heap.Remove(&s.timers, item.position-1)
	}
}

// arm sets the clock timer to the due time of the earliest item.
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

// fire is the clock timer's callback; it handles all items that are due.
func (s *shard) fire() {
	section := s.lock()
	s.timer = nil
	for len(s.timers) > 0 && !s.timers[0].at.After(section.now) {
		item := heap.Pop(&s.timers).(*timerItem)
		s.handleTimer(item, section)
	}
	s.arm()
	s.unlock(section)
}

// handleTimer performs the action of an item that is due.
func (s *shard) handleTimer(item *timerItem, section *criticalSection) {
	switch item.kind {
	case timerExpiry:
		s.expire(item.entry, section)
	case timerBackOff:
		s.requeue(item.entry, section)
	case timerDispatch:
		s.dispatch(item.group, section)
	case timerAbandon:
		s.abandonAttempt(item.attempt, section)
	}
}
