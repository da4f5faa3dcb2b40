package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Snapshot is a node's view of the deployment at one moment. It is immutable.
type Snapshot struct {
	// Configuration is nil until the first one was read.
	Configuration *Configuration
	// Servers by ID.
	Servers map[string]*Server
	byPool  map[string][]*Server
	// holders caches the results of Holders by poolModel.
	holders sync.Map
}

// Pool returns the servers of a pool in order of ID.
func (s *Snapshot) Pool(name string) []*Server { return s.byPool[name] }

// poolModel is a model of a pool.
type poolModel struct{ pool, model string }

// Holders returns the servers of a pool that hold a model, in order of ID; all of them for an
// empty model.
//
// The result is cached, since scanning 10,000 servers takes 2 ms of a core, and a waiting
// request scans every 20 ms.
func (s *Snapshot) Holders(pool, model string) []*Server {
	if model == "" {
		return s.byPool[pool]
	}
	key := poolModel{pool, model}
	if found, cached := s.holders.Load(key); cached {
		return found.([]*Server)
	}
	var holders []*Server
	for _, server := range s.byPool[pool] {
		if server.Holds(model, "") {
			holders = append(holders, server)
		}
	}
	s.holders.Store(key, holders)
	return holders
}

// View contains the current snapshot. Reads take no lock; changes are serialized, and signalled
// through Changed.
type View struct {
	current atomic.Pointer[Snapshot]

	mutex sync.Mutex
	// changed is closed at the next change.
	changed chan struct{}
	// placements are the models of servers as received from the order holder (the node that
	// orders servers to load models), which are newer than the servers' records.
	placements map[string]*Server
	// records as the servers wrote them.
	records map[string]*Server
	leaving leavingNotices
}

// NewView returns an empty view.
func NewView() *View {
	view := &View{changed: make(chan struct{}), placements: map[string]*Server{}, records: map[string]*Server{}, leaving: leavingNotices{}}
	view.current.Store(&Snapshot{Servers: map[string]*Server{}, byPool: map[string][]*Server{}})
	return view
}

// Load returns the current snapshot.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next change. Call it before Load, so that no
// change is missed.
func (v *View) Changed() <-chan struct{} {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.changed
}

// SetConfiguration publishes a configuration, unless the current one has the same or a later
// revision. It reports whether it did.
func (v *View) SetConfiguration(configuration *Configuration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	current := v.Load().Configuration
	if current != nil && configuration.Revision <= current.Revision {
		return false
	}
	before := v.Load()
	v.swap(&Snapshot{Configuration: configuration, Servers: before.Servers, byPool: before.byPool})
	return true
}

// Record returns a server's record as the server wrote it, or nil.
func (v *View) Record(id string) *Server {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.records[id]
}

// ReplaceServers replaces all records.
func (v *View) ReplaceServers(records map[string]*Server) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for id := range v.placements {
		v.dropOutdated(id, records[id])
	}
	v.records = make(map[string]*Server, len(records))
	for id, record := range records {
		v.records[id] = record
		v.leaving.observeRecord(record)
	}
	v.publishAll()
}

// UpdateServers applies changed records by ID; nil deletes one.
func (v *View) UpdateServers(changes map[string]*Server) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	changed := make([]string, 0, len(changes))
	for id, server := range changes {
		v.dropOutdated(id, server)
		changed = append(changed, id)
		if server == nil {
			delete(v.records, id)
			continue
		}
		v.records[id] = server
		v.leaving.observeRecord(server)
	}
	v.publishChanged(changed)
}

// SetLeaving records that a server sent a leaving notice in an answer: it drains from now on,
// until it starts another incarnation. It reports whether the notice is new.
//
// Its record may say for a long time that it is ready: while the store is unavailable or
// delayed. Without this method a node sent such a server three more requests in the 3 s after
// the notice (store unavailable for 12 s; one node's log lines).
func (v *View) SetLeaving(incarnation Incarnation) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if !v.leaving.add(incarnation, v.records) {
		return false
	}
	if v.records[incarnation.ID] != nil {
		v.publishChanged([]string{incarnation.ID})
	}
	return true
}

// Leaving returns the incarnations that sent a leaving notice and whose records say that they
// are ready, in order of ID.
func (v *View) Leaving() []Incarnation {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.leaving.unrecorded(v.records)
}

// ExpireLeaving makes servers available again whose leaving notices hold no longer. It is called
// periodically.
func (v *View) ExpireLeaving() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if ids := v.leaving.expire(v.records); len(ids) > 0 {
		v.publishChanged(ids)
	}
}

// dropOutdated drops the placement of a server that refers to an earlier record: the record was
// deleted, now or in between, which not all nodes have observed. The caller must hold the lock,
// and call it before the record is stored.
func (v *View) dropOutdated(id string, record *Server) {
	placement := v.placements[id]
	if placement == nil {
		return
	}
	oldest := int64(0)
	if record != nil {
		oldest = record.Created
	} else if before := v.records[id]; before != nil {
		oldest = before.Created + 1
	}
	if placement.Created < oldest {
		delete(v.placements, id)
	}
}

// ApplyPlacements overlays the order holder's placement of models on the servers' records,
// unless a later version has been applied: messages may overtake each other, and an older
// placement would stay until the next change. A nil map of models removes the overlay of that
// server.
func (v *View) ApplyPlacements(states []*Server) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	changed := make([]string, 0, len(states))
	for _, state := range states {
		changed = append(changed, state.ID)
		if before := v.placements[state.ID]; before != nil && before.PlacementVersion > state.PlacementVersion {
			continue
		}
		if state.Models == nil {
			delete(v.placements, state.ID)
			continue
		}
		v.placements[state.ID] = state
	}
	v.publishChanged(changed)
}

// ClearPlacements removes all overlays, for example when the holder is unreachable.
func (v *View) ClearPlacements() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if len(v.placements) == 0 {
		return
	}
	v.placements = map[string]*Server{}
	v.publishAll()
}

// publishAll rebuilds and publishes the whole snapshot. The caller must hold the lock.
func (v *View) publishAll() {
	snapshot := &Snapshot{
		Configuration: v.Load().Configuration,
		Servers:       make(map[string]*Server, len(v.records)),
		byPool:        map[string][]*Server{},
	}
	for id, record := range v.records {
		snapshot.Servers[id] = v.effective(record)
	}
	for _, server := range snapshot.Servers {
		snapshot.byPool[server.Pool] = append(snapshot.byPool[server.Pool], server)
	}
	for _, servers := range snapshot.byPool {
		slices.SortFunc(servers, byID)
	}
	v.swap(snapshot)
}

func byID(a, b *Server) int { return strings.Compare(a.ID, b.ID) }

// swap makes a snapshot the current one and signals the change. The caller must hold the lock.
func (v *View) swap(snapshot *Snapshot) {
	v.current.Store(snapshot)
	close(v.changed)
	v.changed = make(chan struct{})
}

// publishChanged publishes a snapshot in which only the given servers changed. The caller must
// hold the lock. With 10,000 servers it takes 0.5 ms, and publishAll 4.4 ms (BenchmarkView).
func (v *View) publishChanged(ids []string) {
	before := v.Load()
	snapshot := &Snapshot{Configuration: before.Configuration, Servers: maps.Clone(before.Servers), byPool: maps.Clone(before.byPool)}
	pools := map[string][]*Server{}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for _, id := range ids {
		if old := snapshot.Servers[id]; old != nil {
			delete(snapshot.Servers, id)
			pools[old.Pool] = append(pools[old.Pool], nil)
		}
		if record := v.records[id]; record != nil {
			server := v.effective(record)
			snapshot.Servers[id] = server
			pools[server.Pool] = append(pools[server.Pool], server)
		}
	}
	for pool, changed := range pools {
		snapshot.byPool[pool] = mergeByID(before.byPool[pool], changed, ids)
	}
	v.swap(snapshot)
}

// mergeByID returns the servers in order of ID, with those in ids replaced by the changed ones;
// a nil in changed stands for a removed server. The IDs must be in order.
func mergeByID(servers, changed []*Server, ids []string) []*Server {
	changed = slices.DeleteFunc(changed, func(server *Server) bool { return server == nil })
	slices.SortFunc(changed, byID)
	merged := make([]*Server, 0, len(servers)+len(changed))
	for _, server := range servers {
		if _, isChanged := slices.BinarySearch(ids, server.ID); isChanged {
			continue
		}
		for len(changed) > 0 && changed[0].ID < server.ID {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
		merged = append(merged, server)
	}
	return append(merged, changed...)
}

// effective returns a server's record with its placement and leaving notice applied. The caller
// must hold the lock.
func (v *View) effective(record *Server) *Server {
	server := overlay(record, v.placements[record.ID])
	if len(v.leaving) == 0 || !v.leaving.has(server.Incarnation()) {
		return server
	}
	leaving := *server
	leaving.Draining, leaving.ReportedLeaving = true, true
	return &leaving
}

// overlay returns the record with the models of the placement. Records lag behind placements,
// so a placement stays in force when a record changes.
func overlay(record, placement *Server) *Server {
	if placement == nil {
		return record
	}
	merged := *record
	merged.Models, merged.recorded = placement.Models, record.Models
	return &merged
}
