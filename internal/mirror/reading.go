package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

const (
	// directWaitShare of Times.Contact is how long a node that reads the store itself waits for
	// changes in one call, so that a call which an unresponsive store never answers is given up
	// within Times.Contact.
	directWaitShare = 0.5
	// directPauseShare of Times.Changes is the pause between such calls; the rest is left for the
	// call itself, and for a slow node.
	directPauseShare = 0.45
	// relayPollShare of Times.Changes is how long the relay waits for changes in one call, and the
	// pause between calls that returned some.
	relayPollShare = 0.125
	// minFailurePause is the pause after a failed call. It doubles up to maxFailurePauseShare of
	// Times.Changes on a node without subscribers: a call that the store refuses costs as much as
	// any other, and in an outage each node made 20 per second (1,700 of the 3,016 calls of a day
	// with 95 nodes).
	minFailurePause      = 150 * time.Millisecond
	maxFailurePauseShare = 0.2
)

// pauseAfterFailure returns the pause after a failed call. Its last quarter is random, so that
// nodes don't call at the same moment.
func (m *Mirror) pauseAfterFailure(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.liveSubscribers(now)) > 0 {
		return minFailurePause
	}
	maxPause := max(share(maxFailurePauseShare, m.config.Times.Changes), minFailurePause)
	m.failurePause = min(max(2*m.failurePause, minFailurePause), maxPause)
	return m.failurePause*3/4 + rand.N(m.failurePause/4)
}

// readAll reads the whole state. In a large fleet that takes two steps: the configuration and the
// own keys first, then the servers' records.
func (m *Mirror) readAll(ctx context.Context) {
	asked := time.Now()
	own, err := m.config.Source.Own(ctx)
	if m.callFailed(ctx, err) {
		return
	}
	if m.isLarge(own) {
		m.readPartial(ctx, own, asked)
		return
	}
	asked = time.Now()
	changes, err := m.config.Source.Read(ctx, false)
	if m.callFailed(ctx, err) {
		return
	}
	if changes.More {
		m.readPartial(ctx, changes, asked)
		return
	}
	m.applyRead(changes)
	m.confirmRead(changes.At, asked)
}

// readPartial applies a read, asked for at a time, that lacks servers' records, and reads the
// configuration unless the read contains it: keys of other writers may sort before it.
func (m *Mirror) readPartial(ctx context.Context, read Changes, asked time.Time) {
	if read.ConfigurationRevision == 0 {
		configured, err := m.config.Source.Configuration(ctx)
		if m.callFailed(ctx, err) {
			return
		}
		read.Configuration, read.ConfigurationRevision = configured.Configuration, configured.ConfigurationRevision
		read.ConfigurationValue = configured.ConfigurationValue
	}
	m.beginPartial(read)
	m.confirmRead(read.At, asked)
	m.push(time.Now())
}

// confirmRead records an answer of the store that shows the state up to the revision, as of a time.
// A read confirms the state as of when it began, since it may take seconds. An answer confirms
// nothing if the state was reset to before the revision in the meantime.
func (m *Mirror) confirmRead(revision int64, asOf time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.revision < revision {
		return
	}
	m.confirmRecords(asOf, time.Now())
	if asOf.After(m.confirmedAt) {
		m.confirmedAt = asOf
	}
}

// callFailed records the result of a call that reads, and pauses if it failed.
func (m *Mirror) callFailed(ctx context.Context, err error) bool {
	m.noteStoreResult(err)
	if err != nil {
		clock.Sleep(ctx, m.pauseAfterFailure(time.Now()))
	}
	return err != nil
}

// applyRead applies a read of the whole state.
func (m *Mirror) applyRead(changes Changes) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.partial {
		m.mergeRead(changes)
		return
	}
	if changes.At < m.revision {
		// The relay pushed later changes during this read, so the state is read again.
		return
	}
	m.replace(changes)
	m.largeFleet = m.largeFleet || len(changes.Servers) > maxDirectServers
	m.noteFullRead(len(changes.Servers), changes.At)
}

// noteFullRead records that all servers are known. It must be called with the lock held.
func (m *Mirror) noteFullRead(servers int, revision int64) {
	if m.drifted {
		m.drifted, m.driftReadAt = false, time.Now()
	}
	m.config.Logger.Info().Int("servers", servers).Int64("revision", revision).Msg("servers read")
}

// readConfiguration reads a configuration that the relay announced.
func (m *Mirror) readConfiguration(ctx context.Context) {
	read, err := m.config.Source.Configuration(ctx)
	if m.callFailed(ctx, err) {
		return
	}
	m.mutex.Lock()
	m.adoptRead(read)
	behind := m.configurationRevision < m.state.configuration
	m.mutex.Unlock()
	if behind {
		clock.Sleep(ctx, minFailurePause)
	}
}

// awaitRelay returns when the relay sent an update, or its state is too old to rely on.
func (m *Mirror) awaitRelay(ctx context.Context) {
	m.mutex.Lock()
	until := m.relayConfirmedAt.Add(m.maxRelayAge())
	if m.configurationRevision < m.state.configuration {
		until = earlier(until, m.contentDeadline)
	}
	remaining := time.Until(until)
	m.mutex.Unlock()
	m.awaitUpdate(ctx, remaining)
}

// awaitUpdate returns when the relay sent an update, or after the maximum wait.
func (m *Mirror) awaitUpdate(ctx context.Context, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.wakeup:
	}
}

// readChanges polls the store for changes once and pushes them to the subscribers. An answer that
// leaves changes out confirms nothing; the next call follows at once, and subscribers get the
// changes of several calls together.
func (m *Mirror) readChanges(ctx context.Context) {
	wait, pause := m.pollTiming(time.Now())
	m.mutex.Lock()
	after := m.revision
	m.mutex.Unlock()
	sent := time.Now()
	changes, err := m.config.Source.Changes(ctx, after, wait)
	if m.watchFailed(ctx, err, after) {
		return
	}
	m.mutex.Lock()
	m.apply(changes)
	// An answer that was read late because the process was paused says nothing about the time in
	// between.
	answered := earlier(time.Now(), sent.Add(wait+minFailurePause))
	m.mutex.Unlock()
	if changes.More && time.Since(m.pushedAt) < pause {
		return
	}
	if !changes.More {
		m.confirmRead(changes.At, answered)
	}
	m.pushedAt = time.Now()
	m.push(m.pushedAt)
	m.writeSnapshotIfDue(ctx, time.Now())
	if changes.At > after && !changes.More {
		clock.Sleep(ctx, pause)
	}
}

// watchFailed reports whether a watch from the revision returned no answer. If the store no longer
// keeps the history since then, the whole state is read again.
func (m *Mirror) watchFailed(ctx context.Context, err error, after int64) bool {
	if ctx.Err() != nil {
		return true
	}
	if !errors.Is(err, ErrCompacted) {
		return m.callFailed(ctx, err)
	}
	m.config.Logger.Warn().Err(err).Int64("revision", after).Msg("watch lost, reading again")
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.resetRevision()
	return true
}

// earlier returns the earlier of two times.
func earlier(first, second time.Time) time.Time {
	if first.Before(second) {
		return first
	}
	return second
}

// pollTiming returns how long a call waits for changes, and the pause after one that returned some.
func (m *Mirror) pollTiming(now time.Time) (wait, pause time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.storeUnavailable {
		// The answer shows whether the store was restored during the outage.
		return minWait, 0
	}
	if m.config.IsRelay() || len(m.liveSubscribers(now)) > 0 {
		period := share(relayPollShare, m.config.Times.Changes)
		return period, period
	}
	return share(directWaitShare, m.config.Times.Contact), share(directPauseShare, m.config.Times.Changes)
}

// noteStoreResult records whether the last call to the store succeeded, and logs when the store
// becomes unavailable and when it answers again.
func (m *Mirror) noteStoreResult(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	failed := err != nil
	if !failed {
		m.failurePause = 0
	}
	if failed == m.storeUnavailable {
		return
	}
	m.storeUnavailable = failed
	if failed {
		m.config.Logger.Warn().Str("dependency", "store").Err(err).Msg("dependency lost")
		return
	}
	m.recoveredAt = time.Now()
	m.config.Logger.Info().Str("dependency", "store").Int64("revision", m.revision).Msg("dependency regained")
}
