package orders

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// saveRetryPause is the minimum time between two attempts to save.
const saveRetryPause = time.Second

// CountersStore saves in the store which nodes count rate limits. So nodes know it as soon as they
// have read the store, before they receive it from a holder, which takes seconds after a loss of
// all nodes. It is safe for concurrent use.
type CountersStore struct {
	Store outside.KeyValueService
	// Key of the record.
	Key string
	// OnChange is called with each record received from the store.
	OnChange func(counters ratelimit.Counters)
	Logger   zerolog.Logger

	mutex sync.Mutex
	// revision is the newest known revision of the record.
	revision int64
	saving   bool
	nextTry  time.Time
	saved    ratelimit.Counters
}

// Replace applies the record if it is among all keys that exist.
func (r *CountersStore) Replace(keyValues []outside.KeyValue) {
	for _, keyValue := range keyValues {
		r.apply(keyValue)
	}
}

// Restored applies all keys that exist after a restore of the store from a backup. The restore
// may have lost what was saved, so it is saved again.
func (r *CountersStore) Restored(keyValues []outside.KeyValue) {
	r.mutex.Lock()
	r.revision, r.saved = 0, ratelimit.Counters{}
	r.mutex.Unlock()
	r.Replace(keyValues)
}

// Change applies the change of one key.
func (r *CountersStore) Change(event outside.WatchEvent) {
	if !event.Deleted {
		r.apply(event.KeyValue)
	}
}

// apply applies the record, and ignores other keys.
func (r *CountersStore) apply(keyValue outside.KeyValue) {
	if keyValue.Key != r.Key {
		return
	}
	var counters ratelimit.Counters
	if err := json.Unmarshal(keyValue.Value, &counters); err != nil {
		r.Logger.Error().Err(err).Str("key", r.Key).Msg("cannot decode the record of the nodes that count rate limits")
		return
	}
	r.mutex.Lock()
	r.revision = max(r.revision, keyValue.ModRevision)
	r.mutex.Unlock()
	r.OnChange(counters)
}

// save writes the counters, unless they are saved already, a write is in progress, or the last one
// began less than saveRetryPause ago.
func (r *CountersStore) save(counters ratelimit.Counters, now time.Time) {
	r.mutex.Lock()
	known := r.saved.Token == counters.Token && r.saved.Version == counters.Version
	if known || r.saving || now.Before(r.nextTry) || len(counters.Addresses) == 0 {
		r.mutex.Unlock()
		return
	}
	r.saving = true
	compare := outside.Compare{Key: r.Key, ModRevision: r.revision}
	r.mutex.Unlock()
	value, err := json.Marshal(counters)
	if err != nil {
		r.saveEnded(counters, now, false, err)
		return
	}
	r.Store.Transact(outside.Transaction{
		Compares:   []outside.Compare{compare},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: r.Key, Value: value}},
	}, storeTimeout, func(reply outside.TransactionResult, err error) {
		r.saveEnded(counters, now, reply.Succeeded, err)
	})
}

// saveEnded records the result of a write. A write that failed since the revision had changed is
// retried with the revision that this node receives.
func (r *CountersStore) saveEnded(counters ratelimit.Counters, began time.Time, succeeded bool, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.saving, r.nextTry = false, began.Add(saveRetryPause)
	if succeeded {
		r.saved = counters
		return
	}
	r.Logger.Warn().Err(err).Msg("nodes that count quotas not saved yet")
}
