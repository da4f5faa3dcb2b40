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
	// onePage is how many servers a node reads from the store itself. A fleet with more
	// of them is read by the relay alone: a record is 720 bytes there, so that 985 nodes
	// that read 10,000 records each move 7 GB, 57 s of a link of 1,000 Mbit/s.
	onePage = 500
	// copyPatienceShare of the time for changes is how long a node without records waits
	// for a copy before it reads all records itself, and pagePatience as long again for
	// each page of them, by chance up to twice that: all nodes of a fleet that read 20
	// pages each at once would keep the relay from doing so.
	copyPatienceShare = 0.8
	pagePatience      = time.Second
)

// noteCopy takes over the entry if the own key is that of the copy. It must be called
// with the lock held.
func (m *Mirror) noteCopy(event outside.WatchEvent) {
	if event.KeyValue.Key != m.config.SnapshotKey || event.Deleted || event.KeyValue.ModRevision <= m.copyRevision {
		return
	}
	var entry copyEntry
	if err := json.Unmarshal(event.KeyValue.Value, &entry); err != nil {
		m.config.Logger.Error().Err(err).Msg("entry of the copied records is not understood")
		return
	}
	m.copyEntry, m.copyRevision = entry, event.KeyValue.ModRevision
}

// isLarge reports whether the servers' records are too many to be read by each node.
func (m *Mirror) isLarge(own Changes) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, event := range own.Own {
		m.noteCopy(event)
	}
	m.large = m.large || m.copyEntry.Records > onePage
	return m.large
}

// begin takes over what was read without the servers' records, which follow. What the
// view shows of servers stays meanwhile.
func (m *Mirror) begin(read Changes) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if read.At < m.revision {
		m.takeRead(read)
		return
	}
	now := time.Now()
	restored := m.enterEra(read.At, now)
	m.takeRead(read)
	m.large, m.partial, m.partialAt, m.patience = true, true, now, m.newPatience()
	if m.complete {
		// A copy from before this does not tell what changed in between.
		m.copied = max(m.copied, read.At-1)
	}
	m.revision, m.confirmedAt = read.At, now
	m.known = newKnown(max(read.At, read.Newest))
	m.known.take(Changes{At: read.At, ConfigurationRevision: read.ConfigurationRevision, Own: read.Own})
	if m.drifted {
		m.drifted, m.driftAt = false, now
	}
	m.replaceOwn(read, restored)
	m.config.Logger.Info().Int64("revision", read.At).Msg("configuration read, servers follow")
}

// skip takes over an update without the records that changed. A copy that has them
// follows. It must be called with the lock held.
func (m *Mirror) skip(update Update, now time.Time) {
	if update.At <= m.revision {
		return
	}
	if !m.partial {
		m.partialAt, m.patience = now, m.newPatience()
		m.copied = max(m.copied, m.revision)
		m.config.Logger.Info().Int64("revision", m.revision).Int64("newest", update.At).Msg("too many changes, servers follow")
	}
	configuration := m.known.configuration
	m.large, m.partial, m.revision = true, true, update.At
	m.known = newKnown(update.At)
	m.known.configuration = configuration
	m.known.takeOwn(update.Own)
	m.replaceOwn(Changes{At: update.At, Own: update.Own}, false)
}

// recordsDue reports whether a node without the servers' records can read them now.
// It must be called with the lock held.
func (m *Mirror) recordsDue(now time.Time) bool {
	return m.copyEntry.Revision > m.copied || m.config.IsRelay() || now.Sub(m.partialAt) > m.patience
}

// newPatience must be called with the lock held.
func (m *Mirror) newPatience() time.Duration {
	pages := time.Duration(max(m.copyEntry.Records, len(m.config.View.Load().Servers)) / onePage)
	return share(copyPatienceShare, m.config.Times.Changes) + pages*pagePatience + rand.N(pages*pagePatience+time.Second)
}

// readRecords reads the copy of the servers' records; the relay, and a node that waited
// for a copy in vain, reads the records themselves. The relay goes on meanwhile: it tells
// the others of configurations.
func (m *Mirror) readRecords(ctx context.Context) {
	m.mutex.Lock()
	fromCopy := m.copyEntry.Revision > m.copied && !m.config.IsRelay()
	m.reading = !fromCopy
	m.mutex.Unlock()
	if fromCopy {
		m.readCopy(ctx)
		return
	}
	go func() {
		changes, err := m.config.Source.Read(ctx, true)
		if !m.failed(ctx, err) {
			m.takeAll(changes)
		}
		m.mutex.Lock()
		defer m.mutex.Unlock()
		m.reading = false
	}()
}

// readCopy reads the copy. A node that knows no servers yet uses those of its zone while
// it reads the others: when all nodes start at once, the store's link has 985 copies to
// carry for 2.7 s, and a sixth of that first.
func (m *Mirror) readCopy(ctx context.Context) {
	m.mutex.Lock()
	wanted, first := m.copyEntry.Revision, !m.complete && m.config.Zone != ""
	m.mutex.Unlock()
	if first {
		near, err := m.fetchCopy(ctx, zonePrefix(m.config.Zone), 0)
		if m.failed(ctx, err) {
			return
		}
		m.showZone(near)
	}
	found, err := m.fetchCopy(ctx, "", wanted)
	if m.failed(ctx, err) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.copied = max(m.copied, wanted)
	if found == nil || !m.partial {
		return
	}
	m.merge(found.Records, found.Revision, found.Revision)
}

// fetchCopy reads parts of the copy at a tenth of a call's price, and at the whole price if
// they are from before the revision. It returns nil for what is not understood: another
// copy, or the records themselves, will do.
func (m *Mirror) fetchCopy(ctx context.Context, prefix string, from int64) (*recordsCopy, error) {
	for _, stale := range []bool{true, false} {
		parts, err := m.config.Source.ReadSnapshot(ctx, prefix, stale)
		if err != nil {
			return nil, err
		}
		found, err := decodeCopy(parts)
		if err == nil && found.Revision >= from {
			return found, nil
		}
		if err != nil {
			m.config.Logger.Error().Err(err).Bool("stale", stale).Msg("copied records are not understood")
		}
	}
	return nil, nil
}

// showZone shows the servers of this node's zone while the others are not known.
func (m *Mirror) showZone(found *recordsCopy) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if found == nil || !m.partial || m.complete {
		return
	}
	now, sets := time.Now(), modelSets{}
	servers := make(map[string]*fleet.Server, len(found.Records))
	for _, record := range found.Records {
		_, ended := m.known.ended[record.ID]
		_, known := m.known.servers[record.ID]
		if !ended && !known {
			servers[record.ID] = record.server(now, sets)
		}
	}
	m.config.View.UpdateServers(servers)
	m.config.Logger.Info().Int("servers", len(servers)).Int64("revision", found.Revision).Msg("servers of the zone read")
}

// takeRecords takes over the servers of all that was read. It must be called with the lock
// held.
func (m *Mirror) takeRecords(changes Changes) {
	records := make([]ServerRecord, 0, len(changes.Servers))
	for _, server := range changes.Servers {
		if server != nil {
			records = append(records, recordOf(server))
		}
	}
	m.merge(records, changes.At, max(changes.At, changes.Newest))
}

// merge takes the records over that the store held at the revision, or read from it on up
// to the newest, but for those of which later changes are known. It must be called with
// the lock held.
func (m *Mirror) merge(records []ServerRecord, revision, newest int64) {
	now := time.Now()
	for _, record := range records {
		if _, ended := m.known.ended[record.ID]; ended {
			continue
		}
		if _, known := m.known.servers[record.ID]; !known {
			m.known.set(record.ID, record, revision)
		}
	}
	servers := make(map[string]*fleet.Server, len(m.known.servers))
	sets := modelSets{}
	for id, held := range m.known.servers {
		servers[id] = held.record.server(now, sets)
	}
	// What the store held is known exactly from the latest of the revisions on; the
	// changes after the earliest are asked for once more.
	m.known.since = max(m.known.since, newest, m.revision)
	m.revision = min(m.revision, revision)
	m.partial, m.complete = false, true
	m.addLapsed(servers, now)
	m.keepServers(servers, now)
	m.config.View.ReplaceServers(servers)
	m.readDone(len(servers), m.revision)
	signal(m.missed)
}
