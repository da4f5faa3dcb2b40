// Package tablestore keeps the operators' table in the key-value service,
// accepts edits by compare-and-swap on its revision, and brings each accepted
// revision to all nodes.
package tablestore

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Validator checks the rows of a proposed table.
type Validator func(rows []table.Row) []table.Problem

// Dependencies of a Store. Random is used by the store alone.
type Dependencies struct {
	Members   membership.View
	KeyValues outside.KeyValueService
	Transport peer.Transport
	Clock     clock.Clock
	Random    *rand.Rand
	Validate  Validator
	Log       zerolog.Logger
}

// Store is a node's access to the table; it implements table.View. What it
// holds is kept over an outage of the key-value service and never goes back in
// revision.
type Store struct {
	Dependencies
	options     Options
	replica     *replica
	catchUp     *catchUp
	watcher     *keywatch.Watcher
	subscribers []func(*table.Snapshot)

	mutex    sync.Mutex
	watching bool
	stopped  bool
	tokens   uint64
	// repairing: a pull for missing entries is under way.
	repairing bool
	pullTimer clock.Timer
	// zonePeers and remotePeers are the other members in order of name.
	zonePeers, remotePeers []membership.Member
}

var _ table.View = (*Store)(nil)

// New returns a store with an empty table, not started. It registers its
// message handlers with the transport.
func New(dependencies Dependencies, options Options) *Store {
	store := &Store{Dependencies: dependencies, options: options, replica: newReplica(options.RecentEntries)}
	store.replica.acceptOlder = options.AcceptOlder
	store.catchUp = &catchUp{store: store}
	watchRandom := rand.New(rand.NewPCG(store.Random.Uint64(), store.Random.Uint64()))
	store.watcher = keywatch.New(store.KeyValues, store.Clock, watchRandom, options.Watch, headWatch{store})
	store.Transport.Handle(PushMessage{}, store.handlePush)
	store.Transport.Handle(PullRequest{}, store.handlePull)
	store.Transport.Handle(RevisionRequest{}, store.handleRevision)
	return store
}

// Subscribe adds a function that is called with each newer table, in no
// guaranteed order. It must be called before Start.
func (s *Store) Subscribe(subscriber func(*table.Snapshot)) {
	s.subscribers = append(s.subscribers, subscriber)
}

// Start begins to pull from peers; SetMembers decides whether this node
// watches the key-value service.
func (s *Store) Start() {
	s.SetMembers(s.Members.Members())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.schedulePullLocked()
}

// Stop ends all work in the background.
func (s *Store) Stop() {
	s.mutex.Lock()
	s.stopped = true
	if s.pullTimer != nil {
		s.pullTimer.Stop()
	}
	s.mutex.Unlock()
	s.watcher.Stop()
}

// Row implements table.View.
func (s *Store) Row(name string) (table.Row, bool) { return s.replica.current().Row(name) }

// Rows implements table.View.
func (s *Store) Rows() []table.Row { return s.replica.current().Rows() }

// Revision implements table.View.
func (s *Store) Revision() table.Revision { return s.replica.current().Revision() }

// Snapshot returns the newest table known here.
func (s *Store) Snapshot() *table.Snapshot { return s.replica.current() }

// Loaded reports whether the table was read at least once. Before that the
// empty table only means that nothing is known.
func (s *Store) Loaded() bool { return s.replica.isLoaded() }

// EntriesSince returns the accepted edits after a revision, and whether all of
// them are still known here. The slice must not be changed.
func (s *Store) EntriesSince(revision table.Revision) ([]LogEntry, bool) {
	return s.replica.since(revision)
}

// take applies entries and passes on those that were new.
func (s *Store) take(entries []LogEntry) {
	applied := s.replica.advance(entries)
	if len(applied) == 0 {
		return
	}
	s.push(applied)
	s.tellSubscribers()
}

// takeSnapshot installs a newer table. It is not pushed on: peers pull it.
func (s *Store) takeSnapshot(revision table.Revision, rows []table.Row) {
	if s.replica.install(revision, rows) {
		s.tellSubscribers()
	}
}

func (s *Store) tellSubscribers() {
	snapshot := s.replica.current()
	s.Log.Debug().Int64("revision", int64(snapshot.Revision())).Msg("table in force")
	for _, subscriber := range s.subscribers {
		subscriber(snapshot)
	}
}

// pause returns a jittered pause that doubles with each try.
func (s *Store) pause(tries int) time.Duration {
	span := s.options.MinBackoff
	for range tries {
		span = min(2*span, s.options.MaxBackoff)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return span/2 + time.Duration(s.Random.Int64N(int64(span/2)+1))
}
