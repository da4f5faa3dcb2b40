package poison

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// storeTimeout is the timeout of a write to the store.
	storeTimeout = time.Second
	// saveInterval is the time between the tries of one node, and between the first tries of
	// two nodes in rank order, so that usually only one of them writes.
	saveInterval = 500 * time.Millisecond
	// maxClockSkew is how far the nodes' wall clocks may differ.
	maxClockSkew = 5 * time.Second
)

// savedEntry is the stored form of an entry. Its times are wall-clock times: quarantines last
// for minutes, so a skew of seconds does not matter.
type savedEntry struct {
	Times       int      `json:"times"`
	Servers     []string `json:"servers"`
	SinceMillis int64    `json:"since_ms"`
	// UntilMillis is the end of the entry, RefusedUntilMillis the time from which trials are
	// admitted. Earlier builds have none, and refuse until the end.
	UntilMillis        int64 `json:"until_ms"`
	RefusedUntilMillis int64 `json:"refused_until_ms,omitempty"`
	// Rivals are in hexadecimal; entries with rivals are provisional.
	Rivals []string `json:"rivals,omitempty"`
	// ServedBefore as in Entry; such entries are provisional as well.
	ServedBefore bool `json:"served_before,omitempty"`
}

// message returns the saved entry as a node would send it.
func (s savedEntry) message(identity Identity, now time.Time) Quarantined {
	message := Quarantined{
		Identity: identity, Times: s.Times, Servers: s.Servers,
		Age: now.Sub(time.UnixMilli(s.SinceMillis)), Remaining: time.UnixMilli(s.UntilMillis).Sub(now),
		ServedBefore: s.ServedBefore,
	}
	if s.RefusedUntilMillis != 0 {
		message.RefusedFor = max(time.UnixMilli(s.RefusedUntilMillis).Sub(now), time.Nanosecond)
	}
	for _, text := range s.Rivals {
		if rival, err := parseIdentity(text); err == nil {
			message.Rivals = append(message.Rivals, rival)
		}
	}
	return message
}

// entryStore keeps entries in the store, one key each, for nodes that were not reached or that
// start later. Deleting a key releases its identity.
type entryStore struct {
	guard *Guard

	mutex sync.Mutex
	// keys that are known to be in the store.
	keys map[Identity]storedKey
	// pending writes: entries to save, and keys to delete.
	pending map[Identity]*pendingWrite
}

// storedKey is what is known of an entry's key.
type storedKey struct {
	// revision is zero once this node has deleted the key, until the deletion is observed.
	revision int64
	// servers that crashed under the entry; none if only the revision is known.
	servers []string
	// times is that of the entry.
	times int
}

type pendingWrite struct {
	entry  Entry
	remove bool
	// revision of the key to delete.
	revision int64
	nextTry  time.Time
	writing  bool
}

func newEntryStore(guard *Guard) *entryStore {
	return &entryStore{guard: guard, keys: map[Identity]storedKey{}, pending: map[Identity]*pendingWrite{}}
}

func (s *entryStore) key(identity Identity) string {
	return s.guard.config.EntriesPrefix + identity.Text()
}

// identityOf returns the identity that a key belongs to.
func (s *entryStore) identityOf(key string) (identity Identity, ok bool) {
	text, hasPrefix := strings.CutPrefix(key, s.guard.config.EntriesPrefix)
	if !hasPrefix {
		return identity, false
	}
	identity, err := parseIdentity(text)
	if err != nil {
		s.guard.config.Logger.Error().Str("key", key).Msg("key of a refused request is not understood")
		return identity, false
	}
	return identity, true
}

// save schedules the write of an entry, unless another node has saved it or a later one. The collectors try
// first, in an order that depends on the identity.
func (s *entryStore) save(entry Entry, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if key := s.keys[entry.Identity]; key.revision != 0 && entry.Times <= key.times {
		return
	}
	s.pending[entry.Identity] = &pendingWrite{entry: entry, nextTry: now.Add(s.delay(entry.Identity))}
}

// delay is the time before this node's first try, by its rank among the collectors.
func (s *entryStore) delay(identity Identity) time.Duration {
	rank := 0
	own := rendezvousWeight(s.guard.config.Address, identity)
	collectors := s.guard.config.Collectors()
	for _, address := range collectors {
		if address != s.guard.config.Address && rendezvousWeight(address, identity) > own {
			rank++
		}
	}
	if !slices.Contains(collectors, s.guard.config.Address) {
		rank = len(collectors)
	}
	return time.Duration(rank) * saveInterval
}

// rendezvousWeight is the weight of a node for an identity in rendezvous hashing.
func rendezvousWeight(address string, identity Identity) uint64 {
	return xxhash.Sum64String(address + " " + string(identity[:]))
}

// remove schedules the deletion of an entry's key, not before the given time. A key that is written
// later stays.
func (s *entryStore) remove(identity Identity, from time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.pending[identity] = &pendingWrite{entry: Entry{Identity: identity}, remove: true, revision: s.keys[identity].revision, nextTry: from}
}

// cancelSave drops a pending save of an identity.
func (s *entryStore) cancelSave(identity Identity) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if write := s.pending[identity]; write != nil && !write.remove {
		delete(s.pending, identity)
	}
}

// tick starts the writes that are due.
func (s *entryStore) tick(now time.Time) {
	s.mutex.Lock()
	var due []*pendingWrite
	for identity, write := range s.pending {
		isGone := write.revision == 0 || write.revision != s.keys[identity].revision
		if write.remove && isGone || !write.remove && !now.Before(write.entry.expires()) {
			delete(s.pending, identity)
			continue
		}
		if !write.writing && !now.Before(write.nextTry) {
			write.writing = true
			due = append(due, write)
		}
	}
	s.mutex.Unlock()
	for _, write := range due {
		s.write(write, now)
	}
}

func (s *entryStore) write(write *pendingWrite, now time.Time) {
	identity := write.entry.Identity
	key := s.key(identity)
	operation := outside.Operation{Kind: outside.OperationDelete, Key: key}
	if !write.remove {
		operation = outside.Operation{Kind: outside.OperationPut, Key: key, Value: s.encode(write.entry, now)}
	}
	revision := write.revision
	if !write.remove {
		s.mutex.Lock()
		revision = s.keys[identity].revision
		s.mutex.Unlock()
	}
	s.guard.config.Store.Transact(outside.Transaction{
		Compares: []outside.Compare{{Key: key, ModRevision: revision}}, Operations: []outside.Operation{operation},
	}, storeTimeout, func(reply outside.TransactionResult, err error) { s.written(write, reply, err) })
}

func (s *entryStore) encode(entry Entry, now time.Time) []byte {
	wallTime := time.Now()
	saved := savedEntry{
		Times: entry.Times, Servers: entry.Servers,
		SinceMillis: wallTime.Add(entry.Since.Sub(now)).UnixMilli(),
		UntilMillis: wallTime.Add(entry.expires().Sub(now)).UnixMilli(), RefusedUntilMillis: wallTime.Add(entry.Until.Sub(now)).UnixMilli(),
		ServedBefore: entry.ServedBefore,
	}
	for _, rival := range entry.Rivals {
		saved.Rivals = append(saved.Rivals, rival.Text())
	}
	value, err := json.Marshal(saved)
	if err != nil {
		s.guard.config.Logger.Error().Err(err).Msg("quarantine entry could not be encoded")
	}
	return value
}

// written handles the result of a write. After a revision conflict, the write is complete if
// another node has saved the entry, or a later one, or has deleted it; otherwise it is retried with
// the revision found.
func (s *entryStore) written(write *pendingWrite, reply outside.TransactionResult, err error) {
	identity := write.entry.Identity
	s.mutex.Lock()
	defer s.mutex.Unlock()
	write.writing, write.nextTry = false, time.Now().Add(saveInterval)
	if err != nil {
		s.guard.config.Logger.Warn().Err(err).Str("identity", identity.String()).Bool("remove", write.remove).Msg("refused request not saved yet")
		return
	}
	if reply.Succeeded {
		if write.remove {
			s.noteDeleted(identity, write.revision)
		} else {
			s.note(identity, storedKey{revision: reply.Revision, servers: write.entry.Servers, times: write.entry.Times})
		}
		s.finish(identity, write)
		return
	}
	delete(s.keys, identity)
	for _, current := range reply.Current {
		key := storedKey{revision: current.ModRevision}
		var saved savedEntry
		if err := json.Unmarshal(current.Value, &saved); err == nil {
			key.times = saved.Times
		}
		s.keys[identity] = key
	}
	key := s.keys[identity]
	if write.remove && key.revision == 0 || !write.remove && key.revision != 0 && write.entry.Times <= key.times {
		s.finish(identity, write)
	}
}

// note records a key unless a later revision of it is known. The caller must hold the lock.
func (s *entryStore) note(identity Identity, key storedKey) {
	if key.revision >= s.keys[identity].revision {
		s.keys[identity] = key
	}
}

// noteDeleted records that this node has deleted a revision of a key. What the key held is kept
// until the deletion is observed, to tell whether a later entry is in force by then. The caller
// must hold the lock.
func (s *entryStore) noteDeleted(identity Identity, revision int64) {
	if key, known := s.keys[identity]; known && key.revision == revision {
		s.keys[identity] = storedKey{servers: key.servers}
	}
}

// finish drops a write that is complete. The caller must hold the lock.
func (s *entryStore) finish(identity Identity, write *pendingWrite) {
	if s.pending[identity] == write {
		delete(s.pending, identity)
	}
}
