package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// counts are a shard's totals since the start.
type counts struct {
	submitted, served, retried uint64
	refused                    map[result.Code]uint64
}

// Stats is a snapshot of a gateway's state, for status pages.
type Stats struct {
	Draining bool
	// Open is the number of open work items: requests without final answer,
	// attempts that have not ended and claims without result.
	Open         int64
	Waiting      int64
	WaitingBytes int64
	// Submitted, Served, Retried and Refused are totals since the start.
	Submitted, Served, Retried uint64
	Refused                    map[result.Code]uint64
	// Groups with waiting or running requests, sorted by name.
	Groups []GroupStats
}

// GroupStats is the state of the queue of one base model or pool.
type GroupStats struct {
	Name             string
	Waiting, Running int
	// OldestWait is when the longest-waiting request was accepted; zero: none.
	OldestWait time.Time
	// MeanService is the exponentially weighted mean duration of an attempt; zero if
	// none was measured.
	MeanService time.Duration
}

// Stats returns a snapshot of the current state. The shards are read one after
// the other, so the totals need not be consistent with each other.
func (g *Gateway) Stats() Stats {
	stats := Stats{
		Draining: g.drain.draining.Load(),
		Open:     g.drain.openWork.Load(),
		Refused:  map[result.Code]uint64{},
	}
	stats.Waiting, stats.WaitingBytes = g.queueUsage.total()
	for _, shard := range g.shards {
		shard.addTo(&stats)
	}
	slices.SortFunc(stats.Groups, func(a, b GroupStats) int { return cmp.Compare(a.Name, b.Name) })
	return stats
}

func (s *shard) addTo(stats *Stats) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stats.Submitted += s.counts.submitted
	stats.Served += s.counts.served
	stats.Retried += s.counts.retried
	for code, count := range s.counts.refused {
		stats.Refused[code] += count
	}
	for _, group := range s.groups {
		if group.waiting+group.running > 0 {
			stats.Groups = append(stats.Groups, group.stats())
		}
	}
}

func (g *group) stats() GroupStats {
	stats := GroupStats{
		Name:        g.key,
		Waiting:     g.waiting,
		Running:     g.running,
		MeanService: time.Duration(g.service.mean),
	}
	for _, flow := range g.flows {
		if flow.oldest == nil {
			continue
		}
		accepted := flow.oldest.request.Accepted
		if stats.OldestWait.IsZero() || accepted.Before(stats.OldestWait) {
			stats.OldestWait = accepted
		}
	}
	return stats
}
