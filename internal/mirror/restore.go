package mirror

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// A store that is restored from a backup has lost the writes that it acknowledged since. The
// operator and the servers write their state again; until then this node's state is newer than what
// it reads.

// rereadInterval is the minimum time between two reads of the whole state because another node is
// in a later era, so that a node which counts eras differently can't keep this one reading.
const rereadInterval = 2 * time.Second

// enterEra records the era of a read of the whole state, and reports whether the store was restored
// since the read before. It must be called with the lock held, before the read is applied.
func (m *Mirror) enterEra(revision int64, now time.Time) (restored bool) {
	era := outside.EraOf(revision)
	restored = m.eraKnown && era > m.era
	m.eraKnown, m.era = true, era
	if !restored {
		return false
	}
	m.afterRestore, m.recoveredAt = true, now
	m.removedBefore = m.state.removed
	for id := range m.reappeared {
		m.removedBefore[id] = revision
	}
	m.manifest, m.manifestRevision = snapshotManifest{}, 0
	m.config.Logger.Warn().Int64("era", era).Int64("revision", revision).Int64("revision_before", m.latestRevision).Msg("reading a restored store")
	return true
}

// rereadForEra makes the node read the whole state again, since another one is in a later era of
// the store. It must be called with the lock held.
func (m *Mirror) rereadForEra(node string, now time.Time) {
	if now.Sub(m.rereadAt) < rereadInterval {
		return
	}
	m.rereadAt = now
	m.config.Logger.Warn().Str("node", node).Int64("era", m.era).Int64("revision", m.revision).Msg("another node is in a later era of the store, reading again")
	m.resetRevision()
}

// resetRevision makes the node read the whole state. The state that it has stays in use until then.
// It must be called with the lock held.
func (m *Mirror) resetRevision() {
	m.latestRevision = max(m.latestRevision, m.revision)
	m.revision = 0
	signal(m.wakeup)
}

// keepNewer replaces a configuration from an older backup by the one in force, which then counts as
// the one at that revision, so that whatever is written later is newer. It must be called with the
// lock held.
func (m *Mirror) keepNewer(read Changes) Changes {
	inForce := m.config.View.Load().Configuration
	isChange := read.Base > 0
	if isChange || inForce == nil || outside.EraOf(read.ConfigurationRevision) <= outside.EraOf(inForce.Revision) {
		return read
	}
	if read.Configuration != nil && read.Configuration.Version >= inForce.Version {
		return read
	}
	kept := *inForce
	kept.Revision = read.ConfigurationRevision
	read.ConfigurationValue = nil
	if m.content.revision == inForce.Revision {
		read.ConfigurationValue = m.content.value
	}
	event := m.config.Logger.Warn().Int64("version", inForce.Version).Int64("revision", kept.Revision)
	if read.Configuration != nil {
		event = event.Int64("version_restored", read.Configuration.Version)
	}
	event.Msg("older configuration restored, the one in force stays")
	read.Configuration = &kept
	return read
}

// carryOverRestore applies state from before a restore to the servers that were read after it.
// Servers that were draining still do. Servers that had been removed stay out of use until their
// records are written again or the grace period is over. It must be called with the lock held.
func (m *Mirror) carryOverRestore(servers map[string]*fleet.Server, now time.Time) {
	if !m.afterRestore {
		return
	}
	m.afterRestore = false
	m.reappeared = map[string]*fleet.Server{}
	for id, server := range servers {
		before := m.config.View.Record(id)
		if before != nil && before.Draining && !server.Draining {
			m.config.View.SetLeaving(before.Incarnation())
		}
		_, inGrace := m.inGrace[id]
		if _, removed := m.removedBefore[id]; removed && !inGrace {
			m.reappeared[id] = server
			delete(servers, id)
		}
	}
	m.removedBefore = nil
	if len(m.reappeared) > 0 {
		m.config.Logger.Info().Int("servers", len(m.reappeared)).Msg("ended servers restored, not used yet")
		m.reappearedUntil = now.Add(m.gracePeriod())
		time.AfterFunc(m.gracePeriod(), m.useReappeared)
	}
}

// useReappeared uses the servers that had been removed before a restore and that the store still
// lists.
func (m *Mirror) useReappeared() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if time.Now().Before(m.reappearedUntil) {
		// The store was restored once more in the meantime.
		return
	}
	for id := range m.reappeared {
		_, listed := m.state.servers[id]
		rejected := m.state.rejected[id].record
		if !listed && (!rejected.isKnown() || rejected.Held) {
			delete(m.reappeared, id)
		}
	}
	m.showRecords(m.reappeared)
	m.reappeared = nil
}
