// Package tablestore stores the model table in the key-value service, accepts
// edits by compare-and-swap on the table's revision, and distributes each
// accepted revision to all nodes.
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

// Validator returns the problems of a proposed table, none if it is valid.
type Validator func(rows []table.Row) []table.Problem

// Dependencies of a Store. Random must not be shared with other users.
type Dependencies struct {
	Members   membership.View
	KeyValues outside.KeyValueService
	Transport peer.Transport
	Clock     clock.Clock
	Random    *rand.Rand
	Validate  Validator
	Log       zerolog.Logger
}

// Store is a node's replica of the table; it implements table.View. The replica
// stays available while the key-value service is unavailable, and its revision
// never decreases.
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
	// repairing is true while a pull by repair is running.
	repairing bool
	pullTimer clock.Timer
	// zonePeers and remotePeers are the other members in order of name.
	zonePeers, remotePeers []membership.Member
}

var _ table.View = (*Store)(nil)

// New returns a store with an empty table and registers its message handlers
// with the transport. The store pulls and watches nothing before Start.
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

// Subscribe adds a function that is called with newer tables. Calls are not
// guaranteed to be in order of revision. Subscribe must be called before Start.
func (s *Store) Subscribe(subscriber func(*table.Snapshot)) {
	s.subscribers = append(s.subscribers, subscriber)
}

// Start starts the periodic pulls from peers, and the watch of the key-value
// service if SetMembers chooses this node for it.
func (s *Store) Start() {
	s.SetMembers(s.Members.Members())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.schedulePullLocked()
}

// Stop stops the pulls and the watch.
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

// Snapshot returns this node's newest table.
func (s *Store) Snapshot() *table.Snapshot { return s.replica.current() }

// Loaded reports whether the table was read at least once. Before that, an
// empty table does not mean that there are no rows.
func (s *Store) Loaded() bool { return s.replica.isLoaded() }

// EntriesSince returns the accepted edits after a revision, and whether this
// node still keeps all of them. The slice must not be modified.
func (s *Store) EntriesSince(revision table.Revision) ([]LogEntry, bool) {
	return s.replica.since(revision)
}

// applyEntries applies entries, pushes the new ones to peers and notifies
// subscribers.
func (s *Store) applyEntries(entries []LogEntry) {
	applied := s.replica.apply(entries)
	if len(applied) == 0 {
		return
	}
	s.push(applied)
	s.notifySubscribers()
}

// installSnapshot installs a newer table. Snapshots are not pushed; peers pull
// them.
func (s *Store) installSnapshot(revision table.Revision, rows []table.Row) {
	if s.replica.install(revision, rows) {
		s.notifySubscribers()
	}
}

func (s *Store) notifySubscribers() {
	snapshot := s.replica.current()
	s.Log.Debug().Int64("revision", int64(snapshot.Revision())).Msg("table in force")
	for _, subscriber := range s.subscribers {
		subscriber(snapshot)
	}
}

// backoff returns the delay after a number of failures: MinBackoff doubled once
// per failure, at most MaxBackoff, then drawn at random from the upper half.
func (s *Store) backoff(failures int) time.Duration {
	delay := s.options.MinBackoff
	for range failures {
		delay = min(2*delay, s.options.MaxBackoff)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return delay/2 + time.Duration(s.Random.Int64N(int64(delay/2)+1))
}
