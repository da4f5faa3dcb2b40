package orders

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

// saveRetry is the pause after a try to save that failed.
const saveRetry = time.Second

// CountersStore keeps in the store which nodes count limits, so that nodes know it
// as soon as they have read the store, before they have heard of a holder: after a
// loss of all nodes that takes seconds.
type CountersStore struct {
	Store outside.KeyValueService
	Key   string
	// OnChange is called with what the store holds.
	OnChange func(counters ratelimit.Counters)
	Logger   zerolog.Logger

	mutex sync.Mutex
	// revision at which the record was written, as far as known.
	revision int64
	saving   bool
	nextTry  time.Time
	saved    ratelimit.Counters
}

// Replace takes over all keys that exist.
func (r *CountersStore) Replace(keyValues []outside.KeyValue) {
	for _, keyValue := range keyValues {
		r.take(keyValue)
	}
}

// Restored takes over all keys that exist after the store came back from a backup. What was
// saved since is lost.
func (r *CountersStore) Restored(keyValues []outside.KeyValue) {
	r.mutex.Lock()
	r.revision, r.saved = 0, ratelimit.Counters{}
	r.mutex.Unlock()
	r.Replace(keyValues)
}

// Change takes over one key.
func (r *CountersStore) Change(event outside.WatchEvent) {
	if !event.Deleted {
		r.take(event.KeyValue)
	}
}

func (r *CountersStore) take(keyValue outside.KeyValue) {
	if keyValue.Key != r.Key {
		return
	}
	var counters ratelimit.Counters
	if err := json.Unmarshal(keyValue.Value, &counters); err != nil {
		r.Logger.Error().Err(err).Str("key", r.Key).Msg("record of the nodes that count quotas is not understood")
		return
	}
	r.mutex.Lock()
	r.revision = max(r.revision, keyValue.ModRevision)
	r.mutex.Unlock()
	r.OnChange(counters)
}

// save writes the counters, unless they are there or a try is under way.
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
		r.ended(counters, now, false, err)
		return
	}
	r.Store.Transact(outside.Transaction{
		Compares:   []outside.Compare{compare},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: r.Key, Value: value}},
	}, storeTimeout, func(reply outside.TransactionResult, err error) {
		r.ended(counters, now, reply.Succeeded, err)
	})
}

// ended notes how a try ended. A try that met another revision is made again with
// the one that the node learns of.
func (r *CountersStore) ended(counters ratelimit.Counters, began time.Time, succeeded bool, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.saving, r.nextTry = false, began.Add(saveRetry)
	if succeeded {
		r.saved = counters
		return
	}
	r.Logger.Warn().Err(err).Msg("nodes that count quotas not saved yet")
}
