package poison

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// replace applies a complete read of the keys: identities whose keys were deleted are released.
func (s *entryStore) replace(keyValues []outside.KeyValue) {
	for identity, key := range s.loadAll(keyValues) {
		s.keyRemoved(identity, key)
	}
}

// restored applies a complete read of the keys after a restore of the store, and saves the
// entries that the restore lost.
func (s *entryStore) restored(keyValues []outside.KeyValue) {
	now := time.Now()
	for identity := range s.loadAll(keyValues) {
		if entry, quarantined := s.guard.quarantine.Lookup(identity, now); quarantined {
			s.save(entry, now)
		}
	}
}

// loadAll loads all existing keys. It returns the identities that had a key before and have
// none now.
func (s *entryStore) loadAll(keyValues []outside.KeyValue) (missing map[Identity]storedKey) {
	s.mutex.Lock()
	missing = s.keys
	s.keys = map[Identity]storedKey{}
	s.mutex.Unlock()
	for _, keyValue := range keyValues {
		if identity, ok := s.identityOf(keyValue.Key); ok {
			delete(missing, identity)
			s.load(identity, keyValue)
		}
	}
	return missing
}

// change applies one written or deleted key.
func (s *entryStore) change(event outside.WatchEvent) {
	identity, ok := s.identityOf(event.KeyValue.Key)
	if !ok {
		return
	}
	if event.Deleted {
		s.mutex.Lock()
		key := s.keys[identity]
		delete(s.keys, identity)
		s.mutex.Unlock()
		s.keyRemoved(identity, key)
		return
	}
	s.load(identity, event.KeyValue)
}

// load applies a saved entry, or deletes its key if the entry has expired.
func (s *entryStore) load(identity Identity, keyValue outside.KeyValue) {
	var saved savedEntry
	if err := json.Unmarshal(keyValue.Value, &saved); err != nil {
		s.guard.config.Logger.Error().Err(err).Str("key", keyValue.Key).Msg("entry of a refused request is not understood")
		return
	}
	s.mutex.Lock()
	s.note(identity, storedKey{revision: keyValue.ModRevision, servers: saved.Servers, times: saved.Times})
	if write := s.pending[identity]; write != nil && !write.remove && write.entry.Times <= saved.Times {
		delete(s.pending, identity)
	}
	s.mutex.Unlock()
	now := time.Now()
	entry := saved.message(identity, now).entry(now)
	if !now.Before(entry.expires()) {
		s.remove(identity, now.Add(s.delay(identity)))
		return
	}
	if s.guard.withdrawIfServed(entry) {
		return
	}
	if s.guard.crashes.IsReleased(entry) {
		s.remove(identity, now.Add(s.delay(identity)))
		return
	}
	// A saved entry was sent to all nodes before, so it needs no objection window.
	s.guard.applyEntry(entry, "store", 0)
}

// keyRemoved releases an identity whose key was deleted: by a node that released it, or by an
// operator. An entry for later crashes than those of the key stays in force and is saved: the
// deletion was not meant for it.
func (s *entryStore) keyRemoved(identity Identity, key storedKey) {
	now := time.Now()
	entry, quarantined := s.guard.quarantine.Lookup(identity, now)
	if !quarantined || entry.expires().Sub(now) < maxClockSkew {
		// Another node deleted it because it has expired by that node's clock.
		return
	}
	isOfKey := func(server string) bool { return slices.Contains(key.servers, server) }
	if len(key.servers) > 0 && !entry.provisional() && len(slices.DeleteFunc(slices.Clone(entry.Servers), isOfKey)) > 0 {
		s.save(entry, now)
		return
	}
	s.guard.release(identity, s.guard.knownCrashes(identity), "removed from the store")
}
