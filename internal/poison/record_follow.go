package poison

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// replace takes over all keys that exist.
func (r *record) replace(keyValues []outside.KeyValue) {
	for identity := range r.takeAll(keyValues) {
		r.removed(identity)
	}
}

// restored takes over all keys that exist after a restore of the store, and saves what it lost.
func (r *record) restored(keyValues []outside.KeyValue) {
	now := time.Now()
	for identity := range r.takeAll(keyValues) {
		if entry, held := r.guard.quarantine.Held(identity, now); held {
			r.wanted(entry, now)
		}
	}
}

// takeAll takes over all keys that exist. It returns the identities of which keys were known
// that do not.
func (r *record) takeAll(keyValues []outside.KeyValue) (missing map[Identity]int64) {
	r.mutex.Lock()
	missing = r.revisions
	r.revisions = map[Identity]int64{}
	r.mutex.Unlock()
	for _, keyValue := range keyValues {
		if identity, is := r.identityOf(keyValue.Key); is {
			delete(missing, identity)
			r.take(identity, keyValue)
		}
	}
	return missing
}

// change takes over one key.
func (r *record) change(event outside.WatchEvent) {
	identity, is := r.identityOf(event.KeyValue.Key)
	if !is {
		return
	}
	if event.Deleted {
		r.mutex.Lock()
		delete(r.revisions, identity)
		r.mutex.Unlock()
		r.removed(identity)
		return
	}
	r.take(identity, event.KeyValue)
}

// take takes an entry over, or removes it if its time is over.
func (r *record) take(identity Identity, keyValue outside.KeyValue) {
	var saved savedEntry
	if err := json.Unmarshal(keyValue.Value, &saved); err != nil {
		r.guard.config.Logger.Error().Err(err).Str("key", keyValue.Key).Msg("entry of a refused request is not understood")
		return
	}
	r.mutex.Lock()
	r.revisions[identity] = max(r.revisions[identity], keyValue.ModRevision)
	if write := r.open[identity]; write != nil && !write.remove && write.entry.Times <= saved.Times {
		delete(r.open, identity)
	}
	r.mutex.Unlock()
	now := time.Now()
	entry := Quarantined{
		Identity: identity, Times: saved.Times, Servers: saved.Servers,
		Age: now.Sub(time.UnixMilli(saved.SinceMillis)), Remaining: time.UnixMilli(saved.UntilMillis).Sub(now),
	}.entry(now)
	if !now.Before(entry.Until) {
		r.remove(identity, now.Add(r.delay(identity)))
		return
	}
	if released, contradicted := r.guard.contradict(entry); contradicted {
		r.guard.broadcast(released, true)
		r.remove(identity, now)
		return
	}
	// What is saved has been sent to all nodes before.
	r.guard.hold(entry, "store", 0)
}

// removed lets an identity go whose key was removed: by a node whose server has served
// it, or by an operator.
func (r *record) removed(identity Identity) {
	entry, held := r.guard.quarantine.Held(identity, time.Now())
	if !held || time.Until(entry.Until) < clockTolerance {
		// Its time is over by another node's clock.
		return
	}
	r.guard.release(identity, "removed from the store")
}
