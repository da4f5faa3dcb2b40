package mirror

import (
	"context"
	"errors"
	"time"
)

// electionShare of the time for changes is how long a node looks at nothing but the
// product's own keys while there is no relay. In that time one is found. A node that
// watches everything hears of servers instead, sleeps after that, and campaigns itself
// since it does not know that another was first: at the start of 18 nodes all of them
// did, with two calls to the store each.
const electionShare = 0.25

// shortestElectionWait of a call, since the store counts waits in milliseconds.
const shortestElectionWait = 10 * time.Millisecond

// electionRuns must be called with the lock held. It notes since when there is no relay.
func (m *Mirror) electionRuns(now time.Time) bool {
	if m.config.Transport == nil || m.config.Relay() != "" || m.config.IsRelay() {
		m.vacantAt = time.Time{}
		return false
	}
	if m.vacantAt.IsZero() {
		m.vacantAt = now
	}
	return now.Sub(m.vacantAt) < share(electionShare, m.config.Times.Changes)
}

// awaitElection returns when an own key changed, or the time for that is over.
func (m *Mirror) awaitElection(ctx context.Context) {
	m.mutex.Lock()
	after := m.ownAt
	wait := max(share(electionShare, m.config.Times.Changes)-time.Since(m.vacantAt), shortestElectionWait)
	m.mutex.Unlock()
	changes, err := m.config.Source.OwnChanges(ctx, after, wait)
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrHistoryGone) {
		m.mutex.Lock()
		m.revision = 0
		m.mutex.Unlock()
		return
	}
	if m.failed(ctx, err) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.changeOwn(changes)
}
