package keyvalue

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// errRestored ends the watches of a store that is restored from a backup.
var errRestored = errors.New("key-value service restored from a backup")

// Backup is a copy of what a store held at one moment.
type Backup struct {
	revision  int64
	keys      keySpace
	history   history
	leases    map[outside.LeaseID]time.Duration
	lastLease outside.LeaseID
}

// Backup copies the keys, the leases and the history of changes.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	backup := Backup{
		revision: s.revision, lastLease: s.leases.last, leases: map[outside.LeaseID]time.Duration{},
		keys:    keySpace{entries: maps.Clone(s.keys.entries), ordered: slices.Clone(s.keys.ordered)},
		history: history{limit: s.history.limit, compacted: s.history.compacted, revisions: slices.Clone(s.history.revisions)},
	}
	for id, lease := range s.leases.byID {
		backup.leases[id] = lease.timeToLive
	}
	return backup
}

// Restore puts the store back to a backup and begins another era: what was acknowledged since
// is lost, its revisions and leases are given out again, and all watches end. The leases of
// the backup run anew.
func (s *Store) Restore(backup Backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endWatches(errRestored)
	s.leases.stopTimers()
	s.era++
	s.revision = backup.revision
	s.keys = keySpace{entries: maps.Clone(backup.keys.entries), ordered: slices.Clone(backup.keys.ordered)}
	s.history = history{limit: backup.history.limit, compacted: backup.history.compacted, revisions: slices.Clone(backup.history.revisions)}
	s.leases = leaseTable{byID: map[outside.LeaseID]*lease{}, last: backup.lastLease}
	for _, id := range slices.Sorted(maps.Keys(backup.leases)) {
		s.restoreLease(id, backup.leases[id])
	}
}

// restoreLease must be called with the lock held, after the keys were restored.
func (s *Store) restoreLease(id outside.LeaseID, timeToLive time.Duration) {
	restored := &lease{id: id, timeToLive: timeToLive, deadline: s.clock.Now().Add(timeToLive), keys: map[string]struct{}{}}
	for key, keyValue := range s.keys.entries {
		if keyValue.Lease == id {
			restored.keys[key] = struct{}{}
		}
	}
	s.leases.byID[id] = restored
	s.armExpiry(restored, timeToLive)
}

// Era counts the restores.
func (s *Store) Era() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.era
}
