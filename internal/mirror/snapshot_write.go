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
	// snapshotIntervalShare of Times.Changes is the minimum time between two snapshots, short
	// enough that a change which only a snapshot contains is known in time. A snapshot of 10,000
	// records takes 22 ms to encode.
	snapshotIntervalShare = 0.3
	// maxSnapshotAge is the age at which a snapshot is written again although nothing changed: the
	// changes after its revision must still be in the store's history, of which the users' platform
	// keeps 20 s.
	maxSnapshotAge = 6 * time.Second
)

// writeSnapshotIfDue writes a snapshot of the servers' records to the store if this node is the
// relay of a large fleet and the last snapshot is outdated.
func (m *Mirror) writeSnapshotIfDue(ctx context.Context, now time.Time) {
	m.mutex.Lock()
	age := now.Sub(m.snapshotStartedAt)
	outdated := m.state.recordsRevision > m.manifest.Revision && age >= share(snapshotIntervalShare, m.config.Times.Changes) || age >= maxSnapshotAge
	exact := !m.partial && m.revision >= m.state.baseRevision
	if !m.largeFleet || !exact || !outdated || m.writingSnapshot || !m.config.IsRelay() {
		m.mutex.Unlock()
		return
	}
	m.writingSnapshot, m.snapshotStartedAt = true, now
	snapshot, replaced, revision := m.snapshot(), m.manifest, m.manifestRevision
	m.mutex.Unlock()
	go m.writeSnapshot(ctx, snapshot, replaced, revision)
}

// snapshot returns a snapshot of the state. It must be called with the lock held.
func (m *Mirror) snapshot() recordsSnapshot {
	return recordsSnapshot{Revision: m.revision, Records: m.state.records(), Rejected: sortedRecords(m.state.rejected)}
}

// writeSnapshot writes a snapshot in place of the one that the manifest describes, provided that
// the manifest's key still has the revision, and logs the result.
func (m *Mirror) writeSnapshot(ctx context.Context, snapshot recordsSnapshot, replaced snapshotManifest, revision int64) {
	err := m.storeSnapshot(ctx, snapshot, replaced, revision)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.writingSnapshot = false
	event := m.config.Logger.Info()
	if err != nil {
		event = m.config.Logger.Warn().Err(err)
	}
	event.Int64("revision", snapshot.Revision).Int("servers", len(snapshot.Records)).Msg("records copied to the store")
}

// storeSnapshot encodes a snapshot and writes it to the store.
func (m *Mirror) storeSnapshot(ctx context.Context, snapshot recordsSnapshot, replaced snapshotManifest, revision int64) error {
	parts, err := snapshot.encode()
	if err != nil {
		return err
	}
	manifest := snapshotManifest{Revision: snapshot.Revision, Records: len(snapshot.Records)}
	for _, part := range parts {
		manifest.Parts = append(manifest.Parts, part.Name)
	}
	value, err := json.Marshal(manifest)
	if err != nil {
		return eris.Wrap(err, "encode the manifest of the records snapshot")
	}
	removed := slices.DeleteFunc(slices.Clone(replaced.Parts), func(name string) bool { return slices.Contains(manifest.Parts, name) })
	return m.config.Source.WriteSnapshot(ctx, parts, removed, outside.KeyValue{Key: m.config.SnapshotKey, Value: value}, revision)
}
