package orders

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// entry is the holder's state of one server. The holder's lock guards it.
type entry struct {
	server *fleet.Server
	// reported is set once the server has reported in this term, until an order or a call for
	// a report ends without one.
	reported bool
	// sequence is the number of orders that the server has accepted.
	sequence   int64
	reportedAt time.Time
	models     map[string]*heldModel
	inMemory   map[string]bool
	onDisk     map[string]bool
	// busy is set while an order or a call for a report is in progress.
	busy bool
	// loading is the model being loaded, and source where its weights come from.
	loading string
	source  placement.Source
	// loadingAdapter is the adapter being loaded, as MODEL/NAME.
	loadingAdapter string
	// busyUntil is the expected end of the order or call in progress.
	busyUntil time.Time
	// unloading is the model being unloaded, which still takes memory.
	unloading string
	// intent is the model for which another one was unloaded, at intentAt.
	intent   string
	intentAt time.Time
	// suspectUntil is when a server that did not answer is asked again.
	suspectUntil time.Time
	// unconfirmedLoad is a model whose load was ordered without a reply. It counts as
	// possibly in progress until unconfirmedUntil.
	unconfirmedLoad  string
	unconfirmedUntil time.Time
	// version is the placement version at which models last changed.
	version uint64
	// load is the server's average load, if it is known.
	load loadAverage
}

// heldModel is a model that a server holds and may be sent requests for.
type heldModel struct {
	// since is when the model became available; zero if it was there at the server's first
	// report to this holder.
	since    time.Time
	adapters map[string]bool
	// reason is why the model was loaded.
	reason string
}

// reasonFound is the reason of models that a server held at its first report to this holder.
const reasonFound = "found there"

// intentLifetime is how long memory that was freed for a model is reserved for it.
const intentLifetime = 3 * time.Second

// serverTable is the holder's state of all model servers. The holder's lock guards it.
type serverTable struct {
	// entries by server ID.
	entries map[string]*entry
	// version of the placement grows with each change.
	version uint64
	// changes lists the entries that changed, in order of version. An entry is listed again
	// each time that it changes.
	changes []changedEntry
	// byPool caches the sorted IDs of each pool's servers; nil if it must be rebuilt.
	byPool map[string][]string
	// sampleStart is where the next sample of a large pool begins.
	sampleStart int
	// orderedBefore is set once a server's first report in this term shows that it has accepted
	// orders, which were an earlier holder's.
	orderedBefore bool
}

// changedEntry records that an entry changed at a version.
type changedEntry struct {
	version uint64
	id      string
}

func newServerTable() *serverTable { return &serverTable{entries: map[string]*entry{}} }

// sync updates the entries to the servers of the snapshot. It returns those to be asked for a
// report.
func (t *serverTable) sync(snapshot *fleet.Snapshot, now time.Time) []*entry {
	var ask []*entry
	for id, server := range snapshot.Servers {
		pool := snapshot.Configuration.Pools[server.Pool]
		if pool == nil || pool.Engine == nil {
			continue
		}
		found := t.entries[id]
		if found == nil {
			found = &entry{models: map[string]*heldModel{}}
			t.entries[id] = found
			t.byPool = nil
		}
		if found.server != nil && found.server.Pool != server.Pool {
			t.byPool = nil
		}
		if found.server != nil && found.server.Created != server.Created {
			// The record was written anew, and nodes drop the placement that belongs to
			// the earlier one.
			t.markChanged(found)
		}
		found.server = server
		if found.stale() && !found.busy && !server.Draining && !now.Before(found.suspectUntil) {
			ask = append(ask, found)
		}
	}
	for id := range t.entries {
		if snapshot.Servers[id] == nil && !t.entries[id].busy {
			delete(t.entries, id)
			t.byPool = nil
		}
	}
	return ask
}

// recordLag is how late a server's record may show a change of what it holds.
const recordLag = 2500 * time.Millisecond

// stale reports whether the entry may be out of date: the server has not reported in this term, or
// its record shows other models than its last report, although the record was written more than
// recordLag after the report. The latter happens when an order is carried out late.
func (e *entry) stale() bool {
	if !e.reported {
		return true
	}
	if !e.server.SeenAt.After(e.reportedAt.Add(recordLag)) {
		return false
	}
	recorded := e.server.Recorded()
	if len(recorded) != len(e.models) {
		return true
	}
	for name := range recorded {
		if e.models[name] == nil {
			return true
		}
	}
	return false
}

// markChanged records that an entry has changed and must be sent to nodes.
func (t *serverTable) markChanged(changed *entry) {
	t.version++
	changed.version = t.version
	t.changes = append(t.changes, changedEntry{t.version, changed.server.ID})
	if len(t.changes) > 2*len(t.entries)+minChanges {
		t.changes = slices.DeleteFunc(t.changes, t.superseded)
	}
}

// minChanges is the number of changes up to which superseded ones are not removed.
const minChanges = 1024

// superseded reports whether the entry has changed again since, or was removed.
func (t *serverTable) superseded(change changedEntry) bool {
	found := t.entries[change.id]
	return found == nil || found.version != change.version
}

// applyReport updates an entry by a report. It is not called while an order is in progress, except
// with the report that ends the order.
func (t *serverTable) applyReport(to *entry, report Report, now time.Time) {
	models := make(map[string]*heldModel, len(report.Models))
	since := now
	if to.reportedAt.IsZero() {
		// Models in the first report may have been there for long.
		since = time.Time{}
	}
	for name, held := range report.Models {
		kept := to.models[name]
		if kept == nil {
			kept = &heldModel{since: since, reason: reasonFound}
		}
		kept.adapters = make(map[string]bool, len(held.Adapters))
		for adapter := range held.Adapters {
			kept.adapters[adapter] = true
		}
		models[name] = kept
	}
	if to.reportedAt.IsZero() && report.Sequence > 0 {
		t.orderedBefore = true
	}
	to.models, to.sequence, to.reported = models, report.Sequence, true
	to.reportedAt = now
	to.inMemory, to.onDisk = report.InMemory, report.OnDisk
	if to.version > 0 || !sameModels(report.Models, to.server.Recorded()) {
		t.markChanged(to)
	}
}

// sameModels reports whether the record shows exactly the models and adapters that the server
// holds, so that nodes need no update.
func sameModels(models, record map[string]fleet.LoadedModel) bool {
	return maps.EqualFunc(models, record, func(held, recorded fleet.LoadedModel) bool {
		return maps.Equal(held.Adapters, recorded.Adapters)
	})
}

// statesAfter returns the state of the entries that changed after the version, in order of ID.
func (t *serverTable) statesAfter(after uint64) []ServerState {
	var states []ServerState
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].version > after })
	for _, change := range t.changes[first:] {
		if found := t.entries[change.id]; !t.superseded(change) && found.reported {
			states = append(states, found.state(change.id))
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	return states
}

func (e *entry) state(id string) ServerState {
	models := make(map[string][]string, len(e.models))
	for name, held := range e.models {
		models[name] = fleet.LoadedModel{Adapters: held.adapters}.AdapterNames()
	}
	return ServerState{ID: id, Models: models, Version: e.version, Created: e.server.Created}
}

// storeLoads returns the loads from the weight store that are in progress.
func (t *serverTable) storeLoads(now time.Time) storeLoads {
	var found storeLoads
	for _, candidate := range t.entries {
		if candidate.loading == "" || candidate.source != placement.FromStore {
			continue
		}
		end := candidate.freeIn(now)
		if found.count == 0 || end < found.nextEnd {
			found.nextEnd = end
		}
		found.count++
	}
	return found
}

// forPlanner returns the server as input of the planner.
func (e *entry) forPlanner(id string, now time.Time) placement.Server {
	server := placement.Server{
		ID: id, Zone: e.server.Zone, Busy: e.busy, Draining: e.server.Draining,
		Suspect: !e.reported || now.Before(e.suspectUntil), Models: make(map[string]placement.Replica, len(e.models)),
		RecordOnly: e.unreported(),
		Loading:    e.loading, LoadingAdapter: e.loadingAdapter, InMemory: e.inMemory, OnDisk: e.onDisk,
	}
	if e.busy {
		server.FreeIn = e.freeIn(now)
	}
	if e.intent != "" && now.Sub(e.intentAt) < intentLifetime {
		server.Intent = e.intent
	}
	if now.Before(e.unconfirmedUntil) && e.models[e.unconfirmedLoad] == nil {
		server.UnconfirmedLoad = e.unconfirmedLoad
	}
	if server.RecordOnly {
		server.Suspect, server.Models = false, recordedReplicas(e.server)
		return server
	}
	for name, held := range e.models {
		server.Models[name] = placement.Replica{Since: held.since, Adapters: held.adapters}
	}
	return server
}

// freeIn returns the time until the order in progress is expected to end. An overdue order is
// expected to take as long again as it is overdue.
func (e *entry) freeIn(now time.Time) time.Duration { return e.busyUntil.Sub(now).Abs() }

// usedMB returns the memory that may be in use, including models being loaded or unloaded.
func (e *entry) usedMB(engine *fleet.Engine) float64 {
	used := 0.0
	for name, held := range e.models {
		used += sizeOf(engine, name, len(held.adapters))
	}
	if e.loading != "" {
		used += sizeOf(engine, e.loading, 0)
	}
	if e.unloading != "" {
		used += sizeOf(engine, e.unloading, engine.AdapterSlots)
	}
	return used
}

// sizeOf returns the memory that a model takes, in MB. An unknown model counts as filling the
// server.
func sizeOf(engine *fleet.Engine, name string, adapters int) float64 {
	model := engine.Models[name]
	if model == nil {
		return engine.MemoryMB
	}
	return model.FootprintMB(adapters)
}

func (e *entry) adapterCount() int {
	count := 0
	for _, held := range e.models {
		count += len(held.adapters)
	}
	return count
}

// origins returns since when and why each server holds its models.
func (t *serverTable) origins() inspect.Origins {
	origins := make(inspect.Origins, len(t.entries))
	for id, found := range t.entries {
		models := make(map[string]inspect.Origin, len(found.models))
		for name, held := range found.models {
			models[name] = inspect.Origin{Since: held.since, Reason: held.reason}
		}
		origins[id] = models
	}
	return origins
}
