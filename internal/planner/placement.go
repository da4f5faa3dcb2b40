package planner

import (
	"sort"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// unloadDelaySeconds is added to a load that has to wait for an unload.
	unloadDelaySeconds = 2
	// adapterCapacityPenaltySeconds is added to a load that leaves too little memory for
	// the adapters on its server.
	adapterCapacityPenaltySeconds = 10
	// busyVictimPenaltySeconds is added if a busy replica would have to be evicted.
	busyVictimPenaltySeconds = 600
)

// placement is an option for a candidate: a server, and what the load takes there.
type placement struct {
	server int
	source outside.CheckpointSource
	// seconds until the replica is ready.
	seconds float64
	cost    float64
	// waitsForUnload is set if the load has to wait for memory that unloads under way free.
	waitsForUnload bool
	victims        []placedReplica
	// freeAfterLoad is the server's free memory in bytes after the load.
	freeAfterLoad int64
}

// chooseServer returns the placement with the lowest cost for a candidate that needs some
// bytes of memory.
func (w *workspace) chooseServer(c *candidate, need int64) (placement, bool) {
	best, found := placement{}, false
	for i := range w.snapshot.Servers {
		if !w.eligible(i, c.row) {
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
		// Best fit: it leaves whole servers free for large models.
		return a.freeAfterLoad < b.freeAfterLoad
	}
	return a.freeAfterLoad > b.freeAfterLoad
}

// eligible reports whether the row may be loaded on the server, memory in use aside.
func (w *workspace) eligible(i, row int) bool {
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

// backedOff reports whether a backoff after a failed load still forbids the row on the
// server.
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
	option.freeAfterLoad = work.free - need
	if option.freeAfterLoad >= 0 {
		if option.freeAfterLoad < work.reserved+w.adapterMemory[c.row]-(need-row.MemoryBytes) {
			option.cost += adapterCapacityPenaltySeconds
		}
		return option, true
	}
	option.cost += unloadDelaySeconds
	option.seconds += unloadDelaySeconds
	if work.free+work.freeing >= need {
		option.waitsForUnload = true
		return option, true
	}
	return w.withVictims(c, option, need-work.free-work.freeing)
}

// withVictims adds the replicas to evict for a placement that is short of some bytes: idle
// ones and, if these are not enough for a cold row, busy ones too.
func (w *workspace) withVictims(c *candidate, option placement, short int64) (placement, bool) {
	victims := w.victims(c, option.server, false)
	if totalMemory(victims) < short && c.cold {
		victims = append(victims, w.victims(c, option.server, true)...)
		option.cost += busyVictimPenaltySeconds
	}
	worth := w.maxVictimCost(c.row)
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

func totalMemory(victims []placedReplica) int64 {
	sum := int64(0)
	for _, victim := range victims {
		sum += victim.replica.memory()
	}
	return sum
}

// victims returns the server's replicas that may be evicted for the candidate, the cheapest
// first: either the idle or the busy ones.
func (w *workspace) victims(c *candidate, i int, busy bool) []placedReplica {
	server := &w.snapshot.Servers[i]
	var victims []placedReplica
	for r := range server.Replicas {
		replica := &server.Replicas[r]
		at, known := w.index[replica.Model]
		if !known || at == c.row || replica.Draining || replica.Phase != outside.ReplicaReady || w.evicted[replica] {
			continue
		}
		if w.busy(at, replica) != busy || !w.canSpare(c, at, replica, busy) {
			continue
		}
		victims = append(victims, placedReplica{server: i, replica: replica, cost: w.policy.victimCost(w, i, replica, at)})
	}
	sort.SliceStable(victims, func(a, b int) bool { return victims[a].cost < victims[b].cost })
	return victims
}

// busy reports whether the replica has running requests or its row has requests that may
// need it.
func (w *workspace) busy(row int, replica *Replica) bool {
	demand := &w.rows[row].demand
	onlyReplica := w.rows[row].current+w.rows[row].outdated <= 1
	return replica.Running > 0 || demand.Waiting > 0 || (onlyReplica && demand.Running > 0)
}

// canSpare reports whether a row can spare the replica for the candidate.
func (w *workspace) canSpare(c *candidate, victim int, replica *Replica, busy bool) bool {
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

// evict unloads a victim to free memory for a row.
func (w *workspace) evict(server int, victim placedReplica, forRow string) {
	if w.evicted == nil {
		w.evicted = map[*Replica]bool{}
	}
	w.evicted[victim.replica] = true
	w.unload(server, victim.replica, ReasonMakeRoom, forRow)
	w.countUnload(w.index[victim.replica.Model], victim.replica)
}
