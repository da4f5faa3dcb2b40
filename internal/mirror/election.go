package mirror

import (
	"context"
	"time"
)

// electionWaitShare of Times.Changes is how long a node watches only the own keys while there is no
// relay, or one that it never followed. Within that time a relay is elected and pushes its first
// update. A node that watched everything would receive changes of servers instead, pause after
// them, and stand for election itself because it has not seen that another node was first: when 18
// nodes started together all of them did, with two calls to the store each. And 985 nodes that
// watch while 10,000 servers register keep the store's link busy for seconds, so that the relay
// learns of the servers just as late.
const electionWaitShare = 0.25

// minWait is the minimum wait of a watch call, as the store counts waits in milliseconds.
const minWait = 10 * time.Millisecond

// electionPending reports whether this node, which follows no relay, should wait for one to be
// elected. It records since when there has been none that this node ever followed. It must be
// called with the lock held.
func (m *Mirror) electionPending(now time.Time) bool {
	if m.config.Transport == nil || m.config.IsRelay() {
		m.noRelaySince = time.Time{}
		return false
	}
	if relay := m.config.Relay(); relay != "" && relay == m.lastRelay {
		m.noRelaySince = time.Time{}
		return false
	}
	if m.noRelaySince.IsZero() {
		m.noRelaySince = now
	}
	return now.Sub(m.noRelaySince) < share(electionWaitShare, m.config.Times.Changes)
}

// awaitElection returns when an own key changed, the relay sent an update, or the time for the
// election is over.
func (m *Mirror) awaitElection(ctx context.Context) {
	m.mutex.Lock()
	after := m.ownKeysRevision
	wait := max(share(electionWaitShare, m.config.Times.Changes)-time.Since(m.noRelaySince), minWait)
	m.mutex.Unlock()
	if m.config.Relay() != "" {
		m.awaitUpdate(ctx, wait)
		return
	}
	changes, err := m.config.Source.OwnChanges(ctx, after, wait)
	if m.watchFailed(ctx, err, after) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.applyOwn(changes)
}
