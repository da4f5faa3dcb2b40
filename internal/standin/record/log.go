package record

import "sync"

// blockEvents is how many events one block of a Log holds.
const blockEvents = 4096

// Log is an append-only record of events, safe for concurrent use. A nil Log
// drops everything.
type Log struct {
	mutex     sync.Mutex
	discard   bool
	consumers []func(Event)
	blocks    [][]Event
	appended  uint64
	counts    [kindEnd]uint64
}

// NewLog returns a log that keeps every event.
func NewLog() *Log { return &Log{} }

// NewStream returns a log that keeps no event but hands each to consumer, for
// runs too long to keep.
func NewStream(consumer func(Event)) *Log {
	return &Log{discard: true, consumers: []func(Event){consumer}}
}

// Subscribe hands every later event to consumer, in order. The consumer is
// called under the log's lock and must not call the log.
func (l *Log) Subscribe(consumer func(Event)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.consumers = append(l.consumers, consumer)
}

// Append adds an event and numbers it.
func (l *Log) Append(event Event) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.appended++
	event.Sequence = l.appended
	if event.Kind < kindEnd {
		l.counts[event.Kind]++
	}
	if !l.discard {
		l.keep(event)
	}
	for _, consumer := range l.consumers {
		consumer(event)
	}
}

func (l *Log) keep(event Event) {
	last := len(l.blocks) - 1
	if last < 0 || len(l.blocks[last]) == blockEvents {
		l.blocks = append(l.blocks, make([]Event, 0, blockEvents))
		last++
	}
	l.blocks[last] = append(l.blocks[last], event)
}

// Appended returns how many events were ever appended.
func (l *Log) Appended() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appended
}

// Count returns how many events of a kind were ever appended.
func (l *Log) Count(kind Kind) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if kind >= kindEnd {
		return 0
	}
	return l.counts[kind]
}

// After returns up to limit kept events whose sequence is above the given one,
// in order; limit 0 means all.
func (l *Log) After(sequence uint64, limit int) []Event {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.discard || sequence >= l.appended {
		return nil
	}
	available := int(l.appended - sequence)
	if limit <= 0 || limit > available {
		limit = available
	}
	events := make([]Event, 0, limit)
	for position := int(sequence); len(events) < limit; {
		block := l.blocks[position/blockEvents]
		rest := block[position%blockEvents:]
		rest = rest[:min(len(rest), limit-len(events))]
		events = append(events, rest...)
		position += len(rest)
	}
	return events
}

// Events returns all kept events.
func (l *Log) Events() []Event { return l.After(0, 0) }
