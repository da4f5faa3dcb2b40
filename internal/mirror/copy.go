package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// onePage is how many servers a node reads from the store itself. A fleet with more
	// of them is read by the relay alone: a record is 720 bytes there, so that 985 nodes
	// that read 10,000 records each move 7 GB, 57 s of a link of 1,000 Mbit/s.
	onePage = 500
	// copyPeriodShare of the time for changes is the shortest time between two copies, so
	// that a change which only a copy tells is known in time. A copy takes 22 ms to encode
	// for 10,000 records.
	copyPeriodShare = 0.3
	// copyRefresh is how old a copy becomes although nothing changed: changes after its
	// revision must be in the store's history, of which the users' platform keeps 20 s.
	copyRefresh = 6 * time.Second
	// copyPatienceShare of the time for changes is how long a node without records waits
	// for a copy before it reads all records itself, and pagePatience as long again for
	// each page of them, by chance up to twice that: all nodes of a fleet that read 20
	// pages each at once would keep the relay from doing so.
	copyPatienceShare = 0.8
	pagePatience      = time.Second
	// copyPartBytes bounds a value: the store takes 1 MB, encoded in four thirds.
	copyPartBytes = 700 << 10
	// largestCopyBytes bounds what a copy may expand to: 100,000 records of 200 bytes.
	largestCopyBytes = 20 << 20
)

// copyEntry tells of the copy of all servers' records that the relay left in the
// store.
type copyEntry struct {
	// Revision at which the store held just these records.
	Revision int64 `json:"revision"`
	Records  int   `json:"records"`
	// Parts are their names.
	Parts []string `json:"parts"`
}

// CopyPart is a part of the copy, as it lies in the store. Its name begins with the zone
// of the servers in it.
type CopyPart struct {
	Name  string
	Value []byte
}

// zonePrefix begins the names of a zone's parts.
func zonePrefix(zone string) string { return zone + "/" }

// recordsCopy are the records of the copy: of one zone, or of all.
type recordsCopy struct {
	Revision int64
	Records  []ServerRecord
}

// encode returns the copy in parts that the store takes, by zone.
func (c *recordsCopy) encode() ([]CopyPart, error) {
	zones := map[string]*recordsCopy{}
	for _, record := range c.Records {
		if zones[record.Zone] == nil {
			zones[record.Zone] = &recordsCopy{Revision: c.Revision}
		}
		zones[record.Zone].Records = append(zones[record.Zone].Records, record)
	}
	var parts []CopyPart
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		packed, err := zones[zone].pack()
		if err != nil {
			return nil, err
		}
		for number := 0; len(packed) > 0; number++ {
			length := min(len(packed), copyPartBytes)
			parts = append(parts, CopyPart{Name: fmt.Sprintf("%s%02d", zonePrefix(zone), number), Value: packed[:length]})
			packed = packed[length:]
		}
	}
	return parts, nil
}

// pack encodes the records of a zone.
func (c *recordsCopy) pack() ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}
	if err := gob.NewEncoder(compressor).Encode(c); err != nil {
		return nil, eris.Wrap(err, "encode the records")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}
	return packed.Bytes(), nil
}

// decodeCopy returns the records of whole zones, at the earliest of their revisions. It
// fails on anything else.
func decodeCopy(parts []CopyPart) (*recordsCopy, error) {
	zones := map[string][]byte{}
	for _, part := range parts {
		zone, _, _ := strings.Cut(part.Name, zonePrefix(""))
		zones[zone] = append(zones[zone], part.Value...)
	}
	if len(zones) == 0 {
		return nil, eris.New("the copy of the records has no parts")
	}
	whole := &recordsCopy{Revision: math.MaxInt64}
	for zone, packed := range zones {
		expanded := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), largestCopyBytes)
		var found recordsCopy
		if err := gob.NewDecoder(expanded).Decode(&found); err != nil {
			return nil, eris.Wrapf(err, "decode the copy of the records of zone %q", zone)
		}
		whole.Revision = min(whole.Revision, found.Revision)
		whole.Records = append(whole.Records, found.Records...)
	}
	return whole, nil
}

// noteCopy takes over the entry if the own key is that of the copy. It must be called
// with the lock held.
func (m *Mirror) noteCopy(event outside.WatchEvent) {
	if event.KeyValue.Key != m.config.CopyKey || event.Deleted || event.KeyValue.ModRevision <= m.copyRevision {
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
	m.content.set(read.ConfigurationValue, read.ConfigurationRevision)
	m.takeConfiguration(read.Configuration, read.ConfigurationRevision)
	if read.At < m.revision {
		return
	}
	now := time.Now()
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
	m.replaceOwn(read)
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
	m.replaceOwn(Changes{At: update.At, Own: update.Own})
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
		parts, err := m.config.Source.ReadCopy(ctx, prefix, stale)
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
	m.config.View.ReplaceServers(servers)
	m.readDone(len(servers), m.revision)
	signal(m.missed)
}

// writeCopy leaves a copy of the servers' records in the store, if this node is the
// relay of a large fleet and they changed since the last one.
func (m *Mirror) writeCopy(ctx context.Context, now time.Time) {
	m.mutex.Lock()
	age := now.Sub(m.copyAt)
	outdated := m.known.recordsAt > m.copyEntry.Revision && age >= share(copyPeriodShare, m.config.Times.Changes) || age >= copyRefresh
	exact := !m.partial && m.revision >= m.known.since
	if !m.large || !exact || !outdated || m.copying || !m.config.IsRelay() {
		m.mutex.Unlock()
		return
	}
	m.copying, m.copyAt = true, now
	content, entry, before := recordsCopy{Revision: m.revision, Records: m.known.records()}, m.copyEntry, m.copyRevision
	m.mutex.Unlock()
	go m.storeCopy(ctx, content, entry, before)
}

// storeCopy replaces the copy of which the entry tells that has the revision.
func (m *Mirror) storeCopy(ctx context.Context, content recordsCopy, replaced copyEntry, before int64) {
	err := m.sendCopy(ctx, content, replaced, before)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.copying = false
	event := m.config.Logger.Info()
	if err != nil {
		event = m.config.Logger.Warn().Err(err)
	}
	event.Int64("revision", content.Revision).Int("servers", len(content.Records)).Msg("records copied to the store")
}

func (m *Mirror) sendCopy(ctx context.Context, content recordsCopy, replaced copyEntry, before int64) error {
	parts, err := content.encode()
	if err != nil {
		return err
	}
	entry := copyEntry{Revision: content.Revision, Records: len(content.Records)}
	for _, part := range parts {
		entry.Parts = append(entry.Parts, part.Name)
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return eris.Wrap(err, "encode the entry of the copied records")
	}
	removed := slices.DeleteFunc(slices.Clone(replaced.Parts), func(name string) bool { return slices.Contains(entry.Parts, name) })
	return m.config.Source.WriteCopy(ctx, parts, removed, outside.KeyValue{Key: m.config.CopyKey, Value: value}, before)
}

// modelSets shares equal sets of models between servers, which seldom differ in them:
// 10,000 servers with two models each otherwise take 8 MB for their maps.
type modelSets map[string]map[string]fleet.Held

func (s modelSets) of(models []ModelRecord) map[string]fleet.Held {
	var key strings.Builder
	for _, model := range models {
		key.WriteString(model.Name)
		for _, adapter := range model.Adapters {
			key.WriteByte('/')
			key.WriteString(adapter)
		}
		key.WriteByte(',')
	}
	found, known := s[key.String()]
	if !known {
		found = make(map[string]fleet.Held, len(models))
		for _, model := range models {
			found[model.Name] = fleet.NewHeld(model.Adapters)
		}
		s[key.String()] = found
	}
	return found
}
