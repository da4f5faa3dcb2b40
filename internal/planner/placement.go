package planner

import (
	"sort"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// roomDelaySeconds is added to a load that has to wait for an unload.
	roomDelaySeconds = 2
	// crowdedSeconds is added to a load that leaves too little room for the
	// adapters on its server.
	crowdedSeconds = 10
	// busyVictimSeconds is added when a busy replica would have to give way.
	busyVictimSeconds = 600
)

// placement is a server for a candidate.
type placement struct {
	server  int
	source  outside.CheckpointSource
	seconds float64
	cost    float64
	// waits for memory that unloads under way give back.
	waits   bool
	victims []placedReplica
	// left is the free memory after the load.
	left int64
}

// choose returns the cheapest server for the candidate.
func (w *workspace) choose(c *candidate, need int64) (placement, bool) {
	best, found := placement{}, false
	for i := range w.snapshot.Servers {
		if !w.possible(i, c.row) {
			continue
		}
		option, possible := w.evaluate(c, i, need)
		if possible && (!found || w.better(&option, &best)) {
			best, found = option, true
		}
	}
	return best, found
}

func (w *workspace) better(a, b *placement) bool {
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	if w.policy.sourceAware {
		// The tightest fit leaves whole servers free.
		return a.left < b.left
	}
	return a.left > b.left
}

// possible reports whether the server may be given a replica of the row.
func (w *workspace) possible(i, row int) bool {
	server := &w.snapshot.Servers[i]
	if !server.Usable || server.Leaving {
		return false
	}
	name := w.snapshot.Rows[row].Name
	if server.MemoryBytes < w.snapshot.Rows[row].MemoryBytes || server.replica(name) != nil {
		return false
	}
	for _, placed := range w.servers[i].placed {
		if placed == name {
			return false
		}
	}
	return !w.backedOff(server, name)
}

// backedOff reports whether a failed load forbids the row on the server yet.
func (w *workspace) backedOff(server *Server, name string) bool {
	for _, backoff := range server.Backoffs {
		if backoff.Model == name && w.snapshot.Now.Before(backoff.Until) {
			return true
		}
	}
	return false
}

func (w *workspace) evaluate(c *candidate, i int, need int64) (placement, bool) {
	row := &w.snapshot.Rows[c.row]
	source := w.sourceAt(&w.snapshot.Servers[i], row)
	option := placement{server: i, source: source, seconds: w.loadSeconds(row.WeightBytes, source)}
	if source == outside.SourceDisk {
		option.seconds *= float64(1 + w.servers[i].loading[source])
	}
	if w.policy.sourceAware {
		option.cost = option.seconds
	}
	work := &w.servers[i]
	option.left = work.free - need
	if option.left >= 0 {
		if option.left < work.reserved+w.adapterTotals[c.row]-(need-row.MemoryBytes) {
			option.cost += crowdedSeconds
		}
		return option, true
	}
	option.cost += roomDelaySeconds
	option.seconds += roomDelaySeconds
	if work.free+work.freeing >= need {
		option.waits = true
		return option, true
	}
	return w.withVictims(c, option, need-work.free-work.freeing)
}

// withVictims completes a placement by replicas that give way: idle ones, and
// if these are not enough for a cold row, busy ones too.
func (w *workspace) withVictims(c *candidate, option placement, short int64) (placement, bool) {
	victims := w.victims(c, option.server, false)
	if total(victims) < short && c.cold {
		victims = append(victims, w.victims(c, option.server, true)...)
		option.cost += busyVictimSeconds
	}
	worth := w.foreseenWorth(c.row)
	cost := 0.0
	for _, victim := range victims {
		if short <= 0 {
			break
		}
		short -= victim.replica.memory()
		cost += victim.cost * float64(victim.replica.memory()) / gigabyte
		option.victims = append(option.victims, victim)
	}
	if short > 0 || (!c.waiting && cost > worth) {
		return option, false
	}
	if w.policy.sourceAware {
		option.cost += cost
	} else {
		option.cost += 1e12 + option.victims[len(option.victims)-1].cost
	}
	return option, true
}

func total(victims []placedReplica) int64 {
	sum := int64(0)
	for _, victim := range victims {
		sum += victim.replica.memory()
	}
	return sum
}

// victims of a server that may give way to the candidate, cheapest first;
// either the idle or the busy ones.
func (w *workspace) victims(c *candidate, i int, busy bool) []placedReplica {
	server := &w.snapshot.Servers[i]
	var victims []placedReplica
	for r := range server.Replicas {
		replica := &server.Replicas[r]
		at, known := w.index[replica.Model]
		if !known || at == c.row || replica.Draining || replica.Phase != outside.ReplicaReady || w.evicted[replica] {
			continue
		}
		if w.busy(at, replica) != busy || !w.mayGive(c, at, replica, busy) {
			continue
		}
		victims = append(victims, placedReplica{server: i, replica: replica, cost: w.policy.victimCost(w, i, replica, at)})
	}
	sort.SliceStable(victims, func(a, b int) bool { return victims[a].cost < victims[b].cost })
	return victims
}

func (w *workspace) busy(row int, replica *Replica) bool {
	demand := &w.rows[row].demand
	alone := w.rows[row].current+w.rows[row].outdated <= 1
	return replica.Running > 0 || demand.Waiting > 0 || (alone && demand.Running > 0)
}

// mayGive reports whether a row can spare the replica for the candidate.
func (w *workspace) mayGive(c *candidate, victim int, replica *Replica, busy bool) bool {
	work := &w.rows[victim]
	live := work.current + work.outdated
	if live <= w.snapshot.Rows[victim].Min || w.policy.pinAll && !c.cold {
		return false
	}
	if !busy {
		return true
	}
	if w.snapshot.Now.Sub(replica.Since) < w.policy.parameters.MinimumResidency {
		return false
	}
	own := max(w.snapshot.Rows[c.row].Priority, w.rows[c.row].demand.HighestPriority)
	other := max(w.snapshot.Rows[victim].Priority, work.demand.HighestPriority)
	return own > other || (own == other && live > 1)
}

// evict unloads a victim to make room for a row.
func (w *workspace) evict(server int, victim placedReplica, forRow string) {
	if w.evicted == nil {
		w.evicted = map[*Replica]bool{}
	}
	w.evicted[victim.replica] = true
	w.unload(server, victim.replica, ReasonMakeRoom, forRow)
	w.uncount(w.index[victim.replica.Model], victim.replica)
}
