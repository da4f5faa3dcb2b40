package keyvalue

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"golang.org/x/time/rate"
)

// The defaults of Options.
const (
	// DefaultHistoryLimit is the number of revisions kept for watches.
	DefaultHistoryLimit = 10_000
	// DefaultProgressInterval is the time between progress messages of a watch.
	DefaultProgressInterval = time.Second
	// DefaultMaxOperations is the limit on a transaction's operations.
	DefaultMaxOperations = 128
	// DefaultMaxRequestBytes is the limit on a transaction's keys and values.
	DefaultMaxRequestBytes = 1536 * 1024
)

// Options configure a Store.
type Options struct {
	// Clock drives leases, delays and progress messages; required.
	Clock clock.Clock
	// Random decides on faults; nil: seeded with 0.
	Random *rand.Rand
	// RecordPrefixes are the key prefixes whose writes are recorded for
	// checkers; none: nothing is recorded.
	RecordPrefixes []string
	// HistoryLimit is the number of revisions kept for watches; older ones are
	// compacted. Zero: DefaultHistoryLimit.
	HistoryLimit int
	// ProgressInterval is the time between progress messages of a watch.
	// Zero: DefaultProgressInterval.
	ProgressInterval time.Duration
	// MaxOperations of a transaction. Zero: DefaultMaxOperations.
	MaxOperations int
	// MaxRequestBytes of a transaction. Zero: DefaultMaxRequestBytes.
	MaxRequestBytes int
}

// Store is the state of the key-value service. Its methods are synchronous and
// safe for concurrent use; they know nothing of the faults, which are applied
// by the HTTP server and by Simulated.
type Store struct {
	options Options
	clock   clock.Clock

	mutex   sync.Mutex
	random  *rand.Rand
	keys    keySpace
	leases  leaseTable
	history history
	watches watchTable
	// revision of the newest committed transaction.
	revision int64
	// era counts the restores from a backup.
	era      int64
	faults   Faults
	limiter  *rate.Limiter
	counters Counters
	records  []Record
	closed   bool
}

// NewStore returns an empty store at revision 1, as etcd has it.
func NewStore(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options:  options,
		clock:    options.Clock,
		random:   options.Random,
		keys:     newKeySpace(),
		leases:   newLeaseTable(),
		history:  history{limit: options.HistoryLimit, compacted: initialRevision - 1},
		revision: initialRevision,
	}
}

// initialRevision is the revision of an empty store.
const initialRevision = 1

func (o Options) withDefaults() Options {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(0, 0))
	}
	if o.HistoryLimit == 0 {
		o.HistoryLimit = DefaultHistoryLimit
	}
	if o.ProgressInterval == 0 {
		o.ProgressInterval = DefaultProgressInterval
	}
	if o.MaxOperations == 0 {
		o.MaxOperations = DefaultMaxOperations
	}
	if o.MaxRequestBytes == 0 {
		o.MaxRequestBytes = DefaultMaxRequestBytes
	}
	return o
}

// Revision returns the revision of the newest committed transaction.
func (s *Store) Revision() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision
}

// Transact runs a transaction. Its errors match outside.ErrNotApplied.
func (s *Store) Transact(transaction outside.Transaction) (outside.TransactionResult, error) {
	if err := s.checkTransaction(transaction); err != nil {
		return outside.TransactionResult{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.holds(transaction.Compares) {
		current := s.readCompared(transaction.Compares)
		return outside.TransactionResult{Revision: s.revision, Current: current}, nil
	}
	if !s.leases.allExist(transaction.Operations) {
		return outside.TransactionResult{}, errLeaseNotFound
	}
	s.commit(CauseTransaction, transaction.Operations)
	return outside.TransactionResult{Succeeded: true, Revision: s.revision}, nil
}

// Range reads all keys with the prefix, in order.
func (s *Store) Range(prefix string) outside.RangeResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return outside.RangeResult{Revision: s.revision, KeyValues: s.keys.withPrefix(prefix)}
}

// readKey reads one key.
func (s *Store) readKey(key string) outside.RangeResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	result := outside.RangeResult{Revision: s.revision}
	if keyValue, exists := s.keys.get(key); exists {
		result.KeyValues = []outside.KeyValue{keyValue}
	}
	return result
}

// Close ends all watches and stops all timers. Leases expire no more.
func (s *Store) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.endWatches(errClosed)
	s.leases.stopTimers()
}

func (s *Store) checkTransaction(transaction outside.Transaction) error {
	if len(transaction.Operations) > s.options.MaxOperations || len(transaction.Compares) > s.options.MaxOperations {
		return errTooManyOperations
	}
	size := 0
	seen := make(map[string]struct{}, len(transaction.Operations))
	for _, operation := range transaction.Operations {
		if operation.Key == "" {
			return errEmptyKey
		}
		if _, twice := seen[operation.Key]; twice {
			return errDuplicateKey
		}
		seen[operation.Key] = struct{}{}
		size += len(operation.Key) + len(operation.Value)
	}
	if size > s.options.MaxRequestBytes {
		return errRequestTooLarge
	}
	return nil
}

func (s *Store) holds(compares []outside.Compare) bool {
	for _, compare := range compares {
		current, _ := s.keys.get(compare.Key)
		if current.ModRevision != compare.ModRevision {
			return false
		}
	}
	return true
}

func (s *Store) readCompared(compares []outside.Compare) []outside.KeyValue {
	var current []outside.KeyValue
	for _, compare := range compares {
		if keyValue, exists := s.keys.get(compare.Key); exists {
			current = append(current, keyValue)
		}
	}
	return current
}

// commit applies the operations as one revision and tells the watches. Without
// an effect the revision stays.
func (s *Store) commit(cause Cause, operations []outside.Operation) {
	events := make([]outside.WatchEvent, 0, len(operations))
	for _, operation := range operations {
		if event, changed := s.apply(operation); changed {
			events = append(events, event)
		}
	}
	if len(events) == 0 {
		return
	}
	s.revision++
	s.history.add(revisionEvents{revision: s.revision, events: events})
	s.record(cause, events)
	s.notify(s.revision, events)
}

func (s *Store) apply(operation outside.Operation) (outside.WatchEvent, bool) {
	revision := s.revision + 1
	previous, existed := s.keys.get(operation.Key)
	if existed {
		s.leases.detach(previous.Lease, operation.Key)
	}
	if operation.Kind == outside.OperationDelete {
		s.keys.remove(operation.Key)
		deleted := outside.KeyValue{Key: operation.Key, ModRevision: revision}
		return outside.WatchEvent{Deleted: true, KeyValue: deleted}, existed
	}
	keyValue := outside.KeyValue{
		Key:            operation.Key,
		Value:          bytes.Clone(operation.Value),
		CreateRevision: revision,
		ModRevision:    revision,
		Lease:          operation.Lease,
	}
	if existed {
		keyValue.CreateRevision = previous.CreateRevision
	}
	s.keys.put(keyValue)
	s.leases.attach(operation.Lease, operation.Key)
	return outside.WatchEvent{KeyValue: keyValue}, true
}
