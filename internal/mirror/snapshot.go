package mirror

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// maxDirectServers is the maximum number of servers whose records a node reads from the store
	// itself; it is also the number in one page of a read. In a larger fleet only the relay reads
	// them: a record takes 720 bytes there, so that 985 nodes that read 10,000 records each would
	// transfer 7 GB, 57 s of a link of 1,000 Mbit/s.
	maxDirectServers = 500
	// snapshotWaitShare of Times.Changes is how long a node without records waits for a snapshot
	// before it reads all records itself. For each page of records it waits pageWait longer, and at
	// random up to pageWait more: if all nodes of a fleet read 20 pages each at once, they would
	// keep the relay from reading.
	snapshotWaitShare = 0.8
	pageWait          = time.Second
)

// noteManifest takes over the manifest if the own key is the one that holds it. It must be called
// with the lock held.
func (m *Mirror) noteManifest(event outside.WatchEvent) {
	if event.KeyValue.Key != m.config.SnapshotKey || event.Deleted || event.KeyValue.ModRevision <= m.manifestRevision {
		return
	}
	var manifest snapshotManifest
	if err := json.Unmarshal(event.KeyValue.Value, &manifest); err != nil {
		m.config.Logger.Error().Err(err).Msg("entry of the copied records is not understood")
		return
	}
	m.manifest, m.manifestRevision = manifest, event.KeyValue.ModRevision
	m.largeFleet = m.largeFleet || manifest.Records > maxDirectServers
}

// isLarge reports whether the fleet has too many servers for each node to read their records.
func (m *Mirror) isLarge(own Changes) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range own.Own {
		m.noteManifest(event)
	}
	return m.largeFleet
}

// beginPartial applies a read without the servers' records, which follow. Until then the view keeps
// showing the servers known before.
func (m *Mirror) beginPartial(read Changes) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if read.At < m.revision {
		m.adoptRead(read)
		return
	}
	now := time.Now()
	restored := m.enterEra(read.At, now)
	m.adoptRead(read)
	m.largeFleet, m.partial, m.partialAt, m.snapshotWait = true, true, now, m.newSnapshotWait()
	if m.initialized {
		// Earlier snapshots lack the changes between the state before and this read.
		m.snapshotFloor = max(m.snapshotFloor, read.At-1)
	}
	m.revision = read.At
	m.state = newState(max(read.At, read.Newest))
	m.state.apply(Changes{At: read.At, ConfigurationRevision: read.ConfigurationRevision, Own: read.Own})
	if m.drifted {
		m.drifted, m.driftReadAt = false, now
	}
	m.replaceOwn(read, restored)
	m.config.Logger.Info().Int64("revision", read.At).Msg("configuration read, servers follow")
}

// applySkipped applies an update that omits the changed records. A snapshot that contains them
// follows. It must be called with the lock held.
func (m *Mirror) applySkipped(update Update, now time.Time) {
	if update.At <= m.revision {
		return
	}
	if !m.partial {
		m.config.Logger.Info().Int64("revision", m.revision).Int64("newest", update.At).Msg("too many changes, servers follow")
	}
	m.beginGap(update.At, update.Own, now)
	m.replaceOwn(Changes{At: update.At, Own: update.Own}, false)
}

// beginGap makes this node wait for a snapshot with the records that changed since its revision, up
// to a later one. It must be called with the lock held, with all own keys at that revision.
func (m *Mirror) beginGap(revision int64, own []outside.WatchEvent, now time.Time) {
	if !m.partial {
		m.partialAt, m.snapshotWait = now, m.newSnapshotWait()
		m.snapshotFloor = max(m.snapshotFloor, m.revision)
	}
	configuration := m.state.configuration
	m.largeFleet, m.partial, m.revision = true, true, revision
	m.state = newState(revision)
	m.state.configuration = configuration
	m.state.applyOwn(own)
}

// recordsDue reports whether a node without the servers' records should read them now. It must be
// called with the lock held.
func (m *Mirror) recordsDue(now time.Time) bool {
	return m.manifest.Revision > m.snapshotFloor || m.config.IsRelay() || now.Sub(m.partialAt) > m.snapshotWait
}

// newSnapshotWait returns how long to wait for a snapshot. It must be called with the lock held.
func (m *Mirror) newSnapshotWait() time.Duration {
	pages := time.Duration(max(m.manifest.Records, len(m.config.View.Load().Servers)) / maxDirectServers)
	return share(snapshotWaitShare, m.config.Times.Changes) + pages*pageWait + rand.N(pages*pageWait+time.Second)
}

// readRecords reads the records snapshot. The relay, and a node that has waited for a snapshot in
// vain, reads the records themselves, in the background: the relay has to push configurations to
// the others meanwhile.
func (m *Mirror) readRecords(ctx context.Context) {
	m.mutex.Lock()
	fromSnapshot := m.manifest.Revision > m.snapshotFloor && !m.config.IsRelay()
	m.readingRecords = !fromSnapshot
	m.mutex.Unlock()
	if fromSnapshot {
		m.readSnapshot(ctx)
		return
	}
	go func() {
		changes, err := m.config.Source.Read(ctx, true)
		if !m.callFailed(ctx, err) {
			m.applyRead(changes)
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.readingRecords = false
	}()
}

// readSnapshot reads and applies the records snapshot. A node that knows no servers yet uses those
// of its zone while it reads the others: when all nodes start at once, the store's link needs 2.7 s
// to carry 985 copies of the snapshot, and a sixth of that for the zones' parts.
func (m *Mirror) readSnapshot(ctx context.Context) {
	m.mutex.Lock()
	revision, initial := m.manifest.Revision, !m.initialized && m.config.Zone != ""
	m.mutex.Unlock()
	if initial {
		ofZone, err := m.fetchSnapshot(ctx, zonePrefix(m.config.Zone), 0)
		if m.callFailed(ctx, err) {
			return
		}
		m.applyZoneSnapshot(ofZone)
	}
	snapshot, err := m.fetchSnapshot(ctx, "", revision)
	if m.callFailed(ctx, err) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.snapshotFloor = max(m.snapshotFloor, revision)
	if snapshot == nil || !m.partial {
		return
	}
	rejected := rejectedServers(snapshot.Rejected, time.Now(), modelSets{})
	m.mergeRecords(snapshot.Records, rejected, snapshot.Revision, snapshot.Revision)
}

// fetchSnapshot reads parts of the snapshot with a stale read, which costs a tenth of a normal one,
// and again with a normal one if they are from before the revision or can't be decoded. It returns
// nil if neither read gives parts that can be decoded and are recent enough; another snapshot or a
// read of the records will take their place.
func (m *Mirror) fetchSnapshot(ctx context.Context, prefix string, from int64) (*recordsSnapshot, error) {
	for _, stale := range []bool{true, false} {
		parts, err := m.config.Source.ReadSnapshot(ctx, prefix, stale)
		if err != nil {
			return nil, err
		}
		snapshot, err := decodeSnapshot(parts)
		if err == nil && snapshot.Revision >= from {
			return snapshot, nil
		}
		if err != nil {
			m.config.Logger.Error().Err(err).Bool("stale", stale).Msg("copied records are not understood")
		}
	}
	return nil, nil
}

// applyZoneSnapshot adds the servers of this node's zone to the view while the others are not
// known.
func (m *Mirror) applyZoneSnapshot(snapshot *recordsSnapshot) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if snapshot == nil || !m.partial || m.initialized {
		return
	}
	now, sets := time.Now(), modelSets{}
	servers := make(map[string]*fleet.Server, len(snapshot.Records))
	for _, record := range snapshot.Records {
		_, removed := m.state.removed[record.ID]
		_, exists := m.state.servers[record.ID]
		if !removed && !exists {
			servers[record.ID] = record.server(now, sets)
		}
	}
	m.showRecords(servers)
	m.config.Logger.Info().Int("servers", len(servers)).Int64("revision", snapshot.Revision).Msg("servers of the zone read")
}

// mergeRead applies the servers' records of a read of the whole state. It must be called with the
// lock held.
func (m *Mirror) mergeRead(changes Changes) {
	records := make([]ServerRecord, 0, len(changes.Servers))
	for _, server := range changes.Servers {
		if server != nil {
			records = append(records, recordOf(server))
		}
	}
	m.mergeRecords(records, changes.Rejected, changes.At, max(changes.At, changes.Newest))
}

// mergeRecords applies records that the store held at the revision, or that were read between it
// and newest, except those with later known changes. It must be called with the lock held.
func (m *Mirror) mergeRecords(records []ServerRecord, rejected map[string]*fleet.Server, revision, newest int64) {
	now := time.Now()
	m.holdLast(rejected)
	for _, record := range records {
		if _, removed := m.state.removed[record.ID]; removed {
			continue
		}
		if _, exists := m.state.servers[record.ID]; !exists {
			m.state.set(record.ID, record, revision)
		}
	}
	for id, last := range rejected {
		_, removed := m.state.removed[id]
		_, exists := m.state.servers[id]
		if !removed && !exists {
			m.state.reject(id, last, revision)
		}
	}
	servers := make(map[string]*fleet.Server, len(m.state.servers))
	sets := modelSets{}
	for id, entry := range m.state.servers {
		servers[id] = entry.record.server(now, sets)
	}
	// The state equals the store's only from the latest of these revisions on; the changes after
	// the earliest are requested once more.
	m.state.baseRevision = max(m.state.baseRevision, newest, m.revision)
	m.revision = min(m.revision, revision)
	m.addHeld(servers, now)
	m.partial, m.initialized = false, true
	m.addServersInGrace(servers, now)
	m.carryOverRestore(servers, now)
	m.showAllRecords(servers)
	m.noteFullRead(len(servers), m.revision)
	signal(m.resubscribe)
}
