package mirror

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// maxGracePeriod bounds how long a server whose record expired while the store was unavailable
	// is still used after the store's return: by then the record of a running server is back.
	maxGracePeriod = 2 * time.Second
	// graceShare of Times.Changes bounds it as well, so that a server that did leave during the
	// outage gets no request later than its removal must take effect.
	graceShare = 0.75
)

// gracePeriod is how long an expired record is expected to be written again.
func (m *Mirror) gracePeriod() time.Duration {
	return min(maxGracePeriod, share(graceShare, m.config.Times.Changes))
}

// graceEnd returns until when a server whose record is removed now stays in use, if the record may
// have expired only because the store was unavailable. It must be called with the lock held.
func (m *Mirror) graceEnd(now time.Time) (time.Time, bool) {
	if m.storeUnavailable && !m.following {
		return now.Add(m.gracePeriod()), true
	}
	end := m.recoveredAt.Add(m.gracePeriod())
	return end, !m.recoveredAt.IsZero() && now.Before(end)
}

// graceEligible reports whether the server is known and has not announced that it leaves. It must
// be called with the lock held.
func (m *Mirror) graceEligible(id string) bool {
	server := m.config.View.Load().Servers[id]
	return server != nil && !server.Draining
}

// startGrace keeps servers in use until the given end although their records expired. It must be
// called with the lock held.
func (m *Mirror) startGrace(ids []string, end, now time.Time) {
	started := 0
	for _, id := range ids {
		if _, exists := m.inGrace[id]; !exists {
			m.inGrace[id] = end
			started++
		}
	}
	if started == 0 {
		return
	}
	m.config.Logger.Info().Int("servers", started).Time("until", end).Msg("servers lapsed while the store was away")
	time.AfterFunc(end.Sub(now), m.endGrace)
}

// endGrace removes the servers whose records were not written again in time.
func (m *Mirror) endGrace() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	removed := map[string]*fleet.Server{}
	for id, end := range m.inGrace {
		if !now.Before(end) {
			delete(m.inGrace, id)
			removed[id] = nil
		}
	}
	m.logServers(removed, m.revision)
	m.showRecords(removed)
}

// visibleChanges returns the changes that the view applies: all but the removals of servers in
// their grace period. It must be called with the lock held.
func (m *Mirror) visibleChanges(changes map[string]*fleet.Server, now time.Time) map[string]*fleet.Server {
	end, granted := m.graceEnd(now)
	var expired []string
	visible := make(map[string]*fleet.Server, len(changes))
	for id, server := range changes {
		if server == nil && granted && m.graceEligible(id) {
			expired = append(expired, id)
			continue
		}
		delete(m.inGrace, id)
		delete(m.reappeared, id)
		visible[id] = server
	}
	m.startGrace(expired, end, now)
	return visible
}

// addServersInGrace adds servers in their grace period to a read of all servers. It must be called
// with the lock held.
func (m *Mirror) addServersInGrace(servers map[string]*fleet.Server, now time.Time) {
	end, granted := m.graceEnd(now)
	var expired []string
	for id := range m.config.View.Load().Servers {
		if servers[id] == nil && granted && m.graceEligible(id) {
			expired = append(expired, id)
			servers[id] = m.config.View.Record(id)
			continue
		}
		delete(m.inGrace, id)
	}
	m.startGrace(expired, end, now)
}
