package planner

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// decidedLoad is the load of a base model in this plan, as indices of its row and server.
type decidedLoad struct{ row, server int }

// host is a replica on which an adapter can be loaded.
type host struct {
	server int
	// attempt of the replica; empty if this plan loads it.
	attempt outside.AttemptID
	ready   bool
	busy    int
}

// waitingAdapterMemory returns the memory in bytes of the base model's adapters with waiting
// requests.
func (w *workspace) waitingAdapterMemory(base int) int64 {
	if w.waitingAdapterMemories == nil {
		w.sumWaitingAdapterMemory()
	}
	return w.waitingAdapterMemories[base]
}

// sumAdapterMemory adds up the memory of each base model's adapters.
func (w *workspace) sumAdapterMemory() {
	w.adapterMemory = make([]int64, len(w.rows))
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		base, known := w.index[row.Base]
		if known && row.Kind == table.KindAdapter && row.Max > 0 {
			w.adapterMemory[base] += row.MemoryBytes
		}
	}
}

// reserveForAdapters reserves memory on a replica's server for the adapters of its model
// that it does not hold yet.
func (w *workspace) reserveForAdapters(server int, replica *Replica) {
	base, known := w.index[replica.Model]
	if !known || replica.Draining || replica.Phase == outside.ReplicaUnloading {
		return
	}
	held := replica.memory() - replica.MemoryBytes
	w.servers[server].reserved += max(0, w.adapterMemory[base]-held)
}

// scaleUpForAdapters raises the desired replicas of a base model by one if an adapter with
// waiting requests fits beside none of the present replicas.
func (w *workspace) scaleUpForAdapters() {
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		base, known := w.index[row.Base]
		if !known || row.Kind != table.KindAdapter || row.Max <= 0 {
			continue
		}
		work := &w.rows[base]
		if w.rows[i].demand.Waiting == 0 || w.rows[i].held > 0 || work.current == 0 || w.fitsBesideReplica(row) {
			continue
		}
		work.raiseDesired(min(work.current+work.outdated+1, w.snapshot.Rows[base].Max), ReasonScaleUp)
	}
}

// fitsBesideReplica reports whether a replica of the adapter's base model can host it.
func (w *workspace) fitsBesideReplica(row *Row) bool {
	for s := range w.snapshot.Servers {
		replica := w.snapshot.Servers[s].replica(row.Base)
		if replica != nil && w.canHost(s, replica, row) {
			return true
		}
	}
	return false
}

func (w *workspace) sumWaitingAdapterMemory() {
	w.waitingAdapterMemories = make([]int64, len(w.rows))
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		base := w.bases[i]
		if base >= 0 && w.rows[i].demand.Waiting > 0 && row.Max > 0 {
			w.waitingAdapterMemories[base] += row.MemoryBytes
		}
	}
}

// loadAdapters unloads adapters that must not stay and loads those in demand on the replicas
// of their base models.
func (w *workspace) loadAdapters() {
	holders := w.retireAdapters()
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		if row.Kind != table.KindAdapter || row.Max <= 0 {
			continue
		}
		wanted := w.wantedHolders(i)
		allowed := row.Max - w.rows[i].held - w.snapshot.UnknownServers
		for count := min(wanted-holders[i], allowed); count > 0; count-- {
			if !w.loadAdapter(i) {
				break
			}
		}
	}
}

// wantedHolders returns how many replicas should hold the adapter.
func (w *workspace) wantedHolders(i int) int {
	row := &w.snapshot.Rows[i]
	wanted := max(row.Min, NeededReplicas(w.rows[i].demand.Load(), w.batch()))
	if w.policy.pinAll {
		wanted = row.Max
	}
	return min(wanted, row.Max)
}

// retireAdapters unloads adapters of removed rows, of old versions and beyond the maximum.
// It returns the number of holders that each row keeps.
func (w *workspace) retireAdapters() []int {
	holders := make([]int, len(w.rows))
	for s := range w.snapshot.Servers {
		server := &w.snapshot.Servers[s]
		for r := range server.Replicas {
			replica := &server.Replicas[r]
			if replica.Draining || replica.Phase == outside.ReplicaUnloading || !server.Usable || w.evicted[replica] {
				continue
			}
			for a := range replica.Adapters {
				w.retireAdapter(server, replica, &replica.Adapters[a], holders)
			}
		}
	}
	return holders
}

func (w *workspace) retireAdapter(server *Server, replica *Replica, adapter *Adapter, holders []int) {
	if adapter.Draining || adapter.Phase == outside.ReplicaUnloading {
		return
	}
	i, known := w.index[adapter.Name]
	reason := ReasonRowRemoved
	switch {
	case !known || w.snapshot.Rows[i].Kind != table.KindAdapter || w.snapshot.Rows[i].Base != replica.Model:
	case adapter.Version != w.snapshot.Rows[i].Version:
		reason = ReasonVersionChange
	case holders[i] >= w.snapshot.Rows[i].Max:
		reason = ReasonOverMaximum
	default:
		holders[i]++
		return
	}
	w.decide(Decision{
		Action: ActionUnloadAdapter, Reason: reason, Server: server.ID, Model: replica.Model,
		Adapter: adapter.Name, Version: adapter.Version, Slot: replica.Slot, Attempt: adapter.Attempt,
	})
}

// loadAdapter loads the adapter on one more replica of its base model. It returns false if
// no replica can host it.
func (w *workspace) loadAdapter(i int) bool {
	row := &w.snapshot.Rows[i]
	base := w.bases[i]
	if base < 0 {
		return false
	}
	chosen, found := w.chooseHost(i, base)
	if !found {
		return false
	}
	reason := ReasonWaiting
	if w.rows[i].demand.Load() == 0 {
		reason = ReasonMinimum
	}
	w.decide(Decision{
		Action: ActionLoadAdapter, Reason: reason, Server: w.snapshot.Servers[chosen.server].ID,
		Model: row.Base, Adapter: row.Name, Version: row.Version, Attempt: chosen.attempt,
		MemoryBytes: row.MemoryBytes, WeightBytes: row.WeightBytes,
		Source: w.sourceAt(&w.snapshot.Servers[chosen.server], row),
	})
	target := &w.servers[chosen.server]
	target.free -= row.MemoryBytes
	target.placed = append(target.placed, row.Name)
	w.rows[i].held++
	return true
}

// chooseHost prefers ready replicas, and among these the one with the fewest running
// requests.
func (w *workspace) chooseHost(i, base int) (host, bool) {
	best, found := host{}, false
	for _, option := range w.hosts(i, base) {
		if !found || (option.ready && !best.ready) || (option.ready == best.ready && option.busy < best.busy) {
			best, found = option, true
		}
	}
	return best, found
}

// hosts returns the replicas, including those that this plan loads, that can host the
// adapter.
func (w *workspace) hosts(i, base int) []host {
	row := &w.snapshot.Rows[i]
	var hosts []host
	for s := range w.snapshot.Servers {
		server := &w.snapshot.Servers[s]
		replica := server.replica(row.Base)
		if replica == nil || !w.canHost(s, replica, row) {
			continue
		}
		ready := replica.Phase == outside.ReplicaReady
		hosts = append(hosts, host{server: s, attempt: replica.Attempt, ready: ready, busy: replica.Running})
	}
	for _, load := range w.loads {
		if load.row == base && w.servers[load.server].free >= row.MemoryBytes && !w.isPlaced(load.server, row.Name) {
			hosts = append(hosts, host{server: load.server})
		}
	}
	return hosts
}

// canHost reports whether the adapter may be loaded on the replica and fits on its server.
func (w *workspace) canHost(s int, replica *Replica, row *Row) bool {
	server := &w.snapshot.Servers[s]
	stays := server.Usable && !server.Leaving && !replica.Draining && !w.evicted[replica]
	loaded := replica.Phase == outside.ReplicaReady || replica.Phase == outside.ReplicaLoading
	if !stays || !loaded || w.servers[s].free < row.MemoryBytes || w.backedOff(server, row.Name) {
		return false
	}
	return !server.holdsAdapter(row.Base, row.Name) && !w.isPlaced(s, row.Name)
}

// isPlaced reports whether this plan loads the row on the server.
func (w *workspace) isPlaced(s int, name string) bool {
	for _, placed := range w.servers[s].placed {
		if placed == name {
			return true
		}
	}
	return false
}
