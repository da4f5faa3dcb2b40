package orders

import (
	"sort"
	"time"
)

const (
	// promiseChange is the least change of a promised time that nodes are told at
	// once.
	promiseChange = 150 * time.Millisecond
	// promisePast is how long a promise that was not kept is still told.
	promisePast = 2 * time.Second
)

// comingKey names a model of a pool that is waited for.
type comingKey struct{ pool, model string }

// promise is when a model is expected at some server.
type promise struct {
	readyAt time.Time
	// told is the time that nodes were told last.
	told time.Time
}

// promises are what the last plans expect. The holder's lock guards them.
type promises struct {
	byModel map[comingKey]*promise
	changed []comingKey
}

func newPromises() *promises { return &promises{byModel: map[comingKey]*promise{}} }

// update takes over what the newest plan of a pool expects.
func (p *promises) update(pool string, readyIn map[string]time.Duration, now time.Time) {
	for key := range p.byModel {
		if _, still := readyIn[key.model]; key.pool == pool && !still {
			delete(p.byModel, key)
		}
	}
	for model, in := range readyIn {
		p.set(comingKey{pool, model}, now.Add(in))
	}
}

func (p *promises) set(key comingKey, readyAt time.Time) {
	found := p.byModel[key]
	if found == nil {
		found = &promise{}
		p.byModel[key] = found
	}
	found.readyAt = readyAt
	if readyAt.Sub(found.told).Abs() >= promiseChange {
		found.told = readyAt
		p.changed = append(p.changed, key)
	}
}

// takeChanged returns the models whose promises changed since the last call.
func (p *promises) takeChanged() []comingKey {
	changed := p.changed
	p.changed = nil
	return changed
}

// states returns all promises in order.
func (p *promises) states(now time.Time) []ComingState {
	states := make([]ComingState, 0, len(p.byModel))
	for key, found := range p.byModel {
		if now.Sub(found.readyAt) > promisePast {
			continue
		}
		states = append(states, ComingState{Pool: key.pool, Model: key.model, Remaining: max(found.readyAt.Sub(now), 0)})
	}
	sort.Slice(states, func(i, j int) bool {
		if states[i].Pool != states[j].Pool {
			return states[i].Pool < states[j].Pool
		}
		return states[i].Model < states[j].Model
	})
	return states
}
