package orders

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// saveRetryPause is the minimum time between two attempts to save.
const saveRetryPause = time.Second

// countersRecord is the record in the store. An earlier build reads and writes it without Nodes.
type countersRecord struct {
	ratelimit.Counters
	// Nodes is the number of nodes that share limits.
	Nodes int `json:",omitempty"`
}

func (r countersRecord) equal(other countersRecord) bool {
	return r.Token == other.Token && r.Version == other.Version && r.Nodes == other.Nodes && slices.Equal(r.Addresses, other.Addresses)
}

// CountersStore saves in the store which nodes count rate limits, and how many nodes share them. So
// nodes know it as soon as they have read the store, before they receive it from a holder, which
// takes seconds after a loss of all nodes. It is safe for concurrent use.
type CountersStore struct {
	Store outside.KeyValueService
	// Key of the record.
	Key string
	// OnChange is called with each valid record received from the store.
	OnChange func(counters ratelimit.Counters)
	// Holder returns the current holder's record, if there is one; nil: not known.
	Holder func() (HolderRecord, bool)
	// OnNodes is called with the number of nodes in each record received from the store; nil: not
	// called.
	OnNodes func(nodes int)
	// OnNone is called when the store was read and has no record; nil: not called.
	OnNone func()
	Logger zerolog.Logger

	mutex sync.Mutex
	// revision is the newest known revision of the record.
	revision int64
	saving   bool
	nextTry  time.Time
	saved    countersRecord
	// nodes is the number of nodes in the newest record received.
	nodes int
}

// Nodes returns the number of nodes that share limits as it was saved last; 0 if it is not known.
func (s *CountersStore) Nodes() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.nodes
}

// Replace applies the record if it is among all keys that exist.
func (s *CountersStore) Replace(keyValues []outside.KeyValue) {
	s.applyAll(keyValues)
	exists := slices.ContainsFunc(keyValues, func(keyValue outside.KeyValue) bool { return keyValue.Key == s.Key })
	if !exists && s.OnNone != nil {
		s.OnNone()
	}
}

func (s *CountersStore) applyAll(keyValues []outside.KeyValue) {
	for _, keyValue := range keyValues {
		s.apply(keyValue)
	}
}

// Restored applies all keys that exist after a restore of the store from a backup. The restore
// may have lost what was saved, so it is saved again.
func (s *CountersStore) Restored(keyValues []outside.KeyValue) {
	s.mutex.Lock()
	nodes := s.nodes
	s.revision, s.saved = 0, countersRecord{}
	s.mutex.Unlock()
	s.applyAll(keyValues)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.nodes = max(s.nodes, nodes)
}

// Change applies the change of one key.
func (s *CountersStore) Change(event outside.WatchEvent) {
	if !event.Deleted {
		s.apply(event.KeyValue)
	}
}

// apply applies the record, and ignores other keys.
func (s *CountersStore) apply(keyValue outside.KeyValue) {
	if keyValue.Key != s.Key {
		return
	}
	var record countersRecord
	err := json.Unmarshal(keyValue.Value, &record)
	if err != nil {
		s.Logger.Error().Err(err).Str("key", s.Key).Msg("cannot decode the record of the nodes that count rate limits")
	}
	valid := err == nil && s.mayBeOfHolder(record, keyValue.ModRevision)
	s.received(record, valid, keyValue.ModRevision)
	if !valid {
		return
	}
	s.OnChange(record.Counters)
	if record.Nodes > 0 && s.OnNodes != nil {
		s.OnNodes(record.Nodes)
	}
}

// maxListVersion exceeds the number of lists that one term can have.
const maxListVersion = 1 << 53

// mayBeOfHolder reports whether a record written at a revision may be that of a holder. Its token is
// the revision of the holder's record, which is written before; an invalid one would outrank the
// lists of all later holders.
func (s *CountersStore) mayBeOfHolder(record countersRecord, revision int64) bool {
	newest := revision - 1
	if s.Holder != nil {
		if holder, known := s.Holder(); known {
			newest = min(newest, holder.Revision)
		}
	}
	if record.Token <= newest && record.Version <= maxListVersion {
		return true
	}
	s.Logger.Error().Str("key", s.Key).Int64("token", record.Token).Uint64("version", record.Version).Int64("revision", revision).
		Msg("record of the nodes that count rate limits ignored: no holder can have written it")
	return false
}

// received updates the state by a record received from the store. One that this node did not save
// has replaced the saved one.
func (s *CountersStore) received(record countersRecord, valid bool, revision int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = max(s.revision, revision)
	if !valid || !record.equal(s.saved) {
		s.saved = countersRecord{}
	}
	if valid && record.Nodes > 0 {
		s.nodes = record.Nodes
	}
}

// save writes the counters and the number of nodes, unless they are saved already, a write is in
// progress, or the last one began less than saveRetryPause ago.
func (s *CountersStore) save(counters ratelimit.Counters, nodes int, now time.Time) {
	record := countersRecord{Counters: counters, Nodes: nodes}
	s.mutex.Lock()
	known := s.saved.Token == counters.Token && s.saved.Version == counters.Version && s.saved.Nodes == nodes
	if known || s.saving || now.Before(s.nextTry) || len(counters.Addresses) == 0 {
		s.mutex.Unlock()
		return
	}
	s.saving = true
	compare := outside.Compare{Key: s.Key, ModRevision: s.revision}
	s.mutex.Unlock()
	value, err := json.Marshal(record)
	if err != nil {
		s.saveEnded(record, now, false, err)
		return
	}
	s.Store.Transact(outside.Transaction{
		Compares:   []outside.Compare{compare},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: s.Key, Value: value}},
	}, storeTimeout, func(reply outside.TransactionResult, err error) {
		s.saveEnded(record, now, reply.Succeeded, err)
	})
}

// saveEnded records the result of a write. A write that failed since the revision had changed is
// retried with the revision that this node receives.
func (s *CountersStore) saveEnded(record countersRecord, began time.Time, succeeded bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.saving, s.nextTry = false, began.Add(saveRetryPause)
	if succeeded {
		s.saved, s.nodes = record, record.Nodes
		return
	}
	s.Logger.Warn().Err(err).Msg("nodes that count quotas not saved yet")
}
