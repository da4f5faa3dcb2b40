package orders

import "time"

const (
	// promiseChange is the least change of a promised time that nodes are told at
	// once.
	promiseChange = 150 * time.Millisecond
	// promisePast is how long a node goes by a promise that was not kept.
	promisePast = 2 * time.Second
	// promiseShare of the time that is left is the least change that is told.
	promiseShare = 0.15
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
		p.set(comingKey{pool, model}, now.Add(in), now)
	}
}

func (p *promises) set(key comingKey, readyAt, now time.Time) {
	found := p.byModel[key]
	if found == nil {
		found = &promise{}
		p.byModel[key] = found
	}
	found.readyAt = readyAt
	worthTelling := max(promiseChange, time.Duration(promiseShare*float64(readyAt.Sub(now))))
	if readyAt.Sub(found.told).Abs() >= worthTelling {
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

// states returns the promises of the models, in their order.
func (p *promises) states(models []comingKey, now time.Time) []ComingState {
	var states []ComingState
	for _, key := range models {
		found := p.byModel[key]
		if found == nil {
			continue
		}
		states = append(states, ComingState{Pool: key.pool, Model: key.model, Remaining: max(found.readyAt.Sub(now), 0)})
	}
	return states
}
