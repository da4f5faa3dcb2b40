package forward

import (
	"sort"
	"sync"
	"time"
)

// DemandKey names what requests need: a model of a pool, with an adapter or
// without.
type DemandKey struct {
	Pool, Model, Adapter string
}

// Demand is what a node's callers ask for by one key.
type Demand struct {
	DemandKey
	// Waiting requests have no server that could serve them.
	Waiting int
	// Priority is the most urgent of the waiting; 0 is highest.
	Priority int
	// ExpectedUntil: requests that were refused may come back until then.
	ExpectedUntil time.Time
	// Running requests are at servers.
	Running int
	// Arrived requests since the node started.
	Arrived uint64
}

// demandTable counts demand. Wanted tells of each new waiting request.
type demandTable struct {
	mutex  sync.Mutex
	rows   map[DemandKey]*Demand
	wanted chan struct{}
}

func newDemandTable() *demandTable {
	return &demandTable{rows: map[DemandKey]*Demand{}, wanted: make(chan struct{}, 1)}
}

func (t *demandTable) row(key DemandKey) *Demand {
	found := t.rows[key]
	if found == nil {
		found = &Demand{DemandKey: key}
		t.rows[key] = found
	}
	return found
}

func (t *demandTable) arrived(key DemandKey) {
	if key.Model == "" {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(key).Arrived++
}

// wait counts a request that no server can serve now.
func (t *demandTable) wait(key DemandKey, priority int) {
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
	case t.wanted <- struct{}{}:
	default:
	}
}

func (t *demandTable) waited(key DemandKey) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.row(key).Waiting--
}

func (t *demandTable) running(key DemandKey, change int) {
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

// expect keeps demand alive for a request that was told to come back.
func (t *demandTable) expect(key DemandKey, priority int, until time.Time) {
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
