package streamorigin

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

const (
	// versionsKey is the key under which tests save versions, and originsPrefix precedes those of origins.
	versionsKey, originsPrefix = "versions", "streams/"
	// storeDelay is the latency of a call, and that of a change on its way to the nodes.
	storeDelay = 4 * time.Millisecond
)

// lockedBuffer is a buffer that several goroutines write to.
type lockedBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(part []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(part)
}

// lines returns the lines with the text.
func (b *lockedBuffer) lines(text string) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return slices.DeleteFunc(strings.Split(b.buffer.String(), "\n"), func(line string) bool { return !strings.Contains(line, text) })
}

// fakeStore keeps keys, and sends changes to the nodes that get records.
type fakeStore struct {
	outside.KeyValueService
	mutex    sync.Mutex
	revision int64
	keys     map[string]outside.KeyValue
	watchers map[*testNode]bool
	// unavailable: the store answers no node.
	unavailable bool
	// writes are those of versions that succeeded, and conflicts those that did not.
	writes, conflicts int
	// leases are the ends of leases, and originWrites and originReads count the calls for origins.
	leases                    map[outside.LeaseID]time.Time
	originWrites, originReads int
}

func newFakeStore() *fakeStore {
	return &fakeStore{keys: map[string]outside.KeyValue{}, watchers: map[*testNode]bool{}, leases: map[outside.LeaseID]time.Time{}}
}

// join makes a node read all keys and get changes.
func (s *fakeStore) join(node *testNode) {
	if s.isUnavailable() {
		node.setLate(true)
	} else {
		if s.empty() {
			node.origins.SetNoEarlierProcess()
		}
		s.read(node)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watchers[node] = true
}

// read makes a node read all keys.
func (s *fakeStore) read(node *testNode) {
	era := s.era()
	if node.eraKnown && era > node.era {
		node.origins.Restored(s.all())
	} else {
		node.origins.Replace(s.all())
	}
	node.era, node.eraKnown = era, true
}

// leave ends that a node gets changes.
func (s *fakeStore) leave(node *testNode) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.watchers, node)
}

// era is that of the newest revision.
func (s *fakeStore) era() int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return outside.EraOf(s.revision)
}

// empty reports whether nothing was ever written.
func (s *fakeStore) empty() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.revision == 0
}

// all returns the keys that exist.
func (s *fakeStore) all() []outside.KeyValue {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var all []outside.KeyValue
	for _, keyValue := range s.keys {
		if keyValue.Lease == 0 || s.leaseHolds(keyValue.Lease) {
			all = append(all, keyValue)
		}
	}
	return all
}

// leaseHolds reports whether a lease has not ended. It must be called with the lock held.
func (s *fakeStore) leaseHolds(lease outside.LeaseID) bool { return time.Now().Before(s.leases[lease]) }

// GrantLease grants a lease.
func (s *fakeStore) GrantLease(timeToLive, timeout time.Duration, done func(outside.Lease, error)) {
	if s.isUnavailable() {
		time.AfterFunc(timeout, func() { done(outside.Lease{}, outside.ErrAmbiguous) })
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.originWrites++
	lease := outside.LeaseID(len(s.leases) + 1)
	s.leases[lease] = time.Now().Add(timeToLive)
	time.AfterFunc(2*storeDelay, func() { done(outside.Lease{ID: lease, TimeToLive: timeToLive}, nil) })
}

// Range reads the keys with the prefix.
func (s *fakeStore) Range(prefix string, timeout time.Duration, done func(outside.RangeResult, error)) {
	if s.isUnavailable() {
		time.AfterFunc(timeout, func() { done(outside.RangeResult{}, outside.ErrNotApplied) })
		return
	}
	s.mutex.Lock()
	s.originReads++
	s.mutex.Unlock()
	found := slices.DeleteFunc(s.all(), func(keyValue outside.KeyValue) bool { return !strings.HasPrefix(keyValue.Key, prefix) })
	time.AfterFunc(2*storeDelay, func() { done(outside.RangeResult{KeyValues: found}, nil) })
}

// originCalls returns how many calls wrote and read origins.
func (s *fakeStore) originCalls() (writes, reads int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.originWrites, s.originReads
}

// setUnavailable makes the store answer no node, or ends that.
func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
}

func (s *fakeStore) isUnavailable() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.unavailable
}

// written returns how many writes succeeded, and how many met another one.
func (s *fakeStore) written() (writes, conflicts int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes, s.conflicts
}

// Transact writes if all compares succeed.
func (s *fakeStore) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	if s.isUnavailable() {
		time.AfterFunc(timeout, func() { done(outside.TransactionResult{}, outside.ErrAmbiguous) })
		return
	}
	time.AfterFunc(storeDelay, func() {
		result, err := s.apply(transaction)
		time.AfterFunc(storeDelay, func() { done(result, err) })
	})
}

func (s *fakeStore) apply(transaction outside.Transaction) (outside.TransactionResult, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, compare := range transaction.Compares {
		if current := s.keys[compare.Key]; current.ModRevision != compare.ModRevision {
			s.conflicts++
			result := outside.TransactionResult{Revision: s.revision}
			if current.ModRevision != 0 {
				result.Current = []outside.KeyValue{current}
			}
			return result, nil
		}
	}
	for _, operation := range transaction.Operations {
		if operation.Lease != 0 && !s.leaseHolds(operation.Lease) {
			return outside.TransactionResult{}, outside.ErrLeaseNotFound
		}
	}
	s.revision++
	for _, operation := range transaction.Operations {
		event := outside.WatchEvent{KeyValue: outside.KeyValue{Key: operation.Key, Value: operation.Value, ModRevision: s.revision, Lease: operation.Lease}}
		if strings.HasPrefix(operation.Key, originsPrefix) {
			s.originWrites++
			s.keys[operation.Key] = event.KeyValue
			continue
		}
		s.writes++
		s.keys[operation.Key] = event.KeyValue
		for watcher := range s.watchers {
			time.AfterFunc(storeDelay, func() {
				if !watcher.isLate() {
					watcher.origins.Change(event)
				}
			})
		}
	}
	return outside.TransactionResult{Succeeded: true, Revision: s.revision}, nil
}

// restore replaces the keys by those of a backup, in another era, and notifies the nodes.
func (s *fakeStore) restore(backup []outside.KeyValue) {
	s.mutex.Lock()
	era := outside.EraOf(s.revision) + 1
	s.revision = outside.RevisionOf(era, 1000)
	s.keys, s.leases = map[string]outside.KeyValue{}, map[outside.LeaseID]time.Time{}
	for _, keyValue := range backup {
		if keyValue.Lease != 0 {
			s.leases[keyValue.Lease] = time.Now().Add(leaseTime)
		}
		keyValue.ModRevision = outside.RevisionOf(era, outside.OwnRevision(keyValue.ModRevision))
		s.keys[keyValue.Key] = keyValue
	}
	var nodes []*testNode
	for watcher := range s.watchers {
		nodes = append(nodes, watcher)
	}
	s.mutex.Unlock()
	for _, node := range nodes {
		if !node.isLate() {
			s.read(node)
		}
	}
}
