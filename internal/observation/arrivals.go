package observation

import "maps"

// RecordArrival counts a request to a pool without models. Requests for models are counted with the
// demand for them.
func (t *Table) RecordArrival(pool string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.arrived[pool]++
}

// Arrivals returns the counts of RecordArrival by pool.
func (t *Table) Arrivals() map[string]uint64 {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return maps.Clone(t.arrived)
}
