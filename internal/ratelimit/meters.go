package ratelimit

import (
	"maps"
	"sync"
	"time"
)

// meters counts limits on this node, for all nodes.
type meters struct {
	started time.Time

	mutex sync.Mutex
	// byName of their limit.
	byName map[string]*meter
}

func newMeters() *meters { return &meters{started: time.Now(), byName: map[string]*meter{}} }

// take counts a request, and returns the count after it.
func (m *meters) take(limit Limit, request TakeRequest, now time.Time) (verdict Verdict, count Count) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	found := m.byName[request.Tenant]
	if found == nil {
		found = newMeter(limit, now.Sub(m.started), now)
		m.byName[request.Tenant] = found
	}
	if request.Heard.Known {
		found.merge(request.Heard, limit, now)
	}
	verdict = found.take(limit, request, now)
	return verdict, found.count(limit, now)
}

func (m *meters) giveBack(name string, cost float64, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if found := m.byName[name]; found != nil {
		found.giveBack(cost, now)
	}
}

// prune drops limits that were not used for idleTime.
func (m *meters) prune(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	maps.DeleteFunc(m.byName, func(_ string, idle *meter) bool { return now.Sub(idle.at) > idleTime })
}
