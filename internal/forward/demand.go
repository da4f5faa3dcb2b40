package forward

import (
	"sort"
	"sync"
	"time"
)

// DemandKey names what requests need: a model in a pool, with or without an adapter.
type DemandKey struct {
	Pool, Model, Adapter string
}

// Demand of one node's requests for one key.
type Demand struct {
	DemandKey
	// Waiting is the number of requests that no server can serve yet.
	Waiting int
	// Priority is that of the most urgent waiting request; 0 is the most urgent.
	Priority int
	// ExpectedUntil is the time until which refused requests are expected to be retried.
	ExpectedUntil time.Time
	// Running is the number of requests that were sent to servers and have not ended.
	Running int
	// Arrived is the number of requests since the node started.
	Arrived uint64
}

// demandTable counts demand by key. It is safe for concurrent use.
type demandTable struct {
	mutex sync.Mutex
	rows  map[DemandKey]*Demand
	// added receives a value after addWaiting and expectRetry.
	added chan struct{}
}

func newDemandTable() *demandTable {
	return &demandTable{rows: map[DemandKey]*Demand{}, added: make(chan struct{}, 1)}
}

// row returns the key's row. The lock must be held.
func (t *demandTable) row(key DemandKey) *Demand {
	found := t.rows[key]
	if found == nil {
		found = &Demand{DemandKey: key}
		t.rows[key] = found
	}
	return found
}

func (t *demandTable) addArrival(key DemandKey) {
	if key.Model == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(key).Arrived++
}

// addWaiting counts a request that no server can serve now, until removeWaiting is called.
func (t *demandTable) addWaiting(key DemandKey, priority int) {
	t.mutex.Lock()
	row := t.row(key)
	if row.Waiting == 0 || priority < row.Priority {
		row.Priority = priority
	}
	row.Waiting++
	t.mutex.Unlock()
	t.signal()
}

func (t *demandTable) signal() {
	select {
	case t.added <- struct{}{}:
	default:
	}
}

func (t *demandTable) removeWaiting(key DemandKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(key).Waiting--
}

func (t *demandTable) addRunning(key DemandKey, change int) {
	if key.Model == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(key).Running += change
}

// snapshot returns the rows in order of key.
func (t *demandTable) snapshot() []Demand {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	rows := make([]Demand, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, *row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].less(rows[j].DemandKey) })
	return rows
}

func (k DemandKey) less(other DemandKey) bool {
	if k.Pool != other.Pool {
		return k.Pool < other.Pool
	}
	if k.Model != other.Model {
		return k.Model < other.Model
	}
	return k.Adapter < other.Adapter
}

// expectRetry keeps the demand of a refused request until the time at which its retry is expected.
func (t *demandTable) expectRetry(key DemandKey, priority int, until time.Time) {
	if key.Model == "" {
		return
	}
	t.mutex.Lock()
	row := t.row(key)
	if until.After(row.ExpectedUntil) {
		row.ExpectedUntil = until
	}
	row.Priority = min(row.Priority, priority)
	t.mutex.Unlock()
	t.signal()
}
