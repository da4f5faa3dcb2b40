package orders

import (
	"cmp"
	"time"
)

const (
	// An estimate is sent to nodes again when it has changed by at least minEstimateChange
	// and at least minEstimateChangeShare of the remaining time.
	minEstimateChange = 150 * time.Millisecond
	// estimateGrace is how long a node still uses an estimate after its time has passed.
	estimateGrace          = 2 * time.Second
	minEstimateChangeShare = 0.15
)

// modelKey identifies a model in a pool.
type modelKey struct{ pool, model string }

// compare orders keys by pool and model.
func (k modelKey) compare(other modelKey) int {
	return cmp.Or(cmp.Compare(k.pool, other.pool), cmp.Compare(k.model, other.model))
}

// readyEstimate is the time at which a model is expected to be ready at some server.
type readyEstimate struct {
	readyAt time.Time
	// lastSent is the estimate that was last sent to nodes.
	lastSent time.Time
}

// readyEstimates holds the estimates of the latest plans. The holder's lock guards it.
type readyEstimates struct {
	byModel map[modelKey]*readyEstimate
	changed []modelKey
}

func newReadyEstimates() *readyEstimates {
	return &readyEstimates{byModel: map[modelKey]*readyEstimate{}}
}

// update replaces the estimates of a pool by those of its newest plan.
func (e *readyEstimates) update(pool string, readyIn map[string]time.Duration, now time.Time) {
	for key := range e.byModel {
		if _, still := readyIn[key.model]; key.pool == pool && !still {
			delete(e.byModel, key)
		}
	}
	for model, in := range readyIn {
		e.set(modelKey{pool, model}, now.Add(in), now)
	}
}

func (e *readyEstimates) set(key modelKey, readyAt, now time.Time) {
	found := e.byModel[key]
	if found == nil {
		found = &readyEstimate{}
		e.byModel[key] = found
	}
	found.readyAt = readyAt
	minChange := max(minEstimateChange, time.Duration(minEstimateChangeShare*float64(readyAt.Sub(now))))
	if readyAt.Sub(found.lastSent).Abs() >= minChange {
		found.lastSent = readyAt
		e.changed = append(e.changed, key)
	}
}

// takeChanged returns the models whose estimates changed enough to be sent since the last
// call.
func (e *readyEstimates) takeChanged() []modelKey {
	changed := e.changed
	e.changed = nil
	return changed
}

// states returns the estimates of the models in the given order, leaving out models without one.
func (e *readyEstimates) states(models []modelKey, now time.Time) []ExpectedModel {
	var states []ExpectedModel
	for _, key := range models {
		found := e.byModel[key]
		if found == nil {
			continue
		}
		states = append(states, ExpectedModel{Pool: key.pool, Model: key.model, Remaining: max(found.readyAt.Sub(now), 0)})
	}
	return states
}
