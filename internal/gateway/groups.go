package gateway

import "github.com/hatchplank/hatchplank/internal/directory"

// poolWeight is the fair-share weight of each tenant at a back-end pool.
const poolWeight = 1

// groupFor returns the group with the key, and creates it if needed.
func (s *shard) groupFor(e *entry, key string) *group {
	g := s.groups[key]
	if g != nil {
		return g
	}
	limits := s.gateway.config.Limits
	g = &group{
		key:    key,
		name:   key,
		router: s.gateway.config.Router,
		byKey:  map[flowKey]*flow{},
		budget: newRetryBudget(limits.RetryRatio, limits.RetryBurst),
		rows:   map[string]*rowDemand{},
	}
	if e.isPool() {
		g.name = e.request.Pool
		g.router = s.gateway.config.PoolRouter
	}
	g.dispatchTimer = timerItem{kind: timerDispatch, group: g}
	s.groups[key] = g
	return g
}

// flowFor returns the flow of the entry's row and tenant, and creates it if
// needed. Version is set if the entry must be served by that version.
func (s *shard) flowFor(e *entry, version string) *flow {
	key := flowKey{row: e.name(), tenant: e.request.Tenant, version: version}
	f := e.group.byKey[key]
	if f == nil {
		f = &flow{key: key, demand: s.demandFor(e)}
		e.group.byKey[key] = f
		e.group.flows = append(e.group.flows, f)
		f.demand.flows = append(f.demand.flows, f)
	}
	f.weight = poolWeight
	if !e.isPool() {
		f.weight = float64(max(e.row.Weight, 1))
	}
	return f
}

// demandFor returns the demand of the entry's row, and creates it if needed.
func (s *shard) demandFor(e *entry) *rowDemand {
	name := e.name()
	d := e.group.rows[name]
	if d == nil {
		d = &rowDemand{demand: directory.Demand{Row: name}, pool: e.isPool()}
		e.group.rows[name] = d
	}
	return d
}

// load returns the flow's number of waiting entries, with some more, divided by
// its weight.
func (f *flow) load(more int) float64 { return float64(f.waiting+more) / f.weight }

// lateEntry returns the last leaf of the priority's heap: an entry with one of
// the later deadlines, though not always the latest.
func (f *flow) lateEntry(priority int) *entry {
	entries := f.heaps[priority]
	return entries[len(entries)-1]
}

// displacementCandidate returns an entry of the lowest waiting priority below the
// given one, from the flow with the highest load; nil if there is none.
func (g *group) displacementCandidate(priority int) *entry {
	for lower := range priority {
		if g.byPriority[lower] == 0 {
			continue
		}
		return g.mostOverShare(lower).lateEntry(lower)
	}
	return nil
}

// mostOverShare returns the flow with the highest load among those with waiting
// entries of a priority; nil if there is none.
func (g *group) mostOverShare(priority int) *flow {
	var heaviest *flow
	for _, flow := range g.flows {
		if len(flow.heaps[priority]) == 0 {
			continue
		}
		if heaviest == nil || flow.load(0) > heaviest.load(0) {
			heaviest = flow
		}
	}
	return heaviest
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
