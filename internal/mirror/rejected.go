package mirror

import (
	"maps"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// A server's record that can't be used was most likely left by another writer: the server writes its
// own again at its next heartbeat, and the record's removal tells that it is gone. Until then its last
// usable record holds, for maxHoldPeriod at most. Such servers are not part of the state's records and their digest, which is the
// same at all nodes whatever records they have seen. The same holds for a record of which optional
// fields can't be decoded, and for these fields alone.

// rejectedServers returns the servers by ID.
func rejectedServers(records []ServerRecord, now time.Time, sets modelSets) map[string]*fleet.Server {
	servers := make(map[string]*fleet.Server, len(records))
	for _, record := range records {
		servers[record.ID] = record.server(now, sets)
	}
	return servers
}

// holdLast replaces what is not known of rejected servers by the last records that this node has seen.
// It must be called with the lock held.
func (m *Mirror) holdLast(rejected map[string]*fleet.Server) {
	for id, server := range rejected {
		if _, expired := m.inGrace[id]; !expired {
			server = Hold(server, m.config.View.Record(id))
		}
		if server.Held && m.holdExpired(server) {
			server = unknownServer(server)
		}
		rejected[id] = server
	}
}

// unknownServer returns a rejected server without its last record.
func unknownServer(server *fleet.Server) *fleet.Server {
	return &fleet.Server{ID: server.ID, Created: server.Created}
}

// maxHoldPeriod is how long a record that can't be used does not end its server's use. A running server
// writes its own record again at each heartbeat, which is every second or two; a store that limits
// writing calls may delay a number of them.
const maxHoldPeriod = 30 * time.Second

// hold is a record that can't be used in place of a server's own, since it was first seen.
type hold struct {
	// created identifies the server's record.
	created int64
	// expired is set maxHoldPeriod after the beginning: the record counts as removed.
	expired bool
}

// holdExpired reports whether the last record of a held server no longer holds. The first call for a
// server begins the period. It must be called with the lock held.
func (m *Mirror) holdExpired(server *fleet.Server) bool {
	entry := m.holds[server.ID]
	if entry == nil || entry.created != server.Created {
		entry = &hold{created: server.Created}
		m.holds[server.ID] = entry
		time.AfterFunc(maxHoldPeriod, func() { m.expireHold(server.ID, entry) })
	}
	return entry.expired
}

// releaseHolds forgets the holds of servers whose records can be used. It must be called with the lock
// held.
func (m *Mirror) releaseHolds(servers map[string]*fleet.Server) {
	maps.DeleteFunc(m.holds, func(id string, _ *hold) bool {
		server := servers[id]
		return server != nil && !server.Held
	})
}

// expireHold removes a server whose own record was not written again in time. While this node's records
// are not current, the server may have written it, and the period begins anew.
func (m *Mirror) expireHold(id string, entry *hold) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := m.config.View.Record(id)
	switch {
	case m.holds[id] != entry:
		return
	case last == nil || last.Created != entry.created:
		delete(m.holds, id)
		return
	case time.Since(m.recordKnownAsOf(id)) > m.maxRecordAge():
		time.AfterFunc(maxHoldPeriod, func() { m.expireHold(id, entry) })
		return
	}
	entry.expired = true
	if _, rejected := m.state.rejected[id]; rejected {
		m.state.reject(id, unknownServer(last), m.revision)
	}
	m.config.Logger.Warn().Str("server", id).Dur("held_ms", maxHoldPeriod).Msg("unusable server record counts as removed")
	removed := map[string]*fleet.Server{id: nil}
	m.logServers(removed, m.revision)
	m.showRecords(removed)
	maps.DeleteFunc(m.holds, func(id string, entry *hold) bool {
		_, rejected := m.state.rejected[id]
		return entry.expired && !rejected
	})
}

// Hold returns the record that holds for a rejected server after its last known one, which may be nil: the
// last one, or its fields that can't be decoded in the new one. A record that was created later than the
// last one, or by a later incarnation, does not stand for the same server.
func Hold(rejected, last *fleet.Server) *fleet.Server {
	switch {
	case last == nil || last.Pool == "" || last.Created != rejected.Created:
		return rejected
	case rejected.Pool == "" && last.Held:
		return last
	case rejected.Pool == "":
		held := *last
		held.Held = true
		return &held
	case rejected.Undecoded == 0 || rejected.Born != 0 && last.Born != 0 && rejected.Born != last.Born:
		return rejected
	}
	return withUndecoded(rejected, last)
}

// withUndecoded returns the server with its fields that can't be decoded as in the last record.
func withUndecoded(server, last *fleet.Server) *fleet.Server {
	completed := *server
	completed.Undecoded &= last.Undecoded
	if server.Undecoded.Has(fleet.FieldZone) {
		completed.Zone = last.Zone
	}
	if server.Undecoded.Has(fleet.FieldSoftwareVersion) {
		completed.SoftwareVersion = last.SoftwareVersion
	}
	if server.Undecoded.Has(fleet.FieldSlots) {
		completed.Slots = last.Slots
	}
	if server.Undecoded.Has(fleet.FieldBorn) {
		completed.Born = last.Born
	}
	if server.Undecoded.Has(fleet.FieldModels) {
		completed.Models = last.Recorded()
	}
	if server.Undecoded.Has(fleet.FieldAvailable) {
		completed.InMemory, completed.OnDisk = last.InMemory, last.OnDisk
	}
	return &completed
}

// lastRecord returns the last record of a rejected server that was read by itself, by ID; nil if it is
// not known. It must be called with the lock held.
func (m *Mirror) lastRecord(id string, rejected map[string]*fleet.Server) map[string]*fleet.Server {
	m.holdLast(rejected)
	if last := rejected[id]; last != nil && last.Pool != "" {
		return map[string]*fleet.Server{id: last}
	}
	return map[string]*fleet.Server{id: nil}
}

// addHeld adds the rejected servers with a known record to all others. It must be called with the lock
// held.
func (m *Mirror) addHeld(servers map[string]*fleet.Server, now time.Time) {
	sets := modelSets{}
	for id, entry := range m.state.rejected {
		if servers[id] == nil && entry.record.isKnown() {
			servers[id] = entry.record.server(now, sets)
		}
	}
}

// withHeld returns the changed servers, and the rejected ones that this node does not show by their
// last records. It must be called with the lock held.
func (m *Mirror) withHeld(changes Changes) map[string]*fleet.Server {
	if len(changes.Rejected) == 0 {
		return changes.Servers
	}
	servers := maps.Clone(changes.Servers)
	for id, last := range changes.Rejected {
		shown := m.config.View.Record(id)
		switch {
		case last.Pool != "" && last != shown:
			servers[id] = last
		case last.Pool == "" && shown != nil:
			servers[id] = nil
		}
	}
	return servers
}
