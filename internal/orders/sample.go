package orders

import (
	"slices"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	// wholePool is up to how many servers a pool is planned with all of them. A plan over
	// 10,000 servers takes 87 ms with 300 models, every 150 ms, on a machine with less
	// than a core (BenchmarkPlan of package placement).
	wholePool = 512
	// holdersPerModel servers of each model that is asked for take part in a plan of a
	// larger pool, and spareServers beside them. They change from plan to plan. The best
	// of a few random choices is nearly as good as the best of all (Mitzenmacher, The
	// Power of Two Choices in Randomized Load Balancing, 2001).
	holdersPerModel, spareServers = 8, 128
)

// sample is the part of a pool that is planned with.
type sample struct {
	servers []placement.Server
	// elsewhere counts the replicas by model at the servers left out, and left those
	// servers.
	elsewhere map[string]int
	left      int
}

// sampling chooses the sample of one plan.
type sampling struct {
	demand map[string]*placement.Demand
	now    time.Time
	// holders by model that are in the sample, and the spare servers.
	holders map[string]int
	spares  int
}

// sample returns the servers to plan with, in order of ID: all of a small pool; of a
// large one those with an order under way, those that hold an adapter that is waited
// for, some holders of what is asked for, and some others.
func (l *ledger) sample(pool string, demand map[string]*placement.Demand, now time.Time) sample {
	ids := l.ordered()[pool]
	if len(ids) <= wholePool {
		return sample{servers: l.plannable(ids, now)}
	}
	chosen := sampling{demand: demand, now: now, holders: map[string]int{}}
	found := sample{elsewhere: map[string]int{}}
	first := l.turn % len(ids)
	l.turn += spareServers
	var taken []string
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		if candidate := l.entries[id]; chosen.takes(candidate) {
			taken = append(taken, id)
		} else {
			found.left++
			candidate.countReplicas(found.elsewhere)
		}
	}
	slices.Sort(taken)
	found.servers = l.plannable(taken, now)
	return found
}

func (l *ledger) plannable(ids []string, now time.Time) []placement.Server {
	servers := make([]placement.Server, len(ids))
	for i, id := range ids {
		servers[i] = l.entries[id].plannable(id, now)
	}
	return servers
}

// ordered are the IDs of each pool's servers in order.
func (l *ledger) ordered() map[string][]string {
	if l.byPool != nil {
		return l.byPool
	}
	l.byPool = map[string][]string{}
	for id, found := range l.entries {
		l.byPool[found.server.Pool] = append(l.byPool[found.server.Pool], id)
	}
	for _, ids := range l.byPool {
		sort.Strings(ids)
	}
	return l.byPool
}

// takes tells whether a server takes part.
func (s *sampling) takes(candidate *entry) bool {
	if candidate.engaged(s.now) {
		return true
	}
	if candidate.server.Draining || !candidate.known || s.now.Before(candidate.suspectUntil) {
		return false
	}
	if s.holdsWaited(candidate) || s.isHolder(candidate) {
		return true
	}
	if s.spares < spareServers {
		s.spares++
		return true
	}
	return false
}

// engaged: something is under way at the server, or was planned for it.
func (e *entry) engaged(now time.Time) bool {
	return e.working || e.intent != "" && now.Sub(e.intentAt) < intentLifetime || now.Before(e.doubtUntil)
}

// holdsWaited: the server holds an adapter that somebody waits for, so it needs no
// other one.
func (s *sampling) holdsWaited(candidate *entry) bool {
	for name, held := range candidate.models {
		demand := s.demand[name]
		if demand == nil {
			continue
		}
		for adapter := range held.adapters {
			if wanted := demand.Adapters[adapter]; wanted != nil && wanted.Waiting > 0 {
				return true
			}
		}
	}
	return false
}

// isHolder counts the server for a model that is asked for and has too few holders in
// the sample.
func (s *sampling) isHolder(candidate *entry) bool {
	for name := range candidate.models {
		if s.demand[name] != nil && s.holders[name] < holdersPerModel {
			s.holders[name]++
			return true
		}
	}
	return false
}

// countReplicas adds the replicas that requests can be sent to.
func (e *entry) countReplicas(counts map[string]int) {
	if e.server.Draining {
		return
	}
	if e.unasked() {
		for name := range e.server.Recorded() {
			counts[name]++
		}
		return
	}
	for name := range e.models {
		counts[name]++
	}
}
