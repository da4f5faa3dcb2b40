package emulator

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// presence follows, from the stand-ins' record, which rows could be served.
type presence struct {
	// states of replicas by server and model.
	states map[replicaKey]*replicaPresence
	// loading and loaded count replicas.
	loading, loaded int
	// up is told of each row that becomes servable on some engine.
	up func(row string)
	// serving counts the replicas that can serve a row.
	serving map[string]int
}

type replicaKey struct {
	server outside.ServerID
	model  string
}

type replicaPresence struct {
	ready    bool
	adapters map[string]bool
}

func newPresence(up func(row string)) *presence {
	return &presence{states: map[replicaKey]*replicaPresence{}, serving: map[string]int{}, up: up}
}

// isUp reports whether some engine can serve the row.
func (p *presence) isUp(row string) bool { return p.serving[row] > 0 }

// observe takes in one event.
func (p *presence) observe(event *record.Event) {
	key := replicaKey{server: event.Server, model: event.Model}
	switch event.Kind {
	case record.KindLoadStarted:
		p.states[key] = &replicaPresence{}
		p.loading++
	case record.KindLoadReady:
		p.ready(key)
	case record.KindLoadFailed, record.KindUnloadStarted:
		p.remove(key)
	case record.KindAdapterLoadReady:
		p.adapterReady(key, event.Adapter)
	case record.KindAdapterUnloadStarted:
		p.adapterGone(key, event.Adapter)
	case record.KindProcessDied, record.KindProcessStarted:
		for held := range p.states {
			if held.server == event.Server {
				p.remove(held)
			}
		}
	}
}

func (p *presence) ready(key replicaKey) {
	state, known := p.states[key]
	if !known || state.ready {
		return
	}
	state.ready = true
	p.loading--
	p.loaded++
	p.add(key.model)
}

func (p *presence) add(row string) {
	p.serving[row]++
	p.up(row)
}

func (p *presence) adapterReady(key replicaKey, adapter string) {
	state, known := p.states[key]
	if !known || state.adapters[adapter] {
		return
	}
	if state.adapters == nil {
		state.adapters = map[string]bool{}
	}
	state.adapters[adapter] = true
	p.add(adapter)
}

func (p *presence) adapterGone(key replicaKey, adapter string) {
	state, known := p.states[key]
	if known && state.adapters[adapter] {
		delete(state.adapters, adapter)
		p.serving[adapter]--
	}
}

func (p *presence) remove(key replicaKey) {
	state, known := p.states[key]
	if !known {
		return
	}
	delete(p.states, key)
	for adapter := range state.adapters {
		p.serving[adapter]--
	}
	if !state.ready {
		p.loading--
		return
	}
	p.loaded--
	p.serving[key.model]--
}
