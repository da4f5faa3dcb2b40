package checker

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

// allowance is a row's replica limit from a time on.
type allowance struct {
	from time.Time
	max  int
}

// TableAccepted notes that a revision became durable at a time. Rows are all
// rows of the revision.
func (c *Checker) TableAccepted(rows []table.Row, at time.Time) {
	named := make(map[string]bool, len(rows))
	for _, row := range rows {
		named[row.Name] = true
		if row.Kind == table.KindModel {
			c.allow(row.Name, row.MaxReplicas, at)
		}
	}
	for name := range c.allowed {
		if !named[name] {
			c.allow(name, 0, at)
		}
	}
}

func (c *Checker) allow(model string, limit int, at time.Time) {
	history := c.allowed[model]
	if len(history) > 0 && history[len(history)-1].max == limit {
		return
	}
	c.allowed[model] = append(history, allowance{from: at, max: limit})
}

// allowedAt is the largest limit that may still be acted on at a time: the one
// in force and those replaced within the table's grace.
func (c *Checker) allowedAt(model string, at time.Time) int {
	largest := 0
	history := c.allowed[model]
	for i := len(history) - 1; i >= 0; i-- {
		if history[i].from.After(at) {
			continue
		}
		largest = max(largest, history[i].max)
		if at.Sub(history[i].from) > c.limits.TableGrace {
			break
		}
	}
	return largest
}

// observeReplica follows which engines hold a replica of which model.
func (c *Checker) observeReplica(event record.Event) {
	switch event.Kind {
	case record.KindLoadStarted:
		c.loadStarted(event)
	case record.KindLoadFailed, record.KindUnloadFinished:
		delete(c.replicas[event.Model], event.Server)
	case record.KindProcessDied, record.KindProcessStarted:
		c.forgetServer(event.Server)
	}
}

func (c *Checker) loadStarted(event record.Event) {
	holders, known := c.replicas[event.Model]
	if !known {
		holders = map[outside.ServerID]bool{}
		c.replicas[event.Model] = holders
	}
	holders[event.Server] = true
	limit := c.allowedAt(event.Model, event.At)
	within := len(holders) <= limit
	c.report.Tallies[PromiseReplicas].check(within, "%s has %d replicas of %d allowed after a load on %s at %s",
		event.Model, len(holders), limit, event.Server, event.At.Format(time.TimeOnly))
	if !within {
		c.report.OverReplicas++
	}
}

func (c *Checker) forgetServer(server outside.ServerID) {
	for _, holders := range c.replicas {
		delete(holders, server)
	}
}
