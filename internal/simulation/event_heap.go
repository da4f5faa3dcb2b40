package simulation

// scheduledEvent is an event's place in the order of a loop. The order stands
// beside the pointer, so that sifting does not follow pointers.
type scheduledEvent struct {
	// at is the time since Epoch in nanoseconds.
	at       int64
	sequence uint64
	event    *event
}

func (e scheduledEvent) before(other scheduledEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// heapArity is the number of children of a heap's node. Four children stand in
// one or two cache lines and halve the depth of a binary heap.
const heapArity = 4

// eventHeap is a heap by time and sequence.
type eventHeap []scheduledEvent

func (h *eventHeap) push(added scheduledEvent) {
	*h = append(*h, added)
	events := *h
	position := len(events) - 1
	for position > 0 {
		parent := (position - 1) / heapArity
		if !added.before(events[parent]) {
			break
		}
		events[position] = events[parent]
		position = parent
	}
	events[position] = added
}

// pop removes and returns the first event; the heap must not be empty.
func (h *eventHeap) pop() scheduledEvent {
	events := *h
	first := events[0]
	last := len(events) - 1
	moved := events[last]
	events[last] = scheduledEvent{}
	*h = events[:last]
	if last > 0 {
		h.siftDown(moved)
	}
	return first
}

// siftDown puts an event in place of the first one.
func (h *eventHeap) siftDown(moved scheduledEvent) {
	events := *h
	position := 0
	for {
		least := events.leastChild(position)
		if least < 0 || !events[least].before(moved) {
			break
		}
		events[position] = events[least]
		position = least
	}
	events[position] = moved
}

// leastChild returns the first of a position's children, or -1 without any.
func (h eventHeap) leastChild(position int) int {
	first := position*heapArity + 1
	if first >= len(h) {
		return -1
	}
	least := first
	for child := first + 1; child < min(first+heapArity, len(h)); child++ {
		if h[child].before(h[least]) {
			least = child
		}
	}
	return least
}
