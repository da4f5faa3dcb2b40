// Package mirror keeps each node's replica of the store: the operators' configuration, the servers'
// records and the product's own keys, which the nodes write themselves.
//
// One node, the relay, polls the store frequently and pushes changes to the others. A node that
// receives the relay's updates, and sees from them that the relay's state is fresh, sends no calls
// to the store. As soon as that state is too old, whatever the reason, the node reads the store
// itself, from the revision up to which its own state is complete. So a relay that crashed, is
// partitioned or is slow delays the others by a fraction of a second, and the load on the store
// does not grow with the number of nodes.
//
// The configuration and the own keys never wait for servers' records. In a large fleet only the
// relay reads the records themselves; it writes a compact snapshot of them to the store, from which
// the others start (see snapshot.go).
package mirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// ErrCompacted reports that the store no longer keeps the changes since the requested revision.
var ErrCompacted = errors.New("the store no longer keeps the changes since the revision")

// ErrRejected reports that the record of a server exists and can't be used.
var ErrRejected = errors.New("the record of the server can't be used")

// Changes are the changes of the store after the revision Base, up to At.
type Changes struct {
	Base, At int64
	// Newest is the revision up to which part of the state may have been read, since reading
	// everything takes several calls. Zero: all of it was read at the revision At.
	Newest int64
	// Configuration is nil if it did not change, or could not be decoded.
	Configuration *fleet.Configuration
	// ConfigurationRevision is zero if the configuration did not change.
	ConfigurationRevision int64
	// ConfigurationValue is the configuration's encoded value, as stored.
	ConfigurationValue []byte
	// Servers by ID; nil for one whose record was removed.
	Servers map[string]*fleet.Server
	// Rejected are the servers, by ID, whose records exist and can't be used, each with its last
	// record that could; if that is not known it has no pool, and Created is that of the record that
	// can't be used. A record of which only optional fields can't be decoded is among them too, with
	// the last values of these.
	Rejected map[string]*fleet.Server
	// Own holds the changes of own keys, in order of revision.
	Own []outside.WatchEvent
	// More reports that more servers exist than were read, or that later changes than those up to At
	// may exist already.
	More bool
}

// Source reads the store. Its calls return when their context ends.
type Source interface {
	// Read returns the whole state as changes since revision zero. Unless whole is set, it returns
	// no more servers than one call delivers.
	Read(ctx context.Context, whole bool) (Changes, error)
	// Own returns the own keys alone, as changes since revision zero.
	Own(ctx context.Context) (Changes, error)
	// ReadSnapshot returns the parts of the records snapshot whose names have the prefix, in order
	// of name. A stale read may return parts that are some seconds old, and costs less.
	ReadSnapshot(ctx context.Context, prefix string, stale bool) ([]SnapshotPart, error)
	// WriteSnapshot writes the parts and their manifest entry and deletes the removed parts by
	// name, in one transaction, provided that the entry still has the revision; zero: it does not
	// exist yet.
	WriteSnapshot(ctx context.Context, parts []SnapshotPart, removed []string, entry outside.KeyValue, revision int64) error
	// Changes returns the changes after the revision. If there are none yet it waits for some, and
	// may return none. It returns ErrCompacted if the whole state has to be read instead.
	Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// OwnChanges is like Changes, for the own keys alone.
	OwnChanges(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Configuration returns the configuration alone, as changes since revision zero.
	Configuration(ctx context.Context) (Changes, error)
	// ConfigurationChanges is like Changes, for the configuration alone.
	ConfigurationChanges(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Record returns the record of one server, nil in Servers if there is none, at the revision At.
	// If the record, or part of it, can't be used it returns it in Rejected, and ErrRejected.
	Record(ctx context.Context, id string) (Changes, error)
	// Decode decodes a configuration's value, of the given revision; nil if it can't be decoded.
	Decode(value []byte, revision int64) *fleet.Configuration
}

// OwnKeyReceiver receives the own keys in the store and their changes.
type OwnKeyReceiver interface {
	// Replace passes all keys that exist.
	Replace(keyValues []outside.KeyValue)
	// Change passes one key that was written or deleted.
	Change(event outside.WatchEvent)
	// Restored passes all keys that exist after the store was restored from a backup. A key that is
	// missing was lost in the restore, not deleted; a receiver that holds its content writes it
	// again.
	Restored(keyValues []outside.KeyValue)
}

// OwnKeyReceivers passes the own keys to each of several receivers.
type OwnKeyReceivers []OwnKeyReceiver

// Replace passes all keys that exist.
func (r OwnKeyReceivers) Replace(keyValues []outside.KeyValue) {
	for _, receiver := range r {
		receiver.Replace(keyValues)
	}
}

// Restored passes all keys that exist after the store was restored from a backup.
func (r OwnKeyReceivers) Restored(keyValues []outside.KeyValue) {
	for _, receiver := range r {
		receiver.Restored(keyValues)
	}
}

// Change passes one key that was written or deleted.
func (r OwnKeyReceivers) Change(event outside.WatchEvent) {
	for _, receiver := range r {
		receiver.Change(event)
	}
}

// Times bound the staleness of a node's replica.
type Times struct {
	// Contact is the time within which the node must know the store's state again once the store
	// and the network are healthy.
	Contact time.Duration
	// Changes is the time within which the node must act on a change in the store.
	Changes time.Duration
	// Heartbeat is the time between two writes of a server's record.
	Heartbeat time.Duration
}

// Config configures a Mirror.
type Config struct {
	Source Source
	// View is updated with the configuration and the servers.
	View *fleet.View
	// Own receives the own keys.
	Own   OwnKeyReceiver
	Times Times
	// Relay returns the address of the relay; empty if there is none, or if it is this node.
	Relay func() string
	// IsRelay reports whether this node is the relay; nil: it never is.
	IsRelay func() bool
	// SnapshotKey is the own key that holds the manifest of the records snapshot.
	SnapshotKey string
	// LinkBytesPerSecond of this machine; zero: unknown.
	LinkBytesPerSecond float64
	// Transport to other nodes; nil: this node always reads the store directly.
	Transport peer.Transport
	// Address and Zone of this node.
	Address, Zone string
	Logger        zerolog.Logger
}

// maxRelayAgeShare of Times.Changes is the maximum age of the relay's state for a node to rely on
// it. It is more than twice relayPollShare; the rest of Times.Changes is left for messages that are
// lost and sent again.
const maxRelayAgeShare = 0.35

// Mirror keeps a fleet.View equal to the state of the store.
type Mirror struct {
	config Config
	// wakeup is signalled when a condition that Run waits for may have changed.
	wakeup chan struct{}
	// resubscribe is signalled when the relay has to be asked for changes at once: an update was
	// missed, or another node is to be asked.
	resubscribe chan struct{}

	mutex sync.Mutex
	// revision up to which the state is complete; zero: the whole state has to be read.
	revision int64
	// confirmedAt is when the store itself last confirmed the state, relayConfirmedAt the time as
	// of which the relay last did, and relayConfirmation the confirmation that the relay passed on.
	confirmedAt, relayConfirmedAt time.Time
	relayConfirmation             Confirmation
	// confirmations that other nodes received.
	confirmations confirmations
	// configurationWatched is the revision up to which changes of the configuration alone were
	// watched, and configurationConfirmedAt when the store last confirmed that.
	configurationWatched     int64
	configurationConfirmedAt time.Time
	// directSince is since when this node has followed no relay, and refreshAt when it reads a
	// newer records snapshot if that goes on.
	directSince, refreshAt time.Time
	// configurationRevision is the revision of the newest configuration that was read; state has
	// that of the newest one that exists.
	configurationRevision int64
	state                 *state
	// content is the newest configuration that was read, to be pushed to subscribers; see
	// content.go.
	content content
	// contentDeadline is until when this node waits for the content of a configuration that the
	// relay announced.
	contentDeadline time.Time
	// drifted is set if another node has other records for the same revision, so that the whole
	// state is read again; driftReadAt is when that was done last.
	drifted     bool
	driftReadAt time.Time
	// subscribers by address; all changes up to pushedRevision were pushed to them.
	subscribers    map[string]subscriber
	pushedRevision int64
	// pushedAt is when changes that this node read were pushed last. Only Run uses it.
	pushedAt time.Time
	// following reports whether this node follows the relay, as last logged.
	following bool
	// storeUnavailable is set if the last call to the store failed; failurePause is the pause after
	// the last failed call, zero since one succeeded. recoveredAt is when state was received again
	// after that, from the store or from the relay.
	storeUnavailable bool
	failurePause     time.Duration
	recoveredAt      time.Time
	// largeFleet is set if there are more servers' records than one call delivers.
	largeFleet bool
	// partial is set while only the records that changed since partialAt are known; the view keeps
	// showing the servers known before.
	partial   bool
	partialAt time.Time
	// initialized is set once all records were known. snapshotWait is how long a node with partial
	// state waits for a records snapshot.
	initialized  bool
	snapshotWait time.Duration
	// readingRecords is set while a read of all records is in progress in the background.
	readingRecords bool
	// ownKeysRevision is the revision up to which changes of own keys were passed on.
	ownKeysRevision int64
	// manifest describes the newest records snapshot in the store, and manifestRevision is the
	// revision of the key that holds it. Only snapshots of a later revision than snapshotFloor are
	// read: that of the last one applied, or the start of a gap in the history that a snapshot has
	// to cover.
	manifest          snapshotManifest
	manifestRevision  int64
	snapshotFloor     int64
	snapshotStartedAt time.Time
	writingSnapshot   bool
	// tree is this node's position in the tree of nodes that pass on the relay's updates.
	tree treePosition
	// noRelaySince is since when there has been no relay that this node ever followed; zero if
	// there is one. lastRelay is the relay that it followed last.
	noRelaySince time.Time
	lastRelay    string
	// era is that of the last read of the whole state; eraKnown is set once there was one.
	// latestRevision is the highest revision reached before the current read of the whole state.
	era, latestRevision int64
	eraKnown            bool
	// afterRestore is set if the next read of the servers' records is the first one since a restore
	// of the store. removedBefore are the servers that had been removed before the restore;
	// reappeared are those of them that it brought back, which are not used until reappearedUntil.
	afterRestore    bool
	removedBefore   map[string]int64
	reappeared      map[string]*fleet.Server
	reappearedUntil time.Time
	// departures are the planned shutdowns of servers that this node learned of.
	departures departures
	// ages is as of when the servers' records are known.
	ages recordAges
	// rereadAt is when this node last read the whole state again because another node reported a
	// later era.
	rereadAt time.Time
	// inGrace holds the servers that are still used although their records expired while the store
	// was unavailable, each with the end of its grace period.
	inGrace map[string]time.Time
	// holds are the servers whose records can't be used, by ID.
	holds map[string]*hold
}

// New returns a Mirror and registers its message handlers with the transport.
func New(config Config) *Mirror {
	m := &Mirror{
		config: config, wakeup: make(chan struct{}, 1), resubscribe: make(chan struct{}, 1),
		state: newState(0), subscribers: map[string]subscriber{}, inGrace: map[string]time.Time{}, holds: map[string]*hold{},
		confirmations: newConfirmations(), ages: newRecordAges(), departures: departures{},
	}
	if config.Relay == nil {
		m.config.Relay = func() string { return "" }
	}
	if config.IsRelay == nil {
		m.config.IsRelay = func() bool { return false }
	}
	if config.Transport != nil {
		config.Transport.Handle(Subscribe{}, m.serveSubscribe)
		config.Transport.Handle(Update{}, m.serveUpdate)
	}
	return m
}

// Run keeps the replica up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	if m.config.Transport != nil {
		go m.subscribe(ctx)
	}
	for ctx.Err() == nil {
		switch m.next(time.Now()) {
		case readAll:
			m.readAll(ctx)
		case readConfiguration:
			m.readConfiguration(ctx)
		case readRecords:
			m.readRecords(ctx)
		case awaitRelay:
			m.awaitRelay(ctx)
		case awaitElection:
			m.awaitElection(ctx)
		case watchEssentials:
			m.watchEssentials(ctx)
		case refreshRecords:
			m.refreshRecords()
		case readChanges:
			m.readChanges(ctx)
		}
	}
}

// step is what Run does next.
type step uint8

const (
	readAll step = iota
	readConfiguration
	readRecords
	awaitRelay
	awaitElection
	watchEssentials
	refreshRecords
	readChanges
)

// next returns what Run does next, by the state at the time.
func (m *Mirror) next(now time.Time) step {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.revision == 0, m.drifted:
		return readAll
	case m.configurationRevision < m.state.configuration && (!now.Before(m.contentDeadline) || !m.updateFollowing(now)):
		return readConfiguration
	case m.partial && !m.readingRecords && m.recordsDue(now):
		return readRecords
	case m.updateFollowing(now):
		return awaitRelay
	case m.electionPending(now):
		return awaitElection
	case m.leavesRecordsToRelay(now) && m.refreshDue(now):
		return refreshRecords
	case m.leavesRecordsToRelay(now):
		return watchEssentials
	}
	return readChanges
}

// FollowsRelay reports whether this node relies on the relay's updates instead of reading the store
// itself.
func (m *Mirror) FollowsRelay() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.following
}

// Behind reports whether the operators may have written a configuration that this node has not
// read: one was announced, or neither the store nor the relay confirmed the state for
// Times.Changes.
func (m *Mirror) Behind() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	asOf := m.confirmedAsOf()
	if m.configurationConfirmedAt.After(asOf) {
		asOf = m.configurationConfirmedAt
	}
	return m.configurationRevision < m.state.configuration || time.Since(asOf) > m.config.Times.Changes
}

// confirmedAsOf is the time as of which the store or the relay last confirmed the state. It must be
// called with the lock held.
func (m *Mirror) confirmedAsOf() time.Time {
	if m.relayConfirmedAt.After(m.confirmedAt) {
		return m.relayConfirmedAt
	}
	return m.confirmedAt
}

// maxRelayAge is the maximum age of the relay's state for this node to rely on it.
func (m *Mirror) maxRelayAge() time.Duration { return share(maxRelayAgeShare, m.config.Times.Changes) }

// share returns a part of a duration.
func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// updateFollowing reports whether this node follows the relay now, and records and logs a change.
// It must be called with the lock held.
func (m *Mirror) updateFollowing(now time.Time) bool {
	follows := !m.relayConfirmedAt.IsZero() && now.Sub(m.relayConfirmedAt) < m.maxRelayAge() && !m.config.IsRelay()
	if follows {
		m.lastRelay, m.noRelaySince = m.config.Relay(), time.Time{}
	}
	if follows || m.directSince.IsZero() {
		m.directSince, m.refreshAt = now, now.Add(essentialsRefresh+rand.N(essentialsRefresh))
	}
	if follows == m.following {
		return follows
	}
	m.following = follows
	event := m.config.Logger.Info().Str("dependency", "relay").Int64("revision", m.revision)
	if follows {
		if m.storeUnavailable {
			m.recoveredAt = now
		}
		event.Msg("dependency regained")
	} else {
		event.Dur("age_ms", now.Sub(m.relayConfirmedAt)).Msg("dependency lost")
	}
	return follows
}

// signal signals a channel with a buffer of one, and never blocks.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
