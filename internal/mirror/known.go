package mirror

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// mostEnded keys that are gone are remembered, so that others can be told.
const mostEnded = 512

// known is what a node can tell others of the store: for each key its last state,
// with the revision of the last change that matters to others. A server that only
// wrote the same record once more did not change.
type known struct {
	// since: what changed at this revision or before can't be told, and what is
	// known is exactly what the store held at a revision only from this one on.
	since int64
	// configuration is the newest one's revision.
	configuration int64
	servers       map[string]knownServer
	own           map[string]outside.WatchEvent
	// ended servers, by the revision at which they were seen to be gone.
	ended map[string]int64
	// digest of all servers' records.
	digest Digest
	// recordsAt is the revision of the last change of a record or end of a server.
	recordsAt int64
	// changed servers, in order of the revisions at which they did; those that changed
	// once more stand in it twice.
	changed []changedServer
}

// changedServer is a server whose record changed, or that ended, at a revision.
type changedServer struct {
	revision int64
	id       string
}

type knownServer struct {
	record   ServerRecord
	revision int64
}

// newKnown returns what is known when changes after the revision can be told.
func newKnown(since int64) *known {
	return &known{
		since: since, servers: map[string]knownServer{}, own: map[string]outside.WatchEvent{}, ended: map[string]int64{},
		digest: noRecords,
	}
}

// take notes changes. All of them count as made at the last revision, which is
// late enough for everyone who knows less.
func (k *known) take(changes Changes) {
	k.configuration = max(k.configuration, changes.ConfigurationRevision)
	for id, server := range changes.Servers {
		if server == nil {
			k.end(id, changes.At)
		} else {
			k.set(id, recordOf(server), changes.At)
		}
	}
	k.takeOwn(changes.Own)
	k.bound()
}

func (k *known) takeOwn(events []outside.WatchEvent) {
	for _, event := range events {
		k.own[event.KeyValue.Key] = event
	}
}

// set notes a server's record, unless the same is known.
func (k *known) set(id string, record ServerRecord, revision int64) {
	before, exists := k.servers[id]
	if exists && before.record.equal(record) {
		return
	}
	if exists {
		k.digest.remove(before.record)
	}
	k.digest.add(record)
	delete(k.ended, id)
	k.servers[id] = knownServer{record: record, revision: revision}
	k.note(id, revision)
}

// note must be called with revisions that don't fall, but for those up to since, which
// are never told.
func (k *known) note(id string, revision int64) {
	k.recordsAt = max(k.recordsAt, revision)
	if revision > k.since {
		k.changed = append(k.changed, changedServer{revision, id})
	}
}

// end notes that a server is gone.
func (k *known) end(id string, revision int64) {
	if before, exists := k.servers[id]; exists {
		k.digest.remove(before.record)
	}
	delete(k.servers, id)
	k.ended[id] = revision
	k.note(id, revision)
}

// records of all servers, in order of ID.
func (k *known) records() []ServerRecord {
	records := make([]ServerRecord, 0, len(k.servers))
	for _, server := range k.servers {
		records = append(records, server.record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].ID < records[j].ID })
	return records
}

// mostChanged changes are kept in order beside one for each server.
const mostChanged = 4096

// bound forgets the older half of what is gone, and of the changes what is too old.
func (k *known) bound() {
	if len(k.changed) > 2*mostChanged {
		k.since = max(k.since, k.changed[len(k.changed)-mostChanged].revision)
	}
	if first := k.firstAfter(k.since); first > mostChanged {
		k.changed = slices.Clone(k.changed[first:])
	}
	if len(k.ended) <= mostEnded {
		return
	}
	revisions := make([]int64, 0, len(k.ended))
	for _, revision := range k.ended {
		revisions = append(revisions, revision)
	}
	sort.Slice(revisions, func(i, j int) bool { return revisions[i] < revisions[j] })
	k.since = max(k.since, revisions[len(revisions)/2])
	maps.DeleteFunc(k.ended, func(_ string, revision int64) bool { return revision <= k.since })
}

// update tells what changed after the revision, up to at. It returns false if that
// can't be told.
func (k *known) update(after, at int64, age time.Duration) (Update, bool) {
	update := Update{Base: after, At: at, Age: age, Configuration: k.configuration}
	if after < k.since || at < k.since {
		return update, false
	}
	for _, change := range k.changed[k.firstAfter(after):] {
		if server, exists := k.servers[change.id]; exists && server.revision == change.revision {
			update.Servers = append(update.Servers, server.record)
		} else if ended, gone := k.ended[change.id]; gone && ended == change.revision {
			update.Ended = append(update.Ended, change.id)
		}
	}
	update.Own = k.ownAfter(after)
	return update, true
}

// ownAfter are the own keys that changed after the revision, in order.
func (k *known) ownAfter(after int64) []outside.WatchEvent {
	var changed []outside.WatchEvent
	for _, event := range k.own {
		if event.KeyValue.ModRevision > after {
			changed = append(changed, event)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].KeyValue.ModRevision < changed[j].KeyValue.ModRevision })
	return changed
}

// firstAfter is the place of the first change after the revision.
func (k *known) firstAfter(revision int64) int {
	return sort.Search(len(k.changed), func(i int) bool { return k.changed[i].revision > revision })
}

// ServerRecord is what others have to know of a server.
type ServerRecord struct {
	ID, Pool, Address, Zone string
	Slots                   int
	Draining                bool
	// Born is the birth of the life that wrote the record. It is no part of the digest,
	// which nodes of earlier builds compare as well.
	Born int64
	// Created is the store's revision at which the record came into being. Without
	// it, a record that lapsed and came back unchanged would not count as a change.
	Created int64
	// Models with their adapters.
	Models []ModelRecord
}

// ModelRecord is a model that a server holds.
type ModelRecord struct {
	Name     string
	Adapters []string
}

// recordOf lists models and adapters in order, so that records can be compared.
func recordOf(server *fleet.Server) ServerRecord {
	record := ServerRecord{
		ID: server.ID, Pool: server.Pool, Address: server.Address, Zone: server.Zone, Slots: server.Slots, Draining: server.Draining,
		Born: server.Born, Created: server.Created,
	}
	for name, held := range server.Recorded() {
		record.Models = append(record.Models, ModelRecord{Name: name, Adapters: held.AdapterNames()})
	}
	sort.Slice(record.Models, func(i, j int) bool { return record.Models[i].Name < record.Models[j].Name })
	return record
}

func (r ServerRecord) equal(other ServerRecord) bool {
	return r.ID == other.ID && r.Pool == other.Pool && r.Address == other.Address && r.Zone == other.Zone &&
		r.Slots == other.Slots && r.Draining == other.Draining && r.Born == other.Born && r.Created == other.Created &&
		slices.EqualFunc(r.Models, other.Models, ModelRecord.equal)
}

func (m ModelRecord) equal(other ModelRecord) bool {
	return m.Name == other.Name && slices.Equal(m.Adapters, other.Adapters)
}

// server returns the record as a server seen at the time.
func (r ServerRecord) server(seenAt time.Time, sets modelSets) *fleet.Server {
	return &fleet.Server{
		ID: r.ID, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining,
		Born: r.Born, Created: r.Created, Models: sets.of(r.Models), SeenAt: seenAt,
	}
}
