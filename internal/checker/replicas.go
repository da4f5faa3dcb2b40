package checker

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

// replicaLimit is the replica limit of a model's row from a time on.
type replicaLimit struct {
	from time.Time
	max  int
}

// TableAccepted records that a revision with the given rows became durable.
func (c *Checker) TableAccepted(rows []table.Row, at time.Time) {
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Name] = true
		if row.Kind == table.KindModel {
			c.recordLimit(row.Name, row.MaxReplicas, at)
		}
	}
	for name := range c.replicaLimits {
		if !present[name] {
			c.recordLimit(name, 0, at)
		}
	}
}

// recordLimit appends a limit to a model's history if it differs from the last.
func (c *Checker) recordLimit(model string, limit int, at time.Time) {
	history := c.replicaLimits[model]
	if len(history) > 0 && history[len(history)-1].max == limit {
		return
	}
	c.replicaLimits[model] = append(history, replicaLimit{from: at, max: limit})
}

// maxReplicasAt returns the largest replica limit that a node may apply at a
// time: the present one or one that was replaced within TableGrace before.
func (c *Checker) maxReplicasAt(model string, at time.Time) int {
	highest := 0
	history := c.replicaLimits[model]
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].from.After(at) {
			continue
		}
		highest = max(highest, history[i].max)
		if at.Sub(history[i].from) > c.limits.TableGrace {
			break
		}
	}
	return highest
}

// observeReplica tracks which engines hold a replica of which model.
func (c *Checker) observeReplica(event record.Event) {
	switch event.Kind {
	case record.KindLoadStarted:
		c.loadStarted(event)
	case record.KindLoadFailed, record.KindUnloadFinished:
		delete(c.replicas[event.Model], event.Server)
	case record.KindProcessDied, record.KindProcessStarted:
		c.removeReplicasOn(event.Server)
	}
}

func (c *Checker) loadStarted(event record.Event) {
	holders, found := c.replicas[event.Model]
	if !found {
		holders = map[outside.ServerID]bool{}
		c.replicas[event.Model] = holders
	}
	holders[event.Server] = true
	limit := c.maxReplicasAt(event.Model, event.At)
	withinLimit := len(holders) <= limit
	c.report.Tallies[PromiseReplicas].check(withinLimit, "%s has %d replicas of %d allowed after a load on %s at %s",
		event.Model, len(holders), limit, event.Server, event.At.Format(time.TimeOnly))
	if !withinLimit {
		c.report.OverReplicas++
	}
}

func (c *Checker) removeReplicasOn(server outside.ServerID) {
	for _, holders := range c.replicas {
		delete(holders, server)
	}
}
