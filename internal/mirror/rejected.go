package mirror

import (
	"maps"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// A server's record that can't be used was most likely left by another writer: the server writes its
// own again at its next heartbeat, and the record's removal tells that it is gone. Until then its last
// usable record holds. Such servers are not part of the state's records and their digest, which is the
// same at all nodes whatever records they have seen.

// rejectedServers returns the servers by ID.
func rejectedServers(records []ServerRecord, now time.Time, sets modelSets) map[string]*fleet.Server {
	servers := make(map[string]*fleet.Server, len(records))
	for _, record := range records {
		servers[record.ID] = record.server(now, sets)
	}
	return servers
}

// holdLast replaces rejected servers without a known record by the last records that this node has
// seen. A record that was created later than that one does not stand for the same server: the server's
// own was removed. It must be called with the lock held.
func (m *Mirror) holdLast(rejected map[string]*fleet.Server) {
	for id, server := range rejected {
		last := m.config.View.Record(id)
		_, expired := m.inGrace[id]
		if server.Pool == "" && last != nil && last.Created == server.Created && !expired {
			rejected[id] = last
		}
	}
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
