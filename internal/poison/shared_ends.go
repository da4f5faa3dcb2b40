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

// sharedEnds is this node's key in the store with the ends that some collector has not
// answered a report of. Where nodes that reach the store don't reach each other, each
// part would count its own ends only, and a request could end servers in both.
type sharedEnds struct {
	guard *Guard

	mutex sync.Mutex
	// ends that the key shall hold, by server.
	ends  map[string]timedEnd
	dirty bool
	// revision of the key, as far as known.
	revision int64
	writing  bool
	nextTry  time.Time
}

// savedEnds is the value of a node's key, with the time of day at which it was written.
type savedEnds struct {
	AtMillis int64       `json:"at_ms"`
	Ends     []ServerEnd `json:"ends"`
}

func newSharedEnds(guard *Guard) *sharedEnds {
	return &sharedEnds{guard: guard, ends: map[string]timedEnd{}}
}

func (s *sharedEnds) key() string { return s.guard.config.CrashesPrefix + s.guard.config.Address }

// add shares ends by way of the store.
func (s *sharedEnds) add(ends []timedEnd, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for server, shared := range s.ends {
		if now.Sub(shared.at) > endMemory {
			delete(s.ends, server)
		}
	}
	for _, end := range ends {
		if _, shared := s.ends[end.server]; !shared {
			s.ends[end.server] = end
			s.dirty = true
		}
	}
	for len(s.ends) > mostShared {
		dropEarliest(s.ends, func(end timedEnd) time.Time { return end.at })
	}
}

// clear takes an identity out of all ends that are shared: else nodes that start again
// would suspect it, and none would remember that it was served.
func (s *sharedEnds) clear(identity Identity) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for server, end := range s.ends {
		isCleared := func(suspect suspect) bool { return suspect.identity == identity }
		if !slices.ContainsFunc(end.suspects, isCleared) {
			continue
		}
		end.suspects = slices.DeleteFunc(slices.Clone(end.suspects), isCleared)
		s.ends[server] = end
		s.dirty = true
	}
}

// mostShared ends are kept in a node's key, of up to mostSuspects identities each.
const mostShared = 32

// tick writes the key if it does not hold all that it should.
func (s *sharedEnds) tick(now time.Time) {
	s.mutex.Lock()
	if !s.dirty || s.writing || now.Before(s.nextTry) {
		s.mutex.Unlock()
		return
	}
	s.dirty, s.writing = false, true
	saved := savedEnds{AtMillis: now.UnixMilli(), Ends: aged(slices.Collect(maps.Values(s.ends)), now)}
	revision := s.revision
	s.mutex.Unlock()
	value, err := json.Marshal(saved)
	if err != nil {
		s.guard.config.Logger.Error().Err(err).Msg("ends of servers are not written")
		return
	}
	s.guard.config.Store.Transact(outside.Transaction{
		Compares:   []outside.Compare{{Key: s.key(), ModRevision: revision}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: s.key(), Value: value}},
	}, storeTimeout, func(reply outside.TransactionResult, err error) { s.written(reply, err, now) })
}

// written notes how a write ended. One that met another revision, which this node's
// process before left there, is made again.
func (s *sharedEnds) written(reply outside.TransactionResult, err error, began time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writing, s.nextTry = false, began.Add(savePause)
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

// restored takes over all keys that exist after a restore of the store, and writes this
// node's own again.
func (s *sharedEnds) restored(keyValues []outside.KeyValue) {
	s.mutex.Lock()
	s.revision, s.dirty = 0, len(s.ends) > 0
	s.mutex.Unlock()
	for _, keyValue := range keyValues {
		s.take(keyValue)
	}
}

// take counts the ends of another node's key.
func (s *sharedEnds) take(keyValue outside.KeyValue) {
	address, is := strings.CutPrefix(keyValue.Key, s.guard.config.CrashesPrefix)
	if !is {
		return
	}
	if address == s.guard.config.Address {
		s.mutex.Lock()
		s.revision = max(s.revision, keyValue.ModRevision)
		s.mutex.Unlock()
		// A process that started again counts what the one before saw.
	}
	var saved savedEnds
	if err := json.Unmarshal(keyValue.Value, &saved); err != nil {
		s.guard.config.Logger.Error().Err(err).Str("key", keyValue.Key).Msg("ends of servers are not understood")
		return
	}
	since := max(time.Since(time.UnixMilli(saved.AtMillis)), 0)
	for i := range saved.Ends {
		saved.Ends[i].Age += since
	}
	s.guard.take(saved.Ends)
}
