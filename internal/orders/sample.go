package orders

import (
	"slices"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/placement"
)

const (
	// maxWholePool is the number of servers up to which a pool is planned as a whole. A plan
	// over 10,000 servers with 300 models, made every 150 ms, takes 87 ms on a machine with
	// less than a core (BenchmarkPlan of package placement).
	maxWholePool = 512
	// A plan of a larger pool takes in holdersPerModel servers for each requested model, and
	// spareServers others. They change from plan to plan. The best of a few random choices
	// is nearly as good as the best of all (Mitzenmacher, The Power of Two Choices in
	// Randomized Load Balancing, 2001).
	holdersPerModel, spareServers = 8, 128
)

// sample is the part of a pool that a plan takes in.
type sample struct {
	servers []placement.Server
	// elsewhere counts the replicas, by model, at the servers that are left out, and leftOut
	// counts those servers.
	elsewhere map[string]int
	leftOut   int
}

// sampler chooses the servers in the sample of one plan.
type sampler struct {
	demand map[string]*placement.Demand
	now    time.Time
	// holders is the number of servers chosen for each requested model, and spares the number
	// of other servers chosen.
	holders map[string]int
	spares  int
}

// sample returns the servers to plan with, in order of ID. Of a small pool these are all servers; of
// a large one those with an order in progress, those that hold an awaited adapter, some that
// hold the requested models, and some others.
func (t *serverTable) sample(pool string, demand map[string]*placement.Demand, now time.Time) sample {
	ids := t.sortedIDs()[pool]
	if len(ids) <= maxWholePool {
		return sample{servers: t.forPlanner(ids, now)}
	}
	chosen := sampler{demand: demand, now: now, holders: map[string]int{}}
	found := sample{elsewhere: map[string]int{}}
	first := t.sampleStart % len(ids)
	t.sampleStart += spareServers
	var included []string
	for i := range ids {
		id := ids[(first+i)%len(ids)]
		if candidate := t.entries[id]; chosen.includes(candidate) {
			included = append(included, id)
		} else {
			found.leftOut++
			candidate.countReplicas(found.elsewhere)
		}
	}
	slices.Sort(included)
	found.servers = t.forPlanner(included, now)
	return found
}

// forPlanner returns the servers as input of the planner.
func (t *serverTable) forPlanner(ids []string, now time.Time) []placement.Server {
	servers := make([]placement.Server, len(ids))
	for i, id := range ids {
		servers[i] = t.entries[id].forPlanner(id, now)
	}
	return servers
}

// sortedIDs returns the sorted IDs of each pool's servers.
func (t *serverTable) sortedIDs() map[string][]string {
	if t.byPool != nil {
		return t.byPool
	}
	t.byPool = map[string][]string{}
	for id, found := range t.entries {
		t.byPool[found.server.Pool] = append(t.byPool[found.server.Pool], id)
	}
	for _, ids := range t.byPool {
		sort.Strings(ids)
	}
	return t.byPool
}

// includes decides whether a server belongs to the sample, and counts it if so.
func (s *sampler) includes(candidate *entry) bool {
	if candidate.engaged(s.now) {
		return true
	}
	if candidate.server.Draining || !candidate.reported || s.now.Before(candidate.suspectUntil) {
		return false
	}
	if s.holdsAwaitedAdapter(candidate) || s.addHolder(candidate) {
		return true
	}
	if s.spares < spareServers {
		s.spares++
		return true
	}
	return false
}

// engaged reports whether an order is in progress or possibly in progress at the server, or memory
// there is reserved for a model.
func (e *entry) engaged(now time.Time) bool {
	return e.busy || e.intent != "" && now.Sub(e.intentAt) < intentLifetime || now.Before(e.unconfirmedUntil)
}

// holdsAwaitedAdapter reports whether the server holds an adapter that requests wait for. Without
// it in the sample, the plan would load the adapter at another server.
func (s *sampler) holdsAwaitedAdapter(candidate *entry) bool {
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

// addHolder counts the server for a requested model that it holds and that has too few servers in
// the sample. It returns false if there is no such model.
func (s *sampler) addHolder(candidate *entry) bool {
	for name := range candidate.models {
		if s.demand[name] != nil && s.holders[name] < holdersPerModel {
			s.holders[name]++
			return true
		}
	}
	return false
}

// countReplicas adds the server's replicas that requests can be sent to.
func (e *entry) countReplicas(counts map[string]int) {
	if e.server.Draining {
		return
	}
	if e.unreported() {
		for name := range e.server.Recorded() {
			counts[name]++
		}
		return
	}
	for name := range e.models {
		counts[name]++
	}
}
