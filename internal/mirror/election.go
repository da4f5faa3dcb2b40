package mirror

import (
	"context"
	"time"
)

// electionShare of the time for changes is how long a node waits for a relay, where there
// is none or one that it never heard, and looks at nothing but the product's own keys. In
// that time one is found, and tells. A node that watches everything hears of servers
// instead, sleeps after that, and campaigns itself since it does not know that another was
// first: at the start of 18 nodes all of them did, with two calls to the store each. And
// 985 nodes that watch 10,000 servers come keep the store's link busy for seconds, so that
// the relay hears of them as late.
const electionShare = 0.25

// shortestWait of a call, since the store counts waits in milliseconds.
const shortestWait = 10 * time.Millisecond

// electionRuns must be called with the lock held, by a node that follows no relay. It
// notes since when there is none that this node ever followed.
func (m *Mirror) electionRuns(now time.Time) bool {
	if m.config.Transport == nil || m.config.IsRelay() {
		m.vacantAt = time.Time{}
		return false
	}
	if relay := m.config.Relay(); relay != "" && relay == m.followed {
		m.vacantAt = time.Time{}
		return false
	}
	if m.vacantAt.IsZero() {
		m.vacantAt = now
	}
	return now.Sub(m.vacantAt) < share(electionShare, m.config.Times.Changes)
}

// awaitElection returns when an own key changed, the relay told something, or the time for
// that is over.
func (m *Mirror) awaitElection(ctx context.Context) {
	m.mutex.Lock()
	after := m.ownAt
	wait := max(share(electionShare, m.config.Times.Changes)-time.Since(m.vacantAt), shortestWait)
	m.mutex.Unlock()
	if m.config.Relay() != "" {
		m.awaitWord(ctx, wait)
		return
	}
	changes, err := m.config.Source.OwnChanges(ctx, after, wait)
	if m.watchFailed(ctx, err, after) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changeOwn(changes)
}
