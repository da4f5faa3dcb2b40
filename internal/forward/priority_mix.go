package forward

import "sync"

// priorityMixWeight is the weight of one request in the priority mix of its pool: some 250 requests
// count.
const priorityMixWeight = 1.0 / 256

// priorityMix is the recent share of each priority among this node's requests, by pool. Servers
// report how many requests wait, but not their priorities. They start the most urgent first, so
// that an urgent request waits only for those that are at least as urgent. It is safe for concurrent
// use.
type priorityMix struct {
	mutex  sync.Mutex
	byPool map[string]*[lowestPriority + 1]float64
}

func newPriorityMix() *priorityMix {
	return &priorityMix{byPool: map[string]*[lowestPriority + 1]float64{}}
}

// record counts a request.
func (m *priorityMix) record(pool string, priority int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	shares := m.byPool[pool]
	if shares == nil {
		shares = &[lowestPriority + 1]float64{}
		m.byPool[pool] = shares
	}
	for i := range shares {
		shares[i] *= 1 - priorityMixWeight
	}
	shares[min(priority, lowestPriority)] += priorityMixWeight
}

// atLeastAsUrgent returns the share of the pool's requests that are not less urgent than the
// priority; 1 while none is known.
func (m *priorityMix) atLeastAsUrgent(pool string, priority int) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	shares := m.byPool[pool]
	if shares == nil {
		return 1
	}
	urgent, total := 0.0, 0.0
	for i, share := range shares {
		total += share
		if i <= min(priority, lowestPriority) {
			urgent += share
		}
	}
	if total == 0 {
		return 1
	}
	return urgent / total
}

// aheadShare is the share of the requests waiting at a server that are started before the flow's
// request. Only servers that hold models know priorities.
func (f *Forwarder) aheadShare(flow *flow) float64 {
	if flow.request.Model == "" {
		return 1
	}
	return f.priorities.atLeastAsUrgent(flow.pool, flow.priority)
}
