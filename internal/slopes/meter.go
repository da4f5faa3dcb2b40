package slopes

import (
	"slices"
	"strings"
	"time"
)

// Counts of one role, summed over all nodes.
type Counts struct {
	// Sent and Received messages and their bytes; a message between two nodes
	// counts once as sent and once as received.
	Messages, Bytes float64
	// Codec is the processor time of encoding and decoding.
	Codec time.Duration
	// KeyValueOperations asked of the key-value service.
	KeyValueOperations float64
	// PlatformCalls to engines, machine list and weight store.
	PlatformCalls float64
}

// add sums up.
func (c *Counts) add(other Counts) {
	c.Messages += other.Messages
	c.Bytes += other.Bytes
	c.Codec += other.Codec
	c.KeyValueOperations += other.KeyValueOperations
	c.PlatformCalls += other.PlatformCalls
}

// KindCounts are the counts of one kind of message.
type KindCounts struct {
	Role Role
	Kind string
	Counts
}

// Meter counts what all hollow nodes of one world send and receive. It runs on
// the simulation's goroutine.
type Meter struct {
	kinds   map[string]*KindCounts
	samples map[string]*sampler
	// running: counting has begun.
	running bool
	// peerMessages counted between nodes, and their bytes.
	peerMessages uint64
	peerBytes    float64
}

// NewMeter returns a meter that does not count yet.
func NewMeter() *Meter {
	return &Meter{kinds: map[string]*KindCounts{}, samples: map[string]*sampler{}}
}

// Start begins to count.
func (m *Meter) Start() { m.running = true }

// Stop ends counting.
func (m *Meter) Stop() { m.running = false }

func (m *Meter) kind(role Role, kind string) *KindCounts {
	key := string(role) + "\x00" + kind
	counts := m.kinds[key]
	if counts == nil {
		counts = &KindCounts{Role: role, Kind: kind}
		m.kinds[key] = counts
	}
	return counts
}

// Kinds returns the counts of each kind, the most bytes first.
func (m *Meter) Kinds() []KindCounts {
	kinds := make([]KindCounts, 0, len(m.kinds))
	for _, counts := range m.kinds {
		kinds = append(kinds, *counts)
	}
	slices.SortFunc(kinds, func(a, b KindCounts) int {
		if a.Bytes != b.Bytes {
			if a.Bytes > b.Bytes {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Kind, b.Kind)
	})
	return kinds
}

// ByRole sums the counts of each role.
func (m *Meter) ByRole() map[Role]Counts {
	sums := map[Role]Counts{}
	for _, counts := range m.kinds {
		sum := sums[counts.Role]
		sum.add(counts.Counts)
		sums[counts.Role] = sum
	}
	return sums
}
