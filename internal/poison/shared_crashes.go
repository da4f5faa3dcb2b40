package poison

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// sharedCrashes is this node's key in the store with the crashes whose report some collector
// has not answered. Where nodes reach the store but not each other, each partition would
// otherwise count only its own crashes, and a request could crash servers in both.
type sharedCrashes struct {
	guard *Guard

	mutex sync.Mutex
	// crashes that the key shall contain, by server.
	crashes map[string]timedCrash
	dirty   bool
	// revision of the key, as last observed.
	revision int64
	writing  bool
	nextTry  time.Time
}

// savedCrashes is the value of a node's key, with the wall-clock time at which it was written.
type savedCrashes struct {
	AtMillis int64   `json:"at_ms"`
	Crashes  []Crash `json:"ends"`
}

func newSharedCrashes(guard *Guard) *sharedCrashes {
	return &sharedCrashes{guard: guard, crashes: map[string]timedCrash{}}
}

func (s *sharedCrashes) key() string { return s.guard.config.CrashesPrefix + s.guard.config.Address }

// add shares crashes through the store.
func (s *sharedCrashes) add(crashes []timedCrash, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for server, shared := range s.crashes {
		if now.Sub(shared.at) > crashRetention {
			delete(s.crashes, server)
		}
	}
	for _, crash := range crashes {
		if _, shared := s.crashes[crash.server]; !shared {
			s.crashes[crash.server] = crash
			s.dirty = true
		}
	}
	for len(s.crashes) > maxSharedCrashes {
		dropEarliest(s.crashes, func(crash timedCrash) time.Time { return crash.at })
	}
}

// clear removes an identity from the servers' shared crashes: otherwise nodes that restart would
// suspect it, without remembering that it was released.
func (s *sharedCrashes) clear(identity Identity, servers []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, server := range servers {
		crash := s.crashes[server]
		if !slices.Contains(crash.identities(), identity) {
			continue
		}
		suspects := make([]suspect, 0, len(crash.suspects))
		for _, suspect := range crash.suspects {
			suspect.Request = suspect.without(identity)
			if !suspect.Identity.IsZero() || len(suspect.Parts) > 0 {
				suspects = append(suspects, suspect)
			}
		}
		crash.suspects = suspects
		s.crashes[server] = crash
		s.dirty = true
	}
}

// maxSharedCrashes is the number of crashes in a node's key, with up to maxSuspects identities
// each.
const maxSharedCrashes = 32

// tick writes the key if its content has changed.
func (s *sharedCrashes) tick(now time.Time) {
	s.mutex.Lock()
	if !s.dirty || s.writing || now.Before(s.nextTry) {
		s.mutex.Unlock()
		return
	}
	s.dirty, s.writing = false, true
	saved := savedCrashes{AtMillis: now.UnixMilli(), Crashes: withAges(slices.Collect(maps.Values(s.crashes)), now)}
	revision := s.revision
	s.mutex.Unlock()
	value, err := json.Marshal(saved)
	if err != nil {
		s.guard.config.Logger.Error().Err(err).Msg("shared crashes could not be encoded")
		return
	}
	s.guard.config.Store.Transact(outside.Transaction{
		Compares:   []outside.Compare{{Key: s.key(), ModRevision: revision}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: s.key(), Value: value}},
	}, storeTimeout, func(reply outside.TransactionResult, err error) { s.written(reply, err, now) })
}

// written handles the result of a write. After a conflict with the revision that an earlier
// process of this node left there, the write is retried.
func (s *sharedCrashes) written(reply outside.TransactionResult, err error, began time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writing, s.nextTry = false, began.Add(saveInterval)
	switch {
	case err != nil:
		s.dirty = true
		s.guard.config.Logger.Warn().Err(err).Msg("ends of servers not saved yet")
	case reply.Succeeded:
		s.revision = max(s.revision, reply.Revision)
	default:
		s.dirty, s.revision = true, 0
		for _, current := range reply.Current {
			s.revision = current.ModRevision
		}
	}
}

// restored applies a complete read of the keys after a restore of the store, and writes this
// node's own key again.
func (s *sharedCrashes) restored(keyValues []outside.KeyValue) {
	s.mutex.Lock()
	s.revision, s.dirty = 0, len(s.crashes) > 0
	s.mutex.Unlock()
	for _, keyValue := range keyValues {
		s.load(keyValue)
	}
}

// load counts the crashes in a node's key.
func (s *sharedCrashes) load(keyValue outside.KeyValue) {
	address, ok := strings.CutPrefix(keyValue.Key, s.guard.config.CrashesPrefix)
	if !ok {
		return
	}
	if address == s.guard.config.Address {
		s.mutex.Lock()
		s.revision = max(s.revision, keyValue.ModRevision)
		s.mutex.Unlock()
		// Its own key is loaded as well: a restarted process counts what the earlier one
		// observed.
	}
	var saved savedCrashes
	if err := json.Unmarshal(keyValue.Value, &saved); err != nil {
		s.guard.config.Logger.Error().Err(err).Str("key", keyValue.Key).Msg("ends of servers are not understood")
		return
	}
	since := max(time.Since(time.UnixMilli(saved.AtMillis)), 0)
	for i := range saved.Crashes {
		saved.Crashes[i].Age += since
	}
	s.guard.recordCrashes(saved.Crashes)
}
