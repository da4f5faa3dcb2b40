package mirror

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

const (
	// longestLapse is how long a server whose record ended while the store was away
	// is still used after the store's return: by then the record of a server that
	// lives is back.
	longestLapse = 2 * time.Second
	// lapseShare of the time for changes bounds it as well, so that a server which
	// did leave meanwhile gets no request after its time.
	lapseShare = 0.75
)

// lapseTime is how long a record that lapsed is waited for.
func (m *Mirror) lapseTime() time.Duration {
	return min(longestLapse, share(lapseShare, m.config.Times.Changes))
}

// lapseEnd returns until when a record that ended now may come back, if it may have
// ended only because the store was away. It must be called with the lock held.
func (m *Mirror) lapseEnd(now time.Time) (time.Time, bool) {
	if m.lost && !m.through {
		return now.Add(m.lapseTime()), true
	}
	end := m.regainedAt.Add(m.lapseTime())
	return end, !m.regainedAt.IsZero() && now.Before(end)
}

// mayLapse: the server is known and did not say that it leaves. It must be called
// with the lock held.
func (m *Mirror) mayLapse(id string) bool {
	server := m.config.View.Load().Servers[id]
	return server != nil && !server.Draining
}

// hold keeps servers up to the time although their records ended. It must be called
// with the lock held.
func (m *Mirror) hold(ids []string, end, now time.Time) {
	held := 0
	for _, id := range ids {
		if _, known := m.lapsed[id]; !known {
			m.lapsed[id] = end
			held++
		}
	}
	if held == 0 {
		return
	}
	m.config.Logger.Info().Int("servers", held).Time("until", end).Msg("servers lapsed while the store was away")
	time.AfterFunc(end.Sub(now), m.dropLapsed)
}

// dropLapsed removes the servers whose records did not come back in time.
func (m *Mirror) dropLapsed() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	ended := map[string]*fleet.Server{}
	for id, end := range m.lapsed {
		if !now.Before(end) {
			delete(m.lapsed, id)
			ended[id] = nil
			m.logServer(id, nil, m.revision)
		}
	}
	if len(ended) > 0 {
		m.config.View.UpdateServers(ended)
	}
}

// shown are the changes of servers that the view takes over: all but the ends of
// those that are held. It must be called with the lock held.
func (m *Mirror) shown(changes map[string]*fleet.Server, now time.Time) map[string]*fleet.Server {
	end, lapses := m.lapseEnd(now)
	var held []string
	shown := make(map[string]*fleet.Server, len(changes))
	for id, server := range changes {
		if server == nil && lapses && m.mayLapse(id) {
			held = append(held, id)
			continue
		}
		delete(m.lapsed, id)
		delete(m.returned, id)
		shown[id] = server
	}
	m.hold(held, end, now)
	return shown
}

// addLapsed adds to all servers that exist those that are held. It must be called
// with the lock held.
func (m *Mirror) addLapsed(servers map[string]*fleet.Server, now time.Time) {
	end, lapses := m.lapseEnd(now)
	var held []string
	for id := range m.config.View.Load().Servers {
		if servers[id] == nil && lapses && m.mayLapse(id) {
			held = append(held, id)
			servers[id] = m.config.View.Record(id)
			continue
		}
		delete(m.lapsed, id)
	}
	m.hold(held, end, now)
}
