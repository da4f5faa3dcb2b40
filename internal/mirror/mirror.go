// Package mirror keeps a node's copy of what the store holds: the operators'
// configuration, the servers' records and the product's own keys.
//
// One node, the relay, reads the store often and tells the others what changed.
// A node that hears the relay, and hears that the relay's own knowledge is fresh,
// asks the store for nothing. As soon as that knowledge is too old, whatever the reason, the node
// reads the store itself, from the revision up to which it knows everything. So
// a relay that is dead, cut off or slow costs others a fraction of a second, and
// the store's load does not grow with the number of nodes.
//
// The configuration and the product's own keys never wait for servers' records. In a
// large fleet only the relay reads the records themselves; it leaves a compact copy
// of them in the store, from which the others begin (see copy.go).
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
)

// ErrCompacted: the store does not keep the changes since the revision.
var ErrCompacted = errors.New("the store forgot its history")

// Changes are what changed in the store after the revision Base, up to At.
type Changes struct {
	Base, At int64
	// Newest is the revision up to which some of it may have been read: reading
	// everything takes several calls. Zero: all was read at the revision At.
	Newest int64
	// Configuration is nil if it did not change, or was not understood.
	Configuration *fleet.Configuration
	// ConfigurationRevision is zero if the configuration did not change.
	ConfigurationRevision int64
	// ConfigurationValue is the configuration as it was written.
	ConfigurationValue []byte
	// Servers by ID; nil for one that is gone.
	Servers map[string]*fleet.Server
	// Own keys, in order of revision.
	Own []outside.WatchEvent
	// More servers exist than were read.
	More bool
}

// Source reads the store. Its calls end with their context.
type Source interface {
	// Read returns everything as changes since revision zero; if not whole, with no
	// more servers than one call brings.
	Read(ctx context.Context, whole bool) (Changes, error)
	// Own returns the product's own keys alone, as changes since revision zero.
	Own(ctx context.Context) (Changes, error)
	// ReadSnapshot returns the parts of the copy of the servers' records whose names begin
	// so, in order of name. Stale ones may be some seconds old, and cost less.
	ReadSnapshot(ctx context.Context, prefix string, stale bool) ([]SnapshotPart, error)
	// WriteSnapshot writes the parts and the entry that tells of them, and removes other
	// parts by name, all at once, if the entry still has the revision; zero: there is
	// none.
	WriteSnapshot(ctx context.Context, parts []SnapshotPart, removed []string, entry outside.KeyValue, revision int64) error
	// Changes returns what changed after the revision; if that is nothing, it
	// waits for changes, and may return none. ErrHistoryGone: read everything.
	Changes(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// OwnChanges is Changes of the product's own keys alone.
	OwnChanges(ctx context.Context, after int64, wait time.Duration) (Changes, error)
	// Configuration returns the configuration alone, as changes since revision zero.
	Configuration(ctx context.Context) (Changes, error)
	// Decode returns a configuration of the revision from its value; nil if it is not
	// understood.
	Decode(value []byte, revision int64) *fleet.Configuration
}

// OwnKeyReceiver receives the product's own keys in the store.
type OwnKeyReceiver interface {
	// Replace gives all keys that exist.
	Replace(keyValues []outside.KeyValue)
	// Change gives one key that was written or removed.
	Change(event outside.WatchEvent)
	// Restored gives all keys that exist after the store came back from a backup: a key
	// that is missing was lost, not removed, and whoever knows its content writes it again.
	Restored(keyValues []outside.KeyValue)
}

// OwnKeyReceivers hands the product's keys to each part that has some.
type OwnKeyReceivers []OwnKeyReceiver

// Replace gives all keys that exist.
func (a OwnKeyReceivers) Replace(keyValues []outside.KeyValue) {
	for _, part := range a {
		part.Replace(keyValues)
	}
}

// Restored gives all keys that exist after the store came back from a backup.
func (a OwnKeyReceivers) Restored(keyValues []outside.KeyValue) {
	for _, part := range a {
		part.Restored(keyValues)
	}
}

// Change gives one key that was written or removed.
func (a OwnKeyReceivers) Change(event outside.WatchEvent) {
	for _, part := range a {
		part.Change(event)
	}
}

// Times bound how late a node knows what the store holds.
type Times struct {
	// Contact is the time without trouble after which it must know.
	Contact time.Duration
	// Changes is the time within which it must act on a change.
	Changes time.Duration
}

// Config configures a Mirror.
type Config struct {
	Source Source
	View   *fleet.View
	Own    OwnKeyReceiver
	Times  Times
	// Relay returns the address of the node that reads for the others; empty if
	// there is none, or if it is this node.
	Relay func() string
	// IsRelay reports whether this node is the one that reads for the others; nil:
	// never.
	IsRelay func() bool
	// SnapshotKey is the product's own key that tells of the copy of the servers' records.
	SnapshotKey string
	// LinkBytesPerSecond of this machine; zero: not known.
	LinkBytesPerSecond float64
	// Transport to other nodes; nil: this node reads for itself alone.
	Transport peer.Transport
	// Address and Zone of this node.
	Address, Zone string
	Logger        zerolog.Logger
}

// trustShare of the time for changes is how old what the relay told may be. It is
// above twice the relay's share, and leaves the rest for messages that are lost
// and sent again.
const trustShare = 0.35

// Mirror keeps a view equal to what the store holds.
type Mirror struct {
	config Config
	// woken: something that Run waits for has changed.
	woken chan struct{}
	// missed: the relay told of changes whose predecessors were missed.
	missed chan struct{}

	mutex sync.Mutex
	// revision up to which everything is known; zero: nothing was read.
	revision int64
	// confirmedAt is when the store's own word was last heard, and relayedAt when
	// that of the relay was fresh.
	confirmedAt, relayedAt time.Time
	// configuration is the revision of the newest one that was read; known tells
	// that of the newest one that exists.
	configuration int64
	known         *known
	// content is the newest configuration that was read, to be passed on; see content.go.
	content content
	// contentBy is until when this node waits for the configuration of which it knows.
	contentBy time.Time
	// drifted: another node knows other records for the same revision, so everything
	// is read again; driftAt is when that was done last.
	drifted bool
	driftAt time.Time
	// subscribers by address; they were told of all changes
	// up to the revision pushed.
	subscribers map[string]subscriber
	pushed      int64
	// through tells whether this node reads through the relay, for the log.
	through bool
	// lost: the store did not answer the last call; failedPause was left last after
	// one that failed, zero if none did. What it holds was
	// heard again at regainedAt, from it or from the relay.
	lost        bool
	failedPause time.Duration
	regainedAt  time.Time
	// large: the servers' records don't fit into one call.
	large bool
	// partial: only those records are known that changed since partialAt; the view
	// shows what was known before.
	partial   bool
	partialAt time.Time
	// complete: all records were known once; patience is how long a copy of those that
	// are not known any more is waited for.
	complete bool
	patience time.Duration
	// reading: the relay reads all records meanwhile.
	reading bool
	// ownAt is the revision up to which changes of own keys were handed on.
	ownAt int64
	// copyEntry tells of the newest copy of the records in the store, copyRevision is
	// that entry's own, and copied the revision of the copy that was taken last.
	copyEntry    copyEntry
	copyRevision int64
	copied       int64
	copyAt       time.Time
	copying      bool
	// tree is this node's place among the nodes that pass on what the relay tells.
	tree place
	// vacantAt is since when there is no relay that this node ever followed; zero if there
	// is. Followed is the relay that it followed last.
	vacantAt time.Time
	followed string
	// era of the last read of everything; entered: there was one. Latest is the newest
	// revision of before a read that begins again.
	era, latest int64
	entered     bool
	// restored: the servers' records are read for the first time since a restore. Ended
	// are the servers that had ended before it, returned those of them that it brought back,
	// which are not used until returnedUntil.
	restored      bool
	ended         map[string]int64
	returned      map[string]*fleet.Server
	returnedUntil time.Time
	// rereadAt is when another node's later era made this one read again last.
	rereadAt time.Time
	// lapsed servers are still used, each up to a time, although their records ended
	// while the store was away.
	lapsed map[string]time.Time
}

// New returns a mirror, and registers its messages with the transport.
func New(config Config) *Mirror {
	m := &Mirror{
		config: config, woken: make(chan struct{}, 1), missed: make(chan struct{}, 1),
		known: newKnown(0), subscribers: map[string]subscriber{}, lapsed: map[string]time.Time{},
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

// Run keeps the copy until ctx ends.
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
	readChanges
)

func (m *Mirror) next(now time.Time) step {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	switch {
	case m.revision == 0, m.drifted:
		return readAll
	case m.configuration < m.known.configuration && (!now.Before(m.contentBy) || !m.followsRelay(now)):
		return readConfiguration
	case m.partial && !m.reading && m.recordsDue(now):
		return readRecords
	case m.followsRelay(now):
		return awaitRelay
	case m.electionRuns(now):
		return awaitElection
	}
	return readChanges
}

// FollowsRelay reports whether this node reads through the relay.
func (m *Mirror) FollowsRelay() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.through
}

// Behind reports whether the operators may have written a configuration that this node
// has not read: one is known, or neither the store nor the relay was heard for as long
// as a change may take.
func (m *Mirror) Behind() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.configuration < m.known.configuration || time.Since(m.heardAt()) > m.config.Times.Changes
}

// heardAt is up to when the store's own word is known, read or told. It must be called
// with the lock held.
func (m *Mirror) heardAt() time.Time {
	if m.relayedAt.After(m.confirmedAt) {
		return m.relayedAt
	}
	return m.confirmedAt
}

// trust is how old the relay's word may be.
func (m *Mirror) trust() time.Duration { return share(trustShare, m.config.Times.Changes) }

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }

// followsRelay must be called with the lock held. It notes and logs a change.
func (m *Mirror) followsRelay(now time.Time) bool {
	follows := !m.relayedAt.IsZero() && now.Sub(m.relayedAt) < m.trust() && !m.config.IsRelay()
	if follows {
		m.followed, m.vacantAt = m.config.Relay(), time.Time{}
	}
	if follows == m.through {
		return follows
	}
	m.through = follows
	event := m.config.Logger.Info().Str("dependency", "relay").Int64("revision", m.revision)
	if follows {
		if m.lost {
			m.regainedAt = now
		}
		event.Msg("dependency regained")
	} else {
		event.Dur("age_ms", now.Sub(m.relayedAt)).Msg("dependency lost")
	}
	return follows
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
