package applier_test

import (
	"fmt"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// audit checks the limits on replicas and memory, and that no unload cuts off a request, from the
// events that the engines record.
type audit struct {
	cluster    *cluster
	holders    map[string]map[outside.ServerID]bool
	violations []string
}

func newAudit(c *cluster) *audit {
	return &audit{cluster: c, holders: map[string]map[outside.ServerID]bool{}}
}

func (a *audit) observe(event record.Event) {
	switch event.Kind {
	case record.KindLoadStarted:
		a.loadStarted(event.Model, event.Server)
	case record.KindAdapterLoadStarted:
		a.loadStarted(event.Adapter, event.Server)
	case record.KindLoadFailed, record.KindUnloadFinished:
		delete(a.holders[event.Model], event.Server)
	case record.KindAdapterLoadFailed, record.KindAdapterUnloadFinished:
		delete(a.holders[event.Adapter], event.Server)
	case record.KindProcessDied:
		for _, holders := range a.holders {
			delete(holders, event.Server)
		}
	case record.KindMemory:
		if event.Overcommitted {
			a.violations = append(a.violations, fmt.Sprintf("memory of %s: %d bytes", event.Server, event.UsedBytes))
		}
	case record.KindGenerationTruncated:
		if event.Reason == "unloaded" {
			a.violations = append(a.violations, "a request was cut off by an unload")
		}
	}
}

func (a *audit) loadStarted(name string, server outside.ServerID) {
	if a.holders[name] == nil {
		a.holders[name] = map[outside.ServerID]bool{}
	}
	a.holders[name][server] = true
	row, _ := a.cluster.Row(name)
	if held := len(a.holders[name]); held > row.MaxReplicas {
		a.violations = append(a.violations, fmt.Sprintf("%d replicas of %s, allowed %d", held, name, row.MaxReplicas))
	}
}
