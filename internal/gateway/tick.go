package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// groupLifetime is how long an unused group is kept.
const groupLifetime = 10 * time.Minute

// Tick brings a new revision of the table into force for the waiting requests,
// and forgets groups that are not used. It is called about once a second.
func (g *Gateway) Tick(now time.Time) {
	revision := int64(g.config.Table.Revision())
	changed := g.revision.Swap(revision) != revision
	for _, shard := range g.shards {
		turn := shard.begin()
		if changed {
			shard.applyTable(turn)
		}
		shard.forgetUnused(now)
		shard.end(turn)
	}
}

// applyTable refuses the waiting requests whose row is gone or disabled, and
// takes over the weights.
func (s *shard) applyTable(turn *turn) {
	for _, key := range slices.Sorted(maps.Keys(s.groups)) {
		for _, flow := range s.groups[key].flows {
			if flow.waiting > 0 && !flow.demand.pool {
				s.applyRow(flow, turn)
			}
		}
	}
}

func (s *shard) applyRow(flow *flow, turn *turn) {
	row, refusal := s.gateway.resolveRow(flow.key.row, flow.key.tenant)
	if refusal == nil && baseOf(row) != flow.head().group.key {
		refusal = refusalf(result.ModelDisabled, "the row %q was given another base model", row.Name)
	}
	if refusal == nil {
		flow.weight = float64(max(row.Weight, 1))
		return
	}
	for flow.waiting > 0 {
		s.giveUp(flow.head(), *refusal, turn)
	}
}

func (s *shard) forgetUnused(now time.Time) {
	for key, group := range s.groups {
		if group.waiting+group.running == 0 && now.Sub(group.lastUsed) > groupLifetime {
			s.unschedule(&group.wake)
			delete(s.groups, key)
		}
	}
}
