package mirror

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// maxRemoved is the maximum number of removed servers that are remembered, so that their removal
// can be reported to others.
const maxRemoved = 512

// state is what a node can report to others of the store: for each key its last state, with the
// revision of the last change that matters to others. A server that only wrote the same record
// again did not change.
type state struct {
	// baseRevision is the revision up to which changes can't be reported. Only from it on does the
	// state equal exactly what the store held at a revision.
	baseRevision int64
	// configuration is the revision of the newest one.
	configuration int64
	servers       map[string]versionedRecord
	own           map[string]outside.WatchEvent
	// rejected are the servers whose records in the store can't be used, as in Changes. They are not
	// in servers.
	rejected map[string]versionedRecord
	// removed servers, with the revision at which their removal was observed.
	removed map[string]int64
	// digest of all servers' records.
	digest Digest
	// recordsRevision is the revision of the last change or removal of a record.
	recordsRevision int64
	// changed servers, in order of the revisions of their changes. One that changed several times
	// has an entry for each change.
	changed []changedServer
}

// changedServer is a server whose record changed or was removed at a revision.
type changedServer struct {
	revision int64
	id       string
}

// versionedRecord is a record with the revision of its last change.
type versionedRecord struct {
	record   ServerRecord
	revision int64
}

// newState returns an empty state from which changes after the revision can be reported.
func newState(baseRevision int64) *state {
	return &state{
		baseRevision: baseRevision, servers: map[string]versionedRecord{}, own: map[string]outside.WatchEvent{}, removed: map[string]int64{},
		rejected: map[string]versionedRecord{}, digest: emptyDigest,
	}
}

// apply applies changes. All of them are recorded as made at the last revision, which is late
// enough for everyone whose state is older.
func (s *state) apply(changes Changes) {
	s.configuration = max(s.configuration, changes.ConfigurationRevision)
	for id, server := range changes.Servers {
		if server == nil {
			s.remove(id, changes.At)
		} else {
			s.set(id, recordOf(server), changes.At)
		}
	}
	for id, last := range changes.Rejected {
		s.reject(id, last, changes.At)
	}
	s.applyOwn(changes.Own)
	s.trim()
}

// applyOwn records the last event of each own key.
func (s *state) applyOwn(events []outside.WatchEvent) {
	for _, event := range events {
		s.own[event.KeyValue.Key] = event
	}
}

// set records a server's record, unless the same one is known.
func (s *state) set(id string, record ServerRecord, revision int64) {
	before, exists := s.servers[id]
	if exists && before.record.equal(record) {
		return
	}
	if exists {
		s.digest.remove(before.record)
	}
	s.digest.add(record)
	delete(s.removed, id)
	delete(s.rejected, id)
	s.servers[id] = versionedRecord{record: record, revision: revision}
	s.recordChange(id, revision)
}

// recordChange records that a server changed. It must be called with non-decreasing revisions,
// except for those up to baseRevision, which are never reported.
func (s *state) recordChange(id string, revision int64) {
	s.recordsRevision = max(s.recordsRevision, revision)
	if revision > s.baseRevision {
		s.changed = append(s.changed, changedServer{revision, id})
	}
}

// remove records that a server's record was removed.
func (s *state) remove(id string, revision int64) {
	if before, exists := s.servers[id]; exists {
		s.digest.remove(before.record)
	}
	delete(s.servers, id)
	delete(s.rejected, id)
	s.removed[id] = revision
	s.recordChange(id, revision)
}

// reject records that a server's record can't be used; see Changes.Rejected.
func (s *state) reject(id string, last *fleet.Server, revision int64) {
	before, exists := s.servers[id]
	if exists {
		s.digest.remove(before.record)
		delete(s.servers, id)
	}
	record := recordOf(last)
	if known, rejected := s.rejected[id]; rejected && known.record.equal(record) {
		return
	}
	delete(s.removed, id)
	s.rejected[id] = versionedRecord{record: record, revision: revision}
	s.recordChange(id, revision)
}

// records returns the records of all servers, in order of ID.
func (s *state) records() []ServerRecord { return sortedRecords(s.servers) }

func sortedRecords(servers map[string]versionedRecord) []ServerRecord {
	records := make([]ServerRecord, 0, len(servers))
	for _, server := range servers {
		records = append(records, server.record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records
}

// maxChanged is how many changes are kept for reports once there are more than twice as many.
const maxChanged = 4096

// trim forgets the older half of the removed servers, and the changes that are too old, once there
// are too many of them.
func (s *state) trim() {
	if len(s.changed) > 2*maxChanged {
		s.baseRevision = max(s.baseRevision, s.changed[len(s.changed)-maxChanged].revision)
	}
	if first := s.firstAfter(s.baseRevision); first > maxChanged {
		s.changed = slices.Clone(s.changed[first:])
	}
	if len(s.removed) <= maxRemoved {
		return
	}
	revisions := make([]int64, 0, len(s.removed))
	for _, revision := range s.removed {
		revisions = append(revisions, revision)
	}
	sort.Slice(revisions, func(i, j int) bool { return revisions[i] < revisions[j] })
	s.baseRevision = max(s.baseRevision, revisions[len(revisions)/2])
	maps.DeleteFunc(s.removed, func(_ string, revision int64) bool { return revision <= s.baseRevision })
}

// updateSince returns an Update with the changes after the revision, up to at. It returns false if
// they can't be reported.
func (s *state) updateSince(after, at int64, age time.Duration) (Update, bool) {
	update := Update{Base: after, At: at, Age: age, Configuration: s.configuration}
	if after < s.baseRevision || at < s.baseRevision {
		return update, false
	}
	for _, change := range s.changed[s.firstAfter(after):] {
		if server, exists := s.servers[change.id]; exists && server.revision == change.revision {
			update.Servers = append(update.Servers, server.record)
		} else if revision, removed := s.removed[change.id]; removed && revision == change.revision {
			update.Ended = append(update.Ended, change.id)
		} else if server, rejected := s.rejected[change.id]; rejected && server.revision == change.revision {
			update.Rejected = append(update.Rejected, server.record)
		}
	}
	update.Own = s.ownAfter(after)
	return update, true
}

// ownAfter returns the own keys that changed after the revision, in order of revision.
func (s *state) ownAfter(after int64) []outside.WatchEvent {
	var changed []outside.WatchEvent
	for _, event := range s.own {
		if event.KeyValue.ModRevision > after {
			changed = append(changed, event)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].KeyValue.ModRevision < changed[j].KeyValue.ModRevision })
	return changed
}

// firstAfter returns the index of the first change after the revision.
func (s *state) firstAfter(revision int64) int {
	return sort.Search(len(s.changed), func(i int) bool { return s.changed[i].revision > revision })
}

// ServerRecord is a server's record as nodes send it to each other.
type ServerRecord struct {
	ID, Pool, Address, Zone string
	Slots                   int
	Draining                bool
	// Born identifies the incarnation that wrote the record, by the time at which it started. It is
	// not part of the digest, which nodes of earlier builds compare as well.
	Born int64
	// SoftwareVersion of the incarnation. It is not part of the digest either.
	SoftwareVersion string
	// Preempted as in fleet.Server. It is not part of the digest either.
	Preempted bool
	// Created is the store's revision at which the record was created. Without it, a record that
	// expired and was written again unchanged would not count as a change.
	Created int64
	// Models that the server holds, with their adapters, in order of name.
	Models []ModelRecord
	// Undecoded as in fleet.Server. Only records of rejected servers have any.
	Undecoded fleet.RecordFields
	// Held as in fleet.Server, likewise.
	Held bool
}

// ModelRecord is a model that a server holds, with its adapters.
type ModelRecord struct {
	Name     string
	Adapters []string
}

// recordOf returns a server's record, with models and adapters in order so that records can be
// compared.
func recordOf(server *fleet.Server) ServerRecord {
	record := ServerRecord{
		ID: server.ID, Pool: server.Pool, Address: server.Address, Zone: server.Zone, Slots: server.Slots, Draining: server.Draining,
		Born: server.Born, SoftwareVersion: server.SoftwareVersion, Created: server.Created, Undecoded: server.Undecoded,
		Held: server.Held, Preempted: server.Preempted,
	}
	for name, held := range server.Recorded() {
		record.Models = append(record.Models, ModelRecord{Name: name, Adapters: held.AdapterNames()})
	}
	sort.Slice(record.Models, func(i, j int) bool { return record.Models[i].Name < record.Models[j].Name })
	return record
}

func (r ServerRecord) equal(other ServerRecord) bool {
	return r.ID == other.ID && r.Pool == other.Pool && r.Address == other.Address && r.Zone == other.Zone &&
		r.Slots == other.Slots && r.Draining == other.Draining && r.Born == other.Born && r.SoftwareVersion == other.SoftwareVersion && r.Created == other.Created && r.Undecoded == other.Undecoded && r.Held == other.Held && r.Preempted == other.Preempted &&
		slices.EqualFunc(r.Models, other.Models, ModelRecord.equal)
}

func (m ModelRecord) equal(other ModelRecord) bool {
	return m.Name == other.Name && slices.Equal(m.Adapters, other.Adapters)
}

// isKnown reports whether the record of a rejected server was read before.
func (r ServerRecord) isKnown() bool { return r.Pool != "" }

// server returns the record as a fleet.Server that was seen at the time.
func (r ServerRecord) server(seenAt time.Time, sets modelSets) *fleet.Server {
	return &fleet.Server{
		ID: r.ID, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining,
		Born: r.Born, SoftwareVersion: r.SoftwareVersion, Created: r.Created, Models: sets.of(r.Models), SeenAt: seenAt,
		Undecoded: r.Undecoded, Held: r.Held, Preempted: r.Preempted,
	}
}
