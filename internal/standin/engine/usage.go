package engine

import (
	"slices"
	"time"
)

// ModelUsage is what a model's replicas took of the accelerators, over all
// incarnations of the engine.
type ModelUsage struct {
	Model string `json:"model"`
	// LoadingAcceleratorSeconds from the start of loads until ready.
	LoadingAcceleratorSeconds float64 `json:"loading_accelerator_seconds"`
	// LoadedAcceleratorSeconds with a ready replica.
	LoadedAcceleratorSeconds float64 `json:"loaded_accelerator_seconds"`
	// IdleAcceleratorSeconds with a ready replica that ran nothing.
	IdleAcceleratorSeconds float64 `json:"idle_accelerator_seconds"`
}

// usageState is what a replica's accelerators do at a moment.
type usageState uint8

const (
	usageNone usageState = iota
	usageLoading
	usageIdle
	usageBusy
)

// usageMeter integrates one replica's use of accelerators.
type usageMeter struct {
	accelerators float64
	state        usageState
	since        time.Time
	total        *ModelUsage
}

// change adds the time since the last change and goes on in the new state.
func (m *usageMeter) change(now time.Time, state usageState) {
	seconds := now.Sub(m.since).Seconds() * m.accelerators
	m.since = now
	switch m.state {
	case usageLoading:
		m.total.LoadingAcceleratorSeconds += seconds
	case usageIdle:
		m.total.LoadedAcceleratorSeconds += seconds
		m.total.IdleAcceleratorSeconds += seconds
	case usageBusy:
		m.total.LoadedAcceleratorSeconds += seconds
	}
	m.state = state
}

// Usage returns the use of accelerators until now, in order of model.
func (e *Engine) Usage() []ModelUsage {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.clock.Now()
	for _, replica := range e.replicas {
		replica.usage.change(now, replica.usage.state)
	}
	usages := make([]ModelUsage, 0, len(e.usages))
	for _, usage := range e.usages {
		usages = append(usages, *usage)
	}
	slices.SortFunc(usages, func(a, b ModelUsage) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return usages
}

func (e *Engine) usageOf(model string) *ModelUsage {
	usage, known := e.usages[model]
	if !known {
		usage = &ModelUsage{Model: model}
		e.usages[model] = usage
	}
	return usage
}
