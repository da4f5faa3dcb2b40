package keyvalue

import (
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// lease is one granted lease. Its timer is re-armed only when it fires, so a
// keep-alive costs no timer.
type lease struct {
	id         outside.LeaseID
	timeToLive time.Duration
	deadline   time.Time
	timer      clock.Timer
	keys       map[string]struct{}
}

// leaseTable holds the leases that have not ended.
type leaseTable struct {
	byID map[outside.LeaseID]*lease
	last outside.LeaseID
}

func newLeaseTable() leaseTable {
	return leaseTable{byID: map[outside.LeaseID]*lease{}}
}

func (t *leaseTable) allExist(operations []outside.Operation) bool {
	for _, operation := range operations {
		if operation.Lease == 0 {
			continue
		}
		if _, exists := t.byID[operation.Lease]; !exists {
			return false
		}
	}
	return true
}

func (t *leaseTable) attach(id outside.LeaseID, key string) {
	if lease, exists := t.byID[id]; exists {
		lease.keys[key] = struct{}{}
	}
}

func (t *leaseTable) detach(id outside.LeaseID, key string) {
	if lease, exists := t.byID[id]; exists {
		delete(lease.keys, key)
	}
}

func (t *leaseTable) stopTimers() {
	for _, lease := range t.byID {
		lease.timer.Stop()
	}
}

// GrantLease creates a lease. The time to live must be positive.
func (s *Store) GrantLease(timeToLive time.Duration) (outside.LeaseID, error) {
	if timeToLive <= 0 {
		return 0, errBadTimeToLive
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return 0, errClosed
	}
	s.leases.last++
	granted := &lease{
		id:         s.leases.last,
		timeToLive: timeToLive,
		deadline:   s.clock.Now().Add(timeToLive),
		keys:       map[string]struct{}{},
	}
	s.leases.byID[granted.id] = granted
	s.armExpiry(granted, timeToLive)
	return granted.id, nil
}

// KeepAlive extends a lease by its time to live, which it returns.
func (s *Store) KeepAlive(id outside.LeaseID) (time.Duration, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease, exists := s.leases.byID[id]
	if !exists || !s.clock.Now().Before(lease.deadline) {
		return 0, errLeaseNotFound
	}
	lease.deadline = s.clock.Now().Add(lease.timeToLive)
	return lease.timeToLive, nil
}

// RevokeLease ends a lease and deletes its keys.
func (s *Store) RevokeLease(id outside.LeaseID) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lease, exists := s.leases.byID[id]
	if !exists {
		return errLeaseNotFound
	}
	lease.timer.Stop()
	s.endLease(lease, CauseRevoke)
	return nil
}

// Leases counts the leases that have not ended.
func (s *Store) Leases() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.leases.byID)
}

func (s *Store) armExpiry(lease *lease, delay time.Duration) {
	lease.timer = s.clock.AfterFunc(delay, func() { s.checkExpiry(lease) })
}

func (s *Store) checkExpiry(lease *lease) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, exists := s.leases.byID[lease.id]; !exists || s.closed {
		return
	}
	remaining := lease.deadline.Sub(s.clock.Now())
	if remaining > 0 {
		s.armExpiry(lease, remaining)
		return
	}
	s.counters.LeasesExpired++
	s.endLease(lease, CauseExpiry)
}

func (s *Store) endLease(lease *lease, cause Cause) {
	delete(s.leases.byID, lease.id)
	keys := make([]string, 0, len(lease.keys))
	for key := range lease.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	deletions := make([]outside.Operation, 0, len(keys))
	for _, key := range keys {
		deletions = append(deletions, outside.Operation{Kind: outside.OperationDelete, Key: key})
	}
	s.commit(cause, deletions)
}
