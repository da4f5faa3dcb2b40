package mirror

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// replace applies a read of the whole state. It must be called with the lock held.
func (m *Mirror) replace(changes Changes) {
	now := time.Now()
	restored := m.enterEra(changes.At, now)
	m.revision = changes.At
	m.state = newState(max(changes.At, changes.Newest))
	m.holdLast(changes.Rejected)
	m.state.apply(changes)
	servers := make(map[string]*fleet.Server, len(changes.Servers))
	for id, server := range changes.Servers {
		if server != nil {
			servers[id] = server
		}
	}
	for id, last := range changes.Rejected {
		if last.Pool != "" {
			servers[id] = last
		}
	}
	m.partial, m.initialized = false, true
	m.addServersInGrace(servers, now)
	m.carryOverRestore(servers, now)
	m.showAllRecords(servers)
	m.replaceOwn(changes, restored)
	m.adoptRead(changes)
}

// replaceOwn applies a read of all own keys. It must be called with the lock held.
func (m *Mirror) replaceOwn(changes Changes, restored bool) {
	var own []outside.KeyValue
	for _, event := range changes.Own {
		if event.Deleted {
			continue
		}
		own = append(own, event.KeyValue)
		m.noteManifest(event)
	}
	m.ownKeysRevision = max(m.ownKeysRevision, changes.At)
	if restored {
		m.config.Own.Restored(own)
		return
	}
	m.config.Own.Replace(own)
}

// apply applies changes, unless all of them are known already or some before them are missing.
// Changes that overlap the known state are safe to apply again: each carries the last state of a
// server, which is at least as new as the known one. It must be called with the lock held.
func (m *Mirror) apply(changes Changes) {
	if changes.At <= m.revision || changes.Base > m.revision {
		return
	}
	m.revision = changes.At
	m.holdLast(changes.Rejected)
	m.state.apply(changes)
	m.largeFleet = m.largeFleet || len(m.state.servers) > maxDirectServers
	m.adoptRead(changes)
	visible := m.visibleChanges(m.withHeld(changes), time.Now())
	m.logServers(visible, changes.At)
	m.showRecords(visible)
	m.applyOwn(changes)
}

// applyOwn passes on the changes of own keys that were not passed on before. It must be called with
// the lock held.
func (m *Mirror) applyOwn(changes Changes) {
	for _, event := range changes.Own {
		if event.KeyValue.ModRevision > m.ownKeysRevision {
			m.noteManifest(event)
			m.config.Own.Change(event)
		}
	}
	m.ownKeysRevision = max(m.ownKeysRevision, changes.At)
}

// adoptRead applies a configuration that was read from the store, and keeps its value to be pushed
// to subscribers. It must be called with the lock held.
func (m *Mirror) adoptRead(changes Changes) {
	changes = m.keepNewer(changes)
	m.content.set(changes.ConfigurationValue, changes.ConfigurationRevision)
	m.setConfiguration(changes.Configuration, changes.ConfigurationRevision)
}

// setConfiguration records that the configuration at the revision was read, and puts it into force
// unless it is nil, which means that it could not be decoded. It must be called with the lock held.
func (m *Mirror) setConfiguration(configuration *fleet.Configuration, revision int64) {
	m.configurationRevision = max(m.configurationRevision, revision)
	if configuration != nil && m.config.View.SetConfiguration(configuration) {
		m.config.Logger.Info().Int64("version", configuration.Version).Int64("revision", configuration.Revision).
			Int("routes", configuration.RouteCount()).Msg("configuration in force")
	}
}

// maxServerLines is the most servers that get a line each in the log when they change together: in
// a fleet of 985 nodes and 10,000 servers that start together, these would be ten million lines.
const maxServerLines = 128

// logServers logs the changes that routing depends on: new servers, changed states and removals,
// together if there are many. It must be called with the lock held, before the view has them.
func (m *Mirror) logServers(changes map[string]*fleet.Server, revision int64) {
	var relevant []string
	ready, draining, gone := 0, 0, 0
	for id, server := range changes {
		if !changesRouting(m.config.View.Record(id), server) {
			continue
		}
		relevant = append(relevant, id)
		switch {
		case server == nil:
			gone++
		case server.Draining:
			draining++
		default:
			ready++
		}
	}
	if len(relevant) <= maxServerLines {
		for _, id := range relevant {
			m.logServer(id, changes[id], revision)
		}
		return
	}
	m.config.Logger.Info().Int("ready", ready).Int("draining", draining).Int("gone", gone).Int64("revision", revision).Msg("server states")
}

// changesRouting reports whether routing depends on the change of a record; nil stands for a
// server without one.
func changesRouting(before, server *fleet.Server) bool {
	if before == nil || server == nil {
		return before != server
	}
	return before.Draining != server.Draining || before.Created != server.Created
}

// logServer logs a change that routing depends on; nil stands for a removal.
func (m *Mirror) logServer(id string, server *fleet.Server, revision int64) {
	if server == nil {
		m.config.Logger.Info().Str("server", id).Int64("revision", revision).Msg("server gone")
		return
	}
	state := "ready"
	if server.Draining {
		state = "draining"
	}
	m.config.Logger.Info().Str("server", id).Str("pool", server.Pool).Str("zone", server.Zone).
		Str("state", state).Int64("revision", revision).Msg("server state")
}
