package retrybudget

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// usageTimeout bounds each of the two store calls at a planned stop, whose end must not be
	// delayed.
	usageTimeout = 150 * time.Millisecond
	// usageMargin is how much longer than the window a record is kept, since clocks differ.
	usageMargin = 5 * time.Second
	// readTimeout bounds the store call that reads and deletes a record.
	readTimeout = time.Second
)

// UsageStore passes what a process counted to the next process of its node, if it stops as planned.
// The next process deletes the record by its revision, and uses it only if the store confirms that, so
// that no second process continues from the same counts. Otherwise it counts as a process that starts.
//
// A process that was killed leaves no record. If it had not used the one before it, the next process
// does: it then lacks what the killed one allowed, which is within the startShare.
type UsageStore struct {
	Store outside.KeyValueService
	// Key of the node's record.
	Key    string
	Budget *Budget
	// Era returns the era of the store. A record of an earlier one may have been used before the
	// store was restored.
	Era func() int64
	// MinimumLease is the shortest lease that the store grants.
	MinimumLease time.Duration
	Logger       zerolog.Logger

	mutex sync.Mutex
	// done is set once a record was used or written by this process.
	done bool
}

// usageRecord is the record in the store.
type usageRecord struct {
	Era           int64
	StoppedMillis int64
	Usage         Usage
}

// Save closes the budget and writes what it counted. It is called when no request is in flight.
func (s *UsageStore) Save() {
	usage, complete := s.Budget.Close(time.Now())
	s.mutex.Lock()
	s.done = true
	s.mutex.Unlock()
	if !complete || !s.Budget.mayRetry(time.Now()) {
		return
	}
	lease, err := outside.Await(func(done func(outside.Lease, error)) {
		s.Store.GrantLease(max(s.Budget.limits.Window+usageMargin, s.MinimumLease), usageTimeout, done)
	})
	if err == nil {
		err = s.write(usageRecord{Era: s.Era(), StoppedMillis: time.Now().UnixMilli(), Usage: usage}, lease.ID)
	}
	s.Logger.Info().Err(err).Bool("saved", err == nil).Msg("retry budget passed on")
}

// write writes the record.
func (s *UsageStore) write(record usageRecord, lease outside.LeaseID) error {
	value, err := json.Marshal(record)
	if err != nil {
		return fmt.Errorf("encode what the retry budget counted: %w", err)
	}
	_, err = outside.Await(func(done func(outside.TransactionResult, error)) {
		s.Store.Transact(outside.Transaction{
			Operations: []outside.Operation{{Kind: outside.OperationPut, Key: s.Key, Value: value, Lease: lease}},
		}, usageTimeout, done)
	})
	return err
}

// Replace reads the record if it is among all keys that exist.
func (s *UsageStore) Replace(keyValues []outside.KeyValue) {
	for _, keyValue := range keyValues {
		s.take(keyValue)
	}
}

// Restored ignores records: each may have been used before the store was restored.
func (s *UsageStore) Restored([]outside.KeyValue) {}

// Change reads the record if it is the changed key: the copy that a process reads first may be older
// than the record.
func (s *UsageStore) Change(event outside.WatchEvent) {
	if !event.Deleted {
		s.take(event.KeyValue)
	}
}

// take deletes the record and, if that is confirmed, continues from it.
func (s *UsageStore) take(keyValue outside.KeyValue) {
	if keyValue.Key != s.Key {
		return
	}
	s.mutex.Lock()
	wasDone := s.done
	s.done = true
	s.mutex.Unlock()
	if wasDone {
		return
	}
	var record usageRecord
	if err := json.Unmarshal(keyValue.Value, &record); err != nil {
		s.Logger.Error().Err(err).Str("key", s.Key).Msg("cannot decode what the retry budget counted")
		return
	}
	s.Store.Transact(outside.Transaction{
		Compares:   []outside.Compare{{Key: s.Key, ModRevision: keyValue.ModRevision}},
		Operations: []outside.Operation{{Kind: outside.OperationDelete, Key: s.Key}},
	}, readTimeout, func(reply outside.TransactionResult, err error) {
		s.continueFrom(record, err == nil && reply.Succeeded, err)
	})
}

// continueFrom continues from a record that was deleted, unless it is too old.
func (s *UsageStore) continueFrom(record usageRecord, deleted bool, err error) {
	now := time.Now()
	stopped := now.Sub(time.UnixMilli(record.StoppedMillis))
	used := deleted && record.Era == s.Era() && stopped >= 0 && stopped < s.Budget.limits.Window
	if used {
		s.Budget.Continue(record.Usage, stopped, now)
	}
	s.Logger.Info().Err(err).Bool("used", used).Dur("stopped_ms", stopped).Msg("retry budget of the process before")
}
