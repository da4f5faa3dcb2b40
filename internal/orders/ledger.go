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

// entry is what the holder knows of one server. The ledger's lock guards it.
type entry struct {
	server *fleet.Server
	// known: the server has reported since this term began.
	known bool
	// sequence is the number of orders that the server has taken.
	sequence   int64
	reportedAt time.Time
	models     map[string]*heldModel
	inMemory   map[string]bool
	onDisk     map[string]bool
	// working: an order or a report is under way.
	working bool
	// loading and where its weights come from; unloading still takes memory.
	loading string
	source  placement.Source
	// loadingAdapter is on its way, as MODEL/NAME.
	loadingAdapter string
	// busyUntil is the expected end of the order or report under way.
	busyUntil    time.Time
	unloading    string
	intent       string
	intentAt     time.Time
	suspectUntil time.Time
	// doubtful is a model that the server was ordered to load without an answer, up
	// to doubtUntil.
	doubtful   string
	doubtUntil time.Time
	// version of the placement at which models changed.
	version uint64
}

// heldModel is a model that a server holds and may be sent requests for.
type heldModel struct {
	// since when it is there; zero if this holder found it at first.
	since    time.Time
	adapters map[string]bool
	// reason for which it was loaded.
	reason string
}

// reasonFound: the server held the model when this holder first asked it.
const reasonFound = "found there"

// intentLifetime is how long room that was made is kept for its model.
const intentLifetime = 3 * time.Second

// ledger is what the holder knows of all model servers.
type ledger struct {
	entries map[string]*entry
	version uint64
	// changes are the entries that changed, in order of the versions at which they did;
	// one that changed once more stands in it twice.
	changes []changedEntry
	// byPool are the IDs of each pool's servers in order; nil: to be made.
	byPool map[string][]string
	// turn is where the next sample of a large pool begins.
	turn int
}

// changedEntry is an entry that changed at a version.
type changedEntry struct {
	version uint64
	id      string
}

func newLedger() *ledger { return &ledger{entries: map[string]*entry{}} }

// sync takes over which servers there are. It returns those to be asked for a
// report.
func (l *ledger) sync(snapshot *fleet.Snapshot, now time.Time) []*entry {
	var ask []*entry
	for id, server := range snapshot.Servers {
		pool := snapshot.Configuration.Pools[server.Pool]
		if pool == nil || pool.Engine == nil {
			continue
		}
		found := l.entries[id]
		if found == nil {
			found = &entry{models: map[string]*heldModel{}}
			l.entries[id] = found
			l.byPool = nil
		}
		if found.server != nil && found.server.Pool != server.Pool {
			l.byPool = nil
		}
		if found.server != nil && found.server.Created != server.Created {
			// Nodes drop what they were told of the record before.
			l.changed(found)
		}
		found.server = server
		if found.stale() && !found.working && !server.Draining && !now.Before(found.suspectUntil) {
			ask = append(ask, found)
		}
	}
	for id := range l.entries {
		if snapshot.Servers[id] == nil && !l.entries[id].working {
			delete(l.entries, id)
			l.byPool = nil
		}
	}
	return ask
}

// recordLag is how late a server's record may show what it holds.
const recordLag = 2500 * time.Millisecond

// stale: the server has not reported in this term, or its record shows other
// models than its last report, though it was written well after that; so an
// order was carried out late.
func (e *entry) stale() bool {
	if !e.known {
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

// changed marks that nodes have to learn of an entry.
func (l *ledger) changed(changed *entry) {
	l.version++
	changed.version = l.version
	l.changes = append(l.changes, changedEntry{l.version, changed.server.ID})
	if len(l.changes) > 2*len(l.entries)+minimumChanges {
		l.changes = slices.DeleteFunc(l.changes, l.superseded)
	}
}

// minimumChanges are kept before those that are superseded are dropped.
const minimumChanges = 1024

// superseded: the entry changed once more, or is gone.
func (l *ledger) superseded(change changedEntry) bool {
	found := l.entries[change.id]
	return found == nil || found.version != change.version
}

// reported takes a report over. It is not called while an order is under way,
// but for the report that ends it.
func (l *ledger) reported(to *entry, report Report, now time.Time) {
	models := make(map[string]*heldModel, len(report.Models))
	since := now
	if to.reportedAt.IsZero() {
		// What this holder finds at first may have been there for long.
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
	to.models, to.sequence, to.known = models, report.Sequence, true
	to.reportedAt = now
	to.inMemory, to.onDisk = report.InMemory, report.OnDisk
	if to.version > 0 || !sameModels(report.Models, to.server.Recorded()) {
		l.changed(to)
	}
}

// sameModels: the record shows just what the server holds, so that nodes need not
// be told.
func sameModels(models, record map[string]fleet.Held) bool {
	return maps.EqualFunc(models, record, func(held, recorded fleet.Held) bool {
		return maps.Equal(held.Adapters, recorded.Adapters)
	})
}

// states returns the entries that changed after the version.
func (l *ledger) states(after uint64) []ServerState {
	var states []ServerState
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].version > after })
	for _, change := range l.changes[first:] {
		if found := l.entries[change.id]; !l.superseded(change) && found.known {
			states = append(states, found.state(change.id))
		}
	}
	sort.Slice(states, func(i, j int) bool { return states[i].ID < states[j].ID })
	return states
}

func (e *entry) state(id string) ServerState {
	models := make(map[string][]string, len(e.models))
	for name, held := range e.models {
		models[name] = fleet.Held{Adapters: held.adapters}.AdapterNames()
	}
	return ServerState{ID: id, Models: models, Version: e.version, Created: e.server.Created}
}

// storeLoads counts the loads from the weight store that are under way.
func (l *ledger) storeLoads(now time.Time) storeLoads {
	var found storeLoads
	for _, loading := range l.entries {
		if loading.loading == "" || loading.source != placement.FromStore {
			continue
		}
		end := loading.freeIn(now)
		if found.count == 0 || end < found.nextEnd {
			found.nextEnd = end
		}
		found.count++
	}
	return found
}

func (e *entry) plannable(id string, now time.Time) placement.Server {
	server := placement.Server{
		ID: id, Zone: e.server.Zone, Busy: e.working, Draining: e.server.Draining,
		Suspect: !e.known || now.Before(e.suspectUntil), Models: make(map[string]placement.Replica, len(e.models)),
		RecordOnly: e.unasked(),
		Loading:    e.loading, LoadingAdapter: e.loadingAdapter, InMemory: e.inMemory, OnDisk: e.onDisk,
	}
	if e.working {
		server.FreeIn = e.freeIn(now)
	}
	if e.intent != "" && now.Sub(e.intentAt) < intentLifetime {
		server.Intent = e.intent
	}
	if now.Before(e.doubtUntil) && e.models[e.doubtful] == nil {
		server.UnconfirmedLoad = e.doubtful
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

// freeIn is the time until the order under way is expected to end. One that is
// overdue is expected to take as long again as it is overdue.
func (e *entry) freeIn(now time.Time) time.Duration { return e.busyUntil.Sub(now).Abs() }

// usedMB is all memory that may be taken, also by what is on its way in or out.
func (e *entry) usedMB(engine *fleet.Engine) float64 {
	used := 0.0
	for name, held := range e.models {
		used += sizeOf(engine, name, len(held.adapters))
	}
	if e.loading != "" {
		used += sizeOf(engine, e.loading, 0)
	}
	if e.unloading != "" {
		used += sizeOf(engine, e.unloading, engine.AdapterPlaces)
	}
	return used
}

// sizeOf takes an unknown model as one that fills the server.
func sizeOf(engine *fleet.Engine, name string, adapters int) float64 {
	model := engine.Models[name]
	if model == nil {
		return engine.MemoryMB
	}
	return model.HeldMB(adapters)
}

func (e *entry) adapterCount() int {
	count := 0
	for _, held := range e.models {
		count += len(held.adapters)
	}
	return count
}

// origins tells why each model is where it is.
func (l *ledger) origins() inspect.Origins {
	origins := make(inspect.Origins, len(l.entries))
	for id, found := range l.entries {
		models := make(map[string]inspect.Origin, len(found.models))
		for name, held := range found.models {
			models[name] = inspect.Origin{Since: held.since, Reason: held.reason}
		}
		origins[id] = models
	}
	return origins
}
