package mirror

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// A store that comes back from a backup has lost what it acknowledged since. Operator and
// servers write their state again; until then what this node knew is newer than what it reads.

// rereadPause is the shortest time between two reads of everything because another node is in
// a later era: one that counts eras otherwise must not keep this node reading.
const rereadPause = 2 * time.Second

// enterEra notes the era of a read of everything, and reports whether the store was restored
// since the read before. It must be called with the lock held, before the read is taken over.
func (m *Mirror) enterEra(revision int64, now time.Time) (restored bool) {
	era := outside.EraOf(revision)
	restored = m.entered && era > m.era
	m.entered, m.era = true, era
	if !restored {
		return false
	}
	m.restored, m.regainedAt = true, now
	m.ended = m.known.ended
	for id := range m.returned {
		m.ended[id] = revision
	}
	m.copyEntry, m.copyRevision = copyEntry{}, 0
	m.config.Logger.Warn().Int64("era", era).Int64("revision", revision).Int64("revision_before", m.latest).Msg("reading a restored store")
	return true
}

// readAgain makes the node read everything, since another one is in a later era of the store.
// It must be called with the lock held.
func (m *Mirror) readAgain(node string, now time.Time) {
	if now.Sub(m.rereadAt) < rereadPause {
		return
	}
	m.rereadAt = now
	m.config.Logger.Warn().Str("node", node).Int64("era", m.era).Int64("revision", m.revision).Msg("another node is in a later era of the store, reading again")
	m.forgetRevision()
}

// forgetRevision makes the node read everything. What it knows stays in use meanwhile. It must
// be called with the lock held.
func (m *Mirror) forgetRevision() {
	m.latest = max(m.latest, m.revision)
	m.revision = 0
	signal(m.woken)
}

// keepNewer replaces a configuration from an older backup by the one in force, which then
// counts as the one at that revision: whatever is written after it is newer. It must be called
// with the lock held.
func (m *Mirror) keepNewer(read Changes) Changes {
	held := m.config.View.Load().Configuration
	isChange := read.Base > 0
	if isChange || held == nil || outside.EraOf(read.ConfigurationRevision) <= outside.EraOf(held.Revision) {
		return read
	}
	if read.Configuration != nil && read.Configuration.Version >= held.Version {
		return read
	}
	kept := *held
	kept.Revision = read.ConfigurationRevision
	read.ConfigurationValue = nil
	if m.content.revision == held.Revision {
		read.ConfigurationValue = m.content.value
	}
	event := m.config.Logger.Warn().Int64("version", held.Version).Int64("revision", kept.Revision)
	if read.Configuration != nil {
		event = event.Int64("version_restored", read.Configuration.Version)
	}
	event.Msg("older configuration restored, the one in force stays")
	read.Configuration = &kept
	return read
}

// keepServers takes over from what was known before a restore that servers drain, and keeps
// those out of use that had ended, until their records are written again or the time for that
// is over. It must be called with the lock held.
func (m *Mirror) keepServers(servers map[string]*fleet.Server, now time.Time) {
	if !m.restored {
		return
	}
	m.restored = false
	m.returned = map[string]*fleet.Server{}
	for id, server := range servers {
		before := m.config.View.Record(id)
		if before != nil && before.Draining && !server.Draining {
			m.config.View.SetLeaving(before.Incarnation())
		}
		_, lapsed := m.lapsed[id]
		if _, ended := m.ended[id]; ended && !lapsed {
			m.returned[id] = server
			delete(servers, id)
		}
	}
	m.ended = nil
	if len(m.returned) > 0 {
		m.config.Logger.Info().Int("servers", len(m.returned)).Msg("ended servers restored, not used yet")
		m.returnedUntil = now.Add(m.lapseTime())
		time.AfterFunc(m.lapseTime(), m.useReturned)
	}
}

// useReturned uses the servers that had ended before a restore and that the store still lists.
func (m *Mirror) useReturned() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if time.Now().Before(m.returnedUntil) {
		// The store was restored once more since.
		return
	}
	for id := range m.returned {
		if _, listed := m.known.servers[id]; !listed {
			delete(m.returned, id)
		}
	}
	if len(m.returned) > 0 {
		m.config.View.UpdateServers(m.returned)
	}
	m.returned = nil
}
