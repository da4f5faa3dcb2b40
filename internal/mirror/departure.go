package mirror

import (
	"context"
	"maps"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// A server that shuts down as planned announces it, and its record is removed when it has ended. The record of a
// server that crashed stays until it expires, after three heartbeats that are missing. So a removal soon after the
// server was last seen running tells a planned shutdown from a crash.

const (
	// unexpiredHeartbeats is how many heartbeats the record of a server lasts at least after the server was seen
	// running: one less than it expires after, since the last one may have been sent up to a heartbeat before.
	unexpiredHeartbeats = 2
	// departureTTL is how long departures are remembered. It exceeds every wait for one.
	departureTTL = time.Minute
	// firstDepartureRead and maxDepartureRead are the first and the longest pause between two reads of a record
	// whose removal is awaited.
	firstDepartureRead, maxDepartureRead = 50 * time.Millisecond, 400 * time.Millisecond
)

// departures are the times at which this node learned that the records of draining servers were removed.
type departures map[fleet.Incarnation]time.Time

// AwaitDeparture waits until a server, which was seen running at the time, has left as planned: it had announced its
// shutdown, and its record was removed since, before that could expire. It returns false once that can't be shown any
// more, or when ctx ends. A store that does not answer may have dropped the record.
func (m *Mirror) AwaitDeparture(ctx context.Context, server fleet.Incarnation, seenRunning time.Time) bool {
	limit := seenRunning.Add(unexpiredHeartbeats * m.config.Times.Heartbeat)
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	for pause := firstDepartureRead; ; pause = min(2*pause, maxDepartureRead) {
		changed := m.config.View.Changed()
		if at, departed := m.departedAt(server); departed {
			return !at.Before(seenRunning) && at.Before(limit)
		}
		if !m.announcedShutdown(server) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			continue
		case <-time.After(pause):
		}
		if err := m.ReadRecord(ctx, server.ID); err != nil {
			return false
		}
	}
}

// departedAt returns when this node learned of the removal of a draining server's record.
func (m *Mirror) departedAt(server fleet.Incarnation) (time.Time, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	at, departed := m.departures[server]
	return at, departed
}

// announcedShutdown reports whether the record is of this incarnation, and announces a shutdown after which it is
// removed.
func (m *Mirror) announcedShutdown(server fleet.Incarnation) bool {
	record := m.config.View.Record(server.ID)
	return record != nil && record.Incarnation() == server && endsWhenDone(record)
}

// endsWhenDone reports whether a server shuts down once it has answered what it runs.
func endsWhenDone(record *fleet.Server) bool { return record.Draining && !record.Preempted }

// recordDepartures records which draining servers the changes remove. Records may be lost, or expire early, around
// an outage or a restore of the store, which shows nothing. It must be called with the lock held, before the view
// has the changes.
func (m *Mirror) recordDepartures(changes map[string]*fleet.Server) {
	now := time.Now()
	if _, granted := m.graceEnd(now); granted {
		return
	}
	for id, server := range changes {
		before := m.config.View.Record(id)
		if before == nil || !endsWhenDone(before) || server != nil && server.Created <= before.Created {
			continue
		}
		m.departures[before.Incarnation()] = now
		maps.DeleteFunc(m.departures, func(_ fleet.Incarnation, at time.Time) bool { return now.Sub(at) > departureTTL })
	}
}
