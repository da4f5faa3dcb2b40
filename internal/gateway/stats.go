package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/result"
)

// counts of a shard since the start.
type counts struct {
	submitted, served, retried uint64
	refused                    map[result.Code]uint64
}

// Stats is the state of a gateway for status pages.
type Stats struct {
	Draining bool
	// Open work items: requests, attempts and claims.
	Open         int64
	Waiting      int64
	WaitingBytes int64
	// Since the start.
	Submitted, Served, Retried uint64
	Refused                    map[result.Code]uint64
	// Groups with requests, in order of name.
	Groups []GroupStats
}

// GroupStats is the state of one base model or pool.
type GroupStats struct {
	Name             string
	Waiting, Running int
	// OldestWait is when the longest-waiting request was accepted; zero: none.
	OldestWait time.Time
	// MeanService is the mean duration of an attempt.
	MeanService time.Duration
}

// Stats returns the state now.
func (g *Gateway) Stats() Stats {
	stats := Stats{
		Draining: g.drain.draining.Load(),
		Open:     g.drain.open.Load(),
		Refused:  map[result.Code]uint64{},
	}
	stats.Waiting, stats.WaitingBytes = g.room.all()
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
