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
	for _, event := range changes.Own {
		k.own[event.KeyValue.Key] = event
	}
	k.bound()
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
}

// end notes that a server is gone.
func (k *known) end(id string, revision int64) {
	if before, exists := k.servers[id]; exists {
		k.digest.remove(before.record)
	}
	delete(k.servers, id)
	k.ended[id] = revision
}

// bound forgets the older half of what is gone.
func (k *known) bound() {
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
	if after < k.since || at < k.since {
		return Update{}, false
	}
	update := Update{Base: after, At: at, Age: age, Configuration: k.configuration}
	for _, server := range k.servers {
		if server.revision > after {
			update.Servers = append(update.Servers, server.record)
		}
	}
	for id, revision := range k.ended {
		if revision > after {
			update.Ended = append(update.Ended, id)
		}
	}
	for _, event := range k.own {
		if event.KeyValue.ModRevision > after {
			update.Own = append(update.Own, event)
		}
	}
	sort.Slice(update.Own, func(i, j int) bool {
		return update.Own[i].KeyValue.ModRevision < update.Own[j].KeyValue.ModRevision
	})
	return update, true
}

// ServerRecord is what others have to know of a server.
type ServerRecord struct {
	ID, Pool, Address, Zone string
	Slots                   int
	Draining                bool
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
		Created: server.Created,
	}
	for name, held := range server.Recorded() {
		record.Models = append(record.Models, ModelRecord{Name: name, Adapters: held.AdapterNames()})
	}
	sort.Slice(record.Models, func(i, j int) bool { return record.Models[i].Name < record.Models[j].Name })
	return record
}

func (r ServerRecord) equal(other ServerRecord) bool {
	return r.ID == other.ID && r.Pool == other.Pool && r.Address == other.Address && r.Zone == other.Zone &&
		r.Slots == other.Slots && r.Draining == other.Draining && r.Created == other.Created &&
		slices.EqualFunc(r.Models, other.Models, ModelRecord.equal)
}

func (m ModelRecord) equal(other ModelRecord) bool {
	return m.Name == other.Name && slices.Equal(m.Adapters, other.Adapters)
}

// server returns the record as a server seen at the time.
func (r ServerRecord) server(seenAt time.Time) *fleet.Server {
	server := &fleet.Server{
		ID: r.ID, Pool: r.Pool, Address: r.Address, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining,
		Created: r.Created, Models: make(map[string]fleet.Held, len(r.Models)), SeenAt: seenAt,
	}
	for _, model := range r.Models {
		server.Models[model.Name] = fleet.NewHeld(model.Adapters)
	}
	return server
}
