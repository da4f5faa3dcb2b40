package gateway

import "github.com/hatchplank/hatchplank/internal/directory"

// poolWeight is the weight of each tenant at a back-end pool.
const poolWeight = 1

// groupFor returns the group with the key and makes it if needed.
func (s *shard) groupFor(e *entry, key string) *group {
	known := s.groups[key]
	if known != nil {
		return known
	}
	limits := s.gateway.config.Limits
	known = &group{
		key:    key,
		name:   key,
		router: s.gateway.config.Router,
		byKey:  map[flowKey]*flow{},
		budget: newRetryBudget(limits.RetryRatio, limits.RetryBurst),
		rows:   map[string]*rowDemand{},
	}
	if e.isPool() {
		known.name = e.request.Pool
		known.router = s.gateway.config.PoolRouter
	}
	known.wake = timerItem{kind: timerWake, group: known}
	s.groups[key] = known
	return known
}

// flowFor returns the flow of the entry's row and tenant. Version is set if the
// entry must be served by it.
func (s *shard) flowFor(e *entry, version string) *flow {
	key := flowKey{row: e.name(), tenant: e.request.Tenant, version: version}
	known := e.group.byKey[key]
	if known == nil {
		known = &flow{key: key, demand: s.demandFor(e)}
		e.group.byKey[key] = known
		e.group.flows = append(e.group.flows, known)
		known.demand.flows = append(known.demand.flows, known)
	}
	known.weight = poolWeight
	if !e.isPool() {
		known.weight = float64(max(e.row.Weight, 1))
	}
	return known
}

func (s *shard) demandFor(e *entry) *rowDemand {
	name := e.name()
	known := e.group.rows[name]
	if known == nil {
		known = &rowDemand{demand: directory.Demand{Row: name}, pool: e.isPool()}
		e.group.rows[name] = known
	}
	return known
}

// load is the flow's part of the queue for its weight, with some entries more.
func (f *flow) load(more int) float64 { return float64(f.waiting+more) / f.weight }

// last returns an entry of a priority that has one of the late deadlines.
func (f *flow) last(priority int) *entry {
	entries := f.heaps[priority]
	return entries[len(entries)-1]
}

// lowerThan returns an entry of the lowest priority below the given one, from
// the flow with most waiting for its weight; nil if there is none.
func (g *group) lowerThan(priority int) *entry {
	for lower := range priority {
		if g.byPriority[lower] == 0 {
			continue
		}
		return g.mostOverShare(lower).last(lower)
	}
	return nil
}

// mostOverShare returns, of the flows with waiting entries of a priority, that
// with most waiting for its weight; nil if there is none.
func (g *group) mostOverShare(priority int) *flow {
	var most *flow
	for _, flow := range g.flows {
		if len(flow.heaps[priority]) == 0 {
			continue
		}
		if most == nil || flow.load(0) > most.load(0) {
			most = flow
		}
	}
	return most
}

func (g *group) occupiedFlows() int {
	count := 0
	for _, flow := range g.flows {
		if flow.waiting > 0 {
			count++
		}
	}
	return count
}
