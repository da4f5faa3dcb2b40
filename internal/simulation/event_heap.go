package simulation

// scheduledEvent is an event with its sort key. The key is stored beside the
// pointer rather than in the event, so that sifting does not dereference
// pointers.
type scheduledEvent struct {
	// at is the time since Epoch in nanoseconds.
	at int64
	// sequence is the order of scheduling; it breaks ties of at.
	sequence uint64
	event    *event
}

func (e scheduledEvent) before(other scheduledEvent) bool {
	if e.at != other.at {
		return e.at < other.at
	}
	return e.sequence < other.sequence
}

// heapArity is the number of children of each heap node. Four children fit into
// one or two cache lines and halve the depth compared with a binary heap.
const heapArity = 4

// eventHeap is a min-heap ordered by time, then sequence.
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

// pop removes and returns the earliest event; the heap must not be empty.
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

// siftDown replaces the root by moved and restores the heap order.
func (h *eventHeap) siftDown(moved scheduledEvent) {
	events := *h
	position := 0
	for {
		earliest := events.earliestChild(position)
		if earliest < 0 || !events[earliest].before(moved) {
			break
		}
		events[position] = events[earliest]
		position = earliest
	}
	events[position] = moved
}

// earliestChild returns the index of the earliest child of a position, or -1 if
// it has none.
func (h eventHeap) earliestChild(position int) int {
	first := position*heapArity + 1
	if first >= len(h) {
		return -1
	}
	earliest := first
	for child := first + 1; child < min(first+heapArity, len(h)); child++ {
		if h[child].before(h[earliest]) {
			earliest = child
		}
	}
	return earliest
}
