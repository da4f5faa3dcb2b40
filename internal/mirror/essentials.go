package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

// In a large fleet a node without a relay watches the configuration and the own keys, and leaves
// the servers' records alone: if each node reads the records as soon as the relay is late, they
// occupy the store's link, and the relay, which has to read them as well, gets later still, up to the
// end of its lease. What a node needs of the records meanwhile it reads by itself (records_age.go).

// essentialsRefresh is how long a node without a relay goes on with the records that it has before
// it reads a newer snapshot, plus at random as long again.
const essentialsRefresh = 10 * time.Second

// configurationWatchShare of Times.Changes is how long a node without a relay watches the own keys
// only, as most relays are replaced within that time. The relay was lost at maxRelayAgeShare; the
// rest of Times.Changes is left for the call.
const configurationWatchShare = 0.25

// leavesRecordsToRelay reports whether this node, which follows no relay, watches the configuration
// and the own keys only. A node that knows no server at all, as when a whole deployment starts,
// can't know whether the fleet is large, and waits for the relay for Times.Contact. It must be
// called with the lock held.
func (m *Mirror) leavesRecordsToRelay(now time.Time) bool {
	if m.config.Transport == nil || m.config.IsRelay() {
		return false
	}
	sizeUnknown := len(m.state.servers) == 0 && m.manifest.Records == 0
	return m.largeFleet || sizeUnknown && now.Sub(m.directSince) < m.config.Times.Contact
}

// refreshDue reports whether a node without a relay should replace its records by those of a newer
// snapshot. It must be called with the lock held.
func (m *Mirror) refreshDue(now time.Time) bool {
	return m.largeFleet && !m.partial && now.After(m.refreshAt) && m.manifest.Revision > m.revision
}

// refreshRecords makes this node read the records snapshot.
func (m *Mirror) refreshRecords() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	m.refreshAt = now.Add(essentialsRefresh + rand.N(essentialsRefresh))
	m.beginGap(max(m.revision, m.ownKeysRevision), m.state.ownAfter(0), now)
}

// watchEssentials watches the configuration and the own keys until the node should do something
// else.
func (m *Mirror) watchEssentials(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watches sync.WaitGroup
	for _, watch := range []func(context.Context){m.watchOwnKeys, m.watchConfiguration} {
		watches.Go(func() {
			// A node that has to do something else does not wait for the other watch.
			defer cancel()
			for ctx.Err() == nil && m.next(time.Now()) == watchEssentials {
				watch(ctx)
			}
		})
	}
	watches.Wait()
}

// essentialsWait returns how long one call of watchEssentials waits for changes. It must be called
// with the lock held.
func (m *Mirror) essentialsWait() time.Duration {
	if m.storeUnavailable {
		// As in pollTiming, the answer shows whether the store was restored.
		return minWait
	}
	return share(directWaitShare, m.config.Times.Contact)
}

// watchOwnKeys waits for changes of own keys once.
func (m *Mirror) watchOwnKeys(ctx context.Context) {
	m.mutex.Lock()
	after, wait := m.ownKeysRevision, m.essentialsWait()
	m.mutex.Unlock()
	changes, err := m.config.Source.OwnChanges(ctx, after, wait)
	if m.watchFailed(ctx, err, after) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state.applyOwn(changes.Own)
	m.applyOwn(changes)
}

// watchConfiguration waits for a configuration once.
func (m *Mirror) watchConfiguration(ctx context.Context) {
	m.mutex.Lock()
	begins := m.directSince.Add(share(configurationWatchShare, m.config.Times.Changes))
	after, wait := max(m.configurationWatched, m.revision), m.essentialsWait()
	m.mutex.Unlock()
	if delay := time.Until(begins); delay > 0 {
		clock.Sleep(ctx, delay)
		return
	}
	sent := time.Now()
	changes, err := m.config.Source.ConfigurationChanges(ctx, after, wait)
	if m.watchFailed(ctx, err, after) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.configurationWatched = max(m.configurationWatched, changes.At)
	m.state.configuration = max(m.state.configuration, changes.ConfigurationRevision)
	m.adoptRead(changes)
	// As in readChanges, an answer that was read late says nothing about the time in between.
	if answered := earlier(time.Now(), sent.Add(wait+minFailurePause)); answered.After(m.configurationConfirmedAt) {
		m.configurationConfirmedAt = answered
	}
}
