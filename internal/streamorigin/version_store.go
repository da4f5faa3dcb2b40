package streamorigin

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// storeTimeout is the timeout of a write to the store.
	storeTimeout = time.Second
	// saveStep is the time between the first tries of two nodes in rank order, so that usually only one
	// of them writes.
	saveStep = 500 * time.Millisecond
	// minSavePause and maxSavePause bound the pause after a write that failed, which doubles.
	minSavePause, maxSavePause = time.Second, 16 * time.Second
	// firstOtherRank is above the ranks of the nodes that keep origins. The others write only if none of
	// those does, and lateRanks spreads them.
	firstOtherRank, lateRanks = 8, 16
	// maxUnseen is how long a version stays saved that no node sees, where no node's view covers the
	// retention: the store may fail often.
	maxUnseen = 5 * time.Minute
	// maxRecordBytes bounds the record; a larger one is not complete.
	maxRecordBytes = 512 << 10
	// noEra marks a record that is not complete.
	noEra = -1
)

// versionRecord is the record in the store: the software versions that each pool may have had within the
// retention. So nodes know them after a start of all nodes.
type versionRecord struct {
	// Era of the store in which the record was written. One that a restore brought back may lack versions.
	Era int64 `json:"era"`
	// Pools holds the versions in order, by pool. A pool without servers is left out.
	Pools map[string][]string `json:"pools"`
}

// isMarker reports whether the record stands for one that was too large or not understood.
func (r versionRecord) isMarker() bool { return r.Era == noEra }

// valid reports whether the record names the pools, each with its versions.
func (r versionRecord) valid() bool {
	for _, versions := range r.Pools {
		if len(versions) == 0 {
			return false
		}
	}
	return r.Pools != nil
}

// saved is what a node knows of the record. It is immutable.
type saved struct {
	pools map[string][]string
	// complete: no pool had other versions until the records became current last.
	complete bool
}

// allows reports whether no other version of the origin's pool is saved.
func (s *saved) allows(origin Origin) bool {
	return !slices.ContainsFunc(s.pools[origin.Pool], func(version string) bool { return version != origin.SoftwareVersion })
}

// savedVersion is since when a version has been known to be saved, and not been seen by this node.
type savedVersion struct{ readAt, unseenSince time.Time }

// versionStore saves the pools' software versions in the store whenever they change: each version that was
// seen is added at once, and removed by a node whose view has covered the retention without it.
//
// Its state is what is known of the one record:
//
//	complete, nothing unsaved   the stored record names all versions
//	complete, some unsaved      the store lost the record; stored and unsaved name all versions
//	not complete                no record, a marker or one of an earlier era: there may have been others
//
// The record comes with all keys (replace), as a change (change) or with the result of a write (written). Each
// sets the state (setStored) and makes it available to load (publish).
type versionStore struct {
	store   outside.KeyValueService
	key     string
	era     func() int64
	address string
	nodes   func() []string
	logger  zerolog.Logger

	published atomic.Pointer[saved]

	mutex sync.Mutex
	// revision is the newest known revision of the record, which is stored; zero if there is none.
	revision int64
	stored   versionRecord
	// known are the saved versions.
	known map[Origin]savedVersion
	// unsaved are the versions known before the store lost them, to be stored again; nil: none.
	unsaved map[string][]string
	// currentAt is when the servers' records were current last.
	currentAt time.Time
	// noEarlierProcess: no process used the store before this one started.
	noEarlierProcess bool
	// complete: stored and unsaved name all versions, apart from those that this node has seen since.
	complete bool
	// dueSince is since when the record has lacked a version or had one too many; the zero time if it is
	// as it should be.
	dueSince, nextTry time.Time
	pause             time.Duration
	saving            bool
}

func newVersionStore(config Config) *versionStore {
	s := &versionStore{
		store: config.Store, key: config.VersionsKey, era: config.Era, address: config.Address, nodes: config.Nodes,
		logger: config.Logger, known: map[Origin]savedVersion{},
	}
	s.published.Store(&saved{})
	return s
}

// load returns what is known of the record.
func (s *versionStore) load() *saved { return s.published.Load() }

// setNoEarlierProcess makes a missing record mean that no pool had any version before. It must be called
// before replace.
func (s *versionStore) setNoEarlierProcess() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.noEarlierProcess = true
}

// replace applies the record if it is among all keys that exist.
func (s *versionStore) replace(keyValues []outside.KeyValue) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision = 0
	s.applyKeys(keyValues)
	s.noEarlierProcess = false
	s.publish()
}

// change applies the change of one key.
func (s *versionStore) change(event outside.WatchEvent) {
	if event.KeyValue.Key != s.key {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if event.KeyValue.ModRevision < s.revision {
		return
	}
	if event.Deleted {
		s.applyKey(nil)
	} else {
		s.applyKey(&event.KeyValue)
	}
	s.publish()
}

// applyKeys applies the record if it is among the keys, which are all that exist. It must be called with
// the lock held.
func (s *versionStore) applyKeys(keyValues []outside.KeyValue) {
	for _, keyValue := range keyValues {
		if keyValue.Key == s.key {
			s.applyKey(&keyValue)
			return
		}
	}
	s.applyKey(nil)
}

// applyKey applies the record as it is stored; nil if there is none. It must be called with the lock held.
func (s *versionStore) applyKey(keyValue *outside.KeyValue) {
	record := versionRecord{Era: noEra}
	s.revision = 0
	if keyValue != nil {
		s.revision = keyValue.ModRevision
		if err := json.Unmarshal(keyValue.Value, &record); err != nil {
			s.logger.Error().Err(err).Str("key", s.key).Msg("cannot decode the record of software versions")
			record = versionRecord{Era: noEra}
		}
		if !record.valid() {
			record = versionRecord{Era: noEra}
		}
	}
	s.setStored(record)
	s.complete = s.complete || keyValue == nil && s.noEarlierProcess
}

// setStored sets the record that is stored. If it is deleted, or was brought back by a restore of the store,
// the versions known before become unsaved ones. It must be called with the lock held.
func (s *versionStore) setStored(record versionRecord) {
	isComplete := record.Era == s.era()
	if !isComplete && s.complete && time.Since(s.currentAt) <= retention {
		s.unsaved = union(s.stored.Pools, s.unsaved)
	}
	s.stored, s.complete = record, isComplete || s.unsaved != nil
	known, now := map[Origin]savedVersion{}, time.Now()
	for pool, versions := range record.Pools {
		for _, version := range versions {
			origin := Origin{Pool: pool, SoftwareVersion: version}
			known[origin] = savedVersion{readAt: now, unseenSince: now}
			if before, exists := s.known[origin]; exists {
				known[origin] = before
			}
		}
	}
	s.known = known
}

// noteSeen records which saved versions this node has seen within the retention. It must be called with the
// lock held.
func (s *versionStore) noteSeen(seen *observed, now time.Time) {
	for origin, version := range s.known {
		if slices.Contains(seen.versions[origin.Pool], origin.SoftwareVersion) {
			version.unseenSince = now
			s.known[origin] = version
		}
	}
}

// publish makes the known versions available to load. It must be called with the lock held.
func (s *versionStore) publish() {
	s.published.Store(&saved{pools: union(s.stored.Pools, s.unsaved), complete: s.complete})
}

// update writes the record if it is not as it should be by what this node has seen, and this node's turn
// has come. The records of the servers must be current.
func (s *versionStore) update(seen *observed, now time.Time) {
	if s.store == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.currentAt = now
	s.noteSeen(seen, now)
	wanted, known := s.wanted(seen, now)
	if !known || s.stored.Era == wanted.Era && maps.EqualFunc(s.stored.Pools, wanted.Pools, slices.Equal) {
		s.dueSince = time.Time{}
		return
	}
	if s.dueSince.IsZero() {
		s.dueSince = now
	}
	if s.saving || now.Before(s.nextTry) || now.Sub(s.dueSince) < time.Duration(s.rank())*saveStep {
		return
	}
	s.write(wanted)
}

// wanted returns the record as it should be; false if this node can't tell. It must be called with the
// lock held.
func (s *versionStore) wanted(seen *observed, now time.Time) (versionRecord, bool) {
	covers := seen.covers(now)
	if !covers && !s.complete {
		return versionRecord{}, false
	}
	kept := map[string][]string{}
	for pool, versions := range s.stored.Pools {
		for _, version := range versions {
			if s.keeps(Origin{Pool: pool, SoftwareVersion: version}, covers, now) {
				kept[pool] = append(kept[pool], version)
			}
		}
	}
	pools := union(seen.versions, kept)
	if !covers {
		pools = union(pools, s.unsaved)
	}
	return versionRecord{Era: s.era(), Pools: pools}, true
}

// keeps reports whether a saved version stays saved although this node may not have seen it within the
// retention: another node may have seen it just before this one, or in a gap of this node's view. It must
// be called with the lock held.
func (s *versionStore) keeps(origin Origin, covers bool, now time.Time) bool {
	known := s.known[origin]
	return now.Sub(known.readAt) <= retention || !covers && now.Sub(known.unseenSince) <= maxUnseen
}

// rank is this node's place among those that write.
func (s *versionStore) rank() int {
	nodes := slices.Sorted(slices.Values(s.nodes()))
	if rank := slices.Index(nodes, s.address); rank >= 0 {
		return rank
	}
	return firstOtherRank + int(xxhash.Sum64String(s.address)%lateRanks)
}

// write writes the record, provided that the known one is still stored. It must be called with the lock
// held.
func (s *versionStore) write(record versionRecord) {
	value, err := json.Marshal(record)
	if err == nil && len(value) > maxRecordBytes {
		s.nextTry = time.Now().Add(maxSavePause)
		if s.revision != 0 && s.stored.isMarker() {
			return
		}
		s.logger.Error().Int("bytes", len(value)).Int("pools", len(record.Pools)).Msg("too many software versions to save")
		record = versionRecord{Era: noEra}
		value, err = json.Marshal(record)
	}
	if err != nil {
		s.logger.Error().Err(err).Msg("software versions could not be encoded")
		return
	}
	s.saving = true
	transaction := outside.Transaction{
		Compares:   []outside.Compare{{Key: s.key, ModRevision: s.revision}},
		Operations: []outside.Operation{{Kind: outside.OperationPut, Key: s.key, Value: value}},
	}
	// The store may wait for its share of the calls.
	go s.store.Transact(transaction, storeTimeout, func(reply outside.TransactionResult, err error) { s.written(record, reply, err) })
}

// written handles the result of a write. After a conflict, the next one is based on the record found.
func (s *versionStore) written(record versionRecord, reply outside.TransactionResult, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.saving = false
	switch {
	case err != nil:
		s.pause = min(max(2*s.pause, minSavePause), maxSavePause)
		s.nextTry = time.Now().Add(s.pause)
		s.logger.Warn().Err(err).Dur("pause_ms", s.pause).Msg("software versions not saved yet")
		return
	case reply.Succeeded && reply.Revision >= s.revision && record.Era == s.era():
		s.revision, s.unsaved = reply.Revision, nil
		s.setStored(record)
		s.logger.Info().Int("pools", len(record.Pools)).Int64("revision", reply.Revision).Msg("software versions saved")
	case !reply.Succeeded && reply.Revision >= s.revision:
		s.applyKeys(reply.Current)
	}
	s.pause = 0
	s.publish()
}

// union returns the versions of both by pool, in order.
func union(a, b map[string][]string) map[string][]string {
	all := make(map[string][]string, len(a))
	for _, pools := range []map[string][]string{a, b} {
		for pool, versions := range pools {
			merged := slices.Concat(all[pool], versions)
			slices.Sort(merged)
			all[pool] = slices.Compact(merged)
		}
	}
	return all
}
