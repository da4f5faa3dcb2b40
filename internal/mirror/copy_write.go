package mirror

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// copyPeriodShare of the time for changes is the shortest time between two copies, so
	// that a change which only a copy tells is known in time. A copy takes 22 ms to encode
	// for 10,000 records.
	copyPeriodShare = 0.3
	// copyRefresh is how old a copy becomes although nothing changed: changes after its
	// revision must be in the store's history, of which the users' platform keeps 20 s.
	copyRefresh = 6 * time.Second
)

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
	return m.config.Source.WriteSnapshot(ctx, parts, removed, outside.KeyValue{Key: m.config.SnapshotKey, Value: value}, before)
}
