package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
)

const (
	// aloneWaitShare of the contact time is how long a node that reads for itself
	// waits for changes in one call: a call that a silent store swallowed is given
	// up within the contact time.
	aloneWaitShare = 0.5
	// alonePauseShare of the time for changes is left between its calls; the rest is
	// for the call, and for a node that is slow.
	alonePauseShare = 0.45
	// relayShare of the time for changes is how long the relay waits for changes in
	// one call, and what it leaves between calls that brought some.
	relayShare = 0.125
	// failedPause is left after a call that failed. For a node that no other reads
	// through it doubles up to longestFailedShare of the time for changes: a call
	// that the store refuses costs as much as any, 20 a second and node in an outage
	// (1,700 of the 3,016 calls of a day with 95 nodes).
	failedPause        = 150 * time.Millisecond
	longestFailedShare = 0.2
)

// pauseAfterFailure returns the pause after a call that failed, with the last
// quarter of it by chance, so that nodes don't call at the same moment.
func (m *Mirror) pauseAfterFailure(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if len(m.liveSubscribers(now)) > 0 {
		return failedPause
	}
	longest := max(share(longestFailedShare, m.config.Times.Changes), failedPause)
	m.failedPause = min(max(2*m.failedPause, failedPause), longest)
	return m.failedPause*3/4 + rand.N(m.failedPause/4)
}

// readAll takes over everything that exists. In a large fleet that is done in two
// steps: what is small first, and the servers' records after it.
func (m *Mirror) readAll(ctx context.Context) {
	own, err := m.config.Source.Own(ctx)
	if m.failed(ctx, err) {
		return
	}
	if m.isLarge(own) {
		configured, err := m.config.Source.Configuration(ctx)
		if m.failed(ctx, err) {
			return
		}
		own.Configuration, own.ConfigurationRevision = configured.Configuration, configured.ConfigurationRevision
		own.ConfigurationValue = configured.ConfigurationValue
		m.begin(own)
		m.push(time.Now())
		return
	}
	changes, err := m.config.Source.Read(ctx, false)
	if m.failed(ctx, err) {
		return
	}
	if changes.More {
		m.begin(changes)
		m.push(time.Now())
		return
	}
	m.takeAll(changes)
}

// failed notes whether a call that reads failed, and leaves a pause if it did.
func (m *Mirror) failed(ctx context.Context, err error) bool {
	m.noteAnswer(err)
	if err != nil {
		clock.Sleep(ctx, m.pauseAfterFailure(time.Now()))
	}
	return err != nil
}

// takeAll takes over everything that was read.
func (m *Mirror) takeAll(changes Changes) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.partial {
		m.takeRecords(changes)
		return
	}
	if changes.At < m.revision {
		// The relay told more while this was read; it is read once more.
		return
	}
	m.replace(changes)
	m.large = m.large || len(changes.Servers) > onePage
	m.readDone(len(changes.Servers), changes.At)
}

// readDone must be called with the lock held.
func (m *Mirror) readDone(servers int, revision int64) {
	m.confirmedAt = time.Now()
	if m.drifted {
		m.drifted, m.driftAt = false, m.confirmedAt
	}
	m.config.Logger.Info().Int("servers", servers).Int64("revision", revision).Msg("servers read")
}

// readConfiguration reads the configuration of which the relay told.
func (m *Mirror) readConfiguration(ctx context.Context) {
	read, err := m.config.Source.Configuration(ctx)
	if m.failed(ctx, err) {
		return
	}
	m.mutex.Lock()
	m.takeRead(read)
	behind := m.configuration < m.known.configuration
	m.mutex.Unlock()
	if behind {
		clock.Sleep(ctx, failedPause)
	}
}

// awaitRelay returns when the relay told something, or its word is too old.
func (m *Mirror) awaitRelay(ctx context.Context) {
	m.mutex.Lock()
	until := m.relayedAt.Add(m.trust())
	if m.configuration < m.known.configuration {
		until = earlier(until, m.contentBy)
	}
	left := time.Until(until)
	m.mutex.Unlock()
	m.awaitWord(ctx, left)
}

// awaitWord returns when the relay told something, or after the time.
func (m *Mirror) awaitWord(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.woken:
	}
}

// readChanges asks the store for changes once, and tells the subscribers.
func (m *Mirror) readChanges(ctx context.Context) {
	wait, pause := m.cadence(time.Now())
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
	// An answer that was read late, since the process stood still, says nothing of
	// the time in between.
	m.confirmedAt = earlier(time.Now(), sent.Add(wait+failedPause))
	m.mutex.Unlock()
	m.push(time.Now())
	m.writeCopy(ctx, time.Now())
	if changes.At > after {
		clock.Sleep(ctx, pause)
	}
}

// watchFailed reports whether a watch from the revision brought nothing. Where the history
// since it is gone, everything is read again.
func (m *Mirror) watchFailed(ctx context.Context, err error, after int64) bool {
	if ctx.Err() != nil {
		return true
	}
	if !errors.Is(err, ErrCompacted) {
		return m.failed(ctx, err)
	}
	m.config.Logger.Warn().Err(err).Int64("revision", after).Msg("watch lost, reading again")
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.forgetRevision()
	return true
}

func earlier(first, second time.Time) time.Time {
	if first.Before(second) {
		return first
	}
	return second
}

// cadence is how long a call waits for changes, and the pause after some came.
func (m *Mirror) cadence(now time.Time) (wait, pause time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.lost {
		// The answer tells whether the store was restored meanwhile.
		return shortestWait, 0
	}
	if m.config.IsRelay() || len(m.liveSubscribers(now)) > 0 {
		both := share(relayShare, m.config.Times.Changes)
		return both, both
	}
	return share(aloneWaitShare, m.config.Times.Contact), share(alonePauseShare, m.config.Times.Changes)
}

// noteAnswer notes whether the store answered, and logs when it is lost and regained.
func (m *Mirror) noteAnswer(err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lost := err != nil
	if !lost {
		m.failedPause = 0
	}
	if lost == m.lost {
		return
	}
	m.lost = lost
	if lost {
		m.config.Logger.Warn().Str("dependency", "store").Err(err).Msg("dependency lost")
		return
	}
	m.regainedAt = time.Now()
	m.config.Logger.Info().Str("dependency", "store").Int64("revision", m.revision).Msg("dependency regained")
}
