package planner

import (
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/table"
)

// decidedLoad is a base model's load decided by this plan.
type decidedLoad struct{ row, server int }

// host is a replica that can hold an adapter.
type host struct {
	server int
	// attempt is empty for a replica loaded by this plan.
	attempt outside.AttemptID
	ready   bool
	busy    int
}

// adapterNeed is the memory of the base model's adapters with waiting requests.
func (w *workspace) adapterNeed(base int) int64 {
	if w.adapterNeeds == nil {
		w.sumAdapterNeeds()
	}
	return w.adapterNeeds[base]
}

// sumAdapterTotals adds up the memory of each base model's adapters.
func (w *workspace) sumAdapterTotals() {
	w.adapterTotals = make([]int64, len(w.rows))
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		base, known := w.index[row.Base]
		if known && row.Kind == table.KindAdapter && row.Max > 0 {
			w.adapterTotals[base] += row.MemoryBytes
		}
	}
}

// reserveForAdapters keeps room beside a replica for the adapters of its model
// that it does not hold yet.
func (w *workspace) reserveForAdapters(server int, replica *Replica) {
	base, known := w.index[replica.Model]
	if !known || replica.Draining || replica.Phase == outside.ReplicaUnloading {
		return
	}
	held := replica.memory() - replica.MemoryBytes
	w.servers[server].reserved += max(0, w.adapterTotals[base]-held)
}

// wantRoomForAdapters asks for one more replica of a base model when an adapter
// in demand fits beside none of those there are.
func (w *workspace) wantRoomForAdapters() {
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
		work.want(min(work.current+work.outdated+1, w.snapshot.Rows[base].Max), ReasonScaleUp)
	}
}

// fitsBesideReplica reports whether a replica of the adapter's base model has
// room for it on its server.
func (w *workspace) fitsBesideReplica(row *Row) bool {
	for s := range w.snapshot.Servers {
		replica := w.snapshot.Servers[s].replica(row.Base)
		if replica != nil && w.canHost(s, replica, row) {
			return true
		}
	}
	return false
}

func (w *workspace) sumAdapterNeeds() {
	w.adapterNeeds = make([]int64, len(w.rows))
	for i := range w.rows {
		row := &w.snapshot.Rows[i]
		base := w.bases[i]
		if base >= 0 && w.rows[i].demand.Waiting > 0 && row.Max > 0 {
			w.adapterNeeds[base] += row.MemoryBytes
		}
	}
}

// loadAdapters removes adapters that must go and puts those in demand on the
// replicas of their base models.
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

// wantedHolders is how many replicas should hold the adapter.
func (w *workspace) wantedHolders(i int) int {
	row := &w.snapshot.Rows[i]
	wanted := max(row.Min, NeededReplicas(w.rows[i].demand.Load(), w.batch()))
	if w.policy.pinAll {
		wanted = row.Max
	}
	return min(wanted, row.Max)
}

// retireAdapters unloads adapters of removed rows, of old versions and over
// the maximum, and returns the number of staying holders of each row.
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
	at, known := w.index[adapter.Name]
	reason := ReasonRowRemoved
	switch {
	case !known || w.snapshot.Rows[at].Kind != table.KindAdapter || w.snapshot.Rows[at].Base != replica.Model:
	case adapter.Version != w.snapshot.Rows[at].Version:
		reason = ReasonVersionChange
	case holders[at] >= w.snapshot.Rows[at].Max:
		reason = ReasonOverMaximum
	default:
		holders[at]++
		return
	}
	w.decide(Decision{
		Action: ActionUnloadAdapter, Reason: reason, Server: server.ID, Model: replica.Model,
		Adapter: adapter.Name, Version: adapter.Version, Slot: replica.Slot, Attempt: adapter.Attempt,
	})
}

// loadAdapter puts the adapter on one more replica of its base model.
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

// chooseHost prefers replicas that are ready and least busy.
func (w *workspace) chooseHost(i, base int) (host, bool) {
	best, found := host{}, false
	for _, option := range w.hosts(i, base) {
		if !found || (option.ready && !best.ready) || (option.ready == best.ready && option.busy < best.busy) {
			best, found = option, true
		}
	}
	return best, found
}

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
		if load.row == base && w.servers[load.server].free >= row.MemoryBytes && !w.placedHere(load.server, row.Name) {
			hosts = append(hosts, host{server: load.server})
		}
	}
	return hosts
}

func (w *workspace) canHost(s int, replica *Replica, row *Row) bool {
	server := &w.snapshot.Servers[s]
	stays := server.Usable && !server.Leaving && !replica.Draining && !w.evicted[replica]
	loaded := replica.Phase == outside.ReplicaReady || replica.Phase == outside.ReplicaLoading
	if !stays || !loaded || w.servers[s].free < row.MemoryBytes || w.backedOff(server, row.Name) {
		return false
	}
	return !server.holdsAdapter(row.Base, row.Name) && !w.placedHere(s, row.Name)
}

func (w *workspace) placedHere(s int, name string) bool {
	for _, placed := range w.servers[s].placed {
		if placed == name {
			return true
		}
	}
	return false
}
