package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// groupIdleTimeout is how long a group without requests is kept.
const groupIdleTimeout = 10 * time.Minute

// Tick applies a new revision of the table to the waiting requests and removes
// idle groups. It is called about once a second.
func (g *Gateway) Tick(now time.Time) {
	revision := int64(g.config.Table.Revision())
	changed := g.revision.Swap(revision) != revision
	for _, shard := range g.shards {
		section := shard.lock()
		if changed {
			shard.applyTable(section)
		}
		shard.removeIdleGroups(now)
		shard.unlock(section)
	}
}

// applyTable refuses the waiting requests whose row was deleted, disabled or moved
// to another base model, and updates the flows' weights.
func (s *shard) applyTable(section *criticalSection) {
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		for _, flow := range s.groups[key].flows {
			if flow.waiting > 0 && !flow.demand.pool {
				s.applyRow(flow, section)
			}
		}
	}
}

func (s *shard) applyRow(flow *flow, section *criticalSection) {
	row, refusal := s.gateway.resolveRow(flow.key.row, flow.key.tenant)
	if refusal == nil && baseOf(row) != flow.head().group.key {
		refusal = refusalf(result.ModelDisabled, "the row %q was given another base model", row.Name)
	}
	if refusal == nil {
		flow.weight = float64(max(row.Weight, 1))
		return
	}
	for flow.waiting > 0 {
		s.abort(flow.head(), *refusal, section)
	}
}

func (s *shard) removeIdleGroups(now time.Time) {
	for key, group := range s.groups {
		if group.waiting+group.running == 0 && now.Sub(group.lastUsed) > groupIdleTimeout {
			s.unschedule(&group.dispatchTimer)
			delete(s.groups, key)
		}
	}
}
