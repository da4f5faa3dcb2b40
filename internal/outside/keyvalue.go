package outside

import (
	"errors"
	"time"
)

// LeaseID identifies a lease; 0 is no lease.
type LeaseID int64

// KeyValue is one key of the key-value service.
type KeyValue struct {
	Key   string
	Value []byte
	// CreateRevision is the service's revision at which the key came into being: a
	// key that was removed and written again has another one.
	CreateRevision int64
	// ModRevision is the service's revision at which the key was last written.
	ModRevision int64
	Lease       LeaseID
}

// Compare holds when the key's ModRevision equals the one given; 0 means that
// the key must not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// OperationKind is what an Operation does.
type OperationKind uint8

// The kinds of operation.
const (
	OperationPut OperationKind = iota
	OperationDelete
)

// Operation is one write inside a transaction.
type Operation struct {
	Kind  OperationKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction writes all operations if all compares hold. Otherwise nothing is
// written and the compared keys are read.
type Transaction struct {
	Compares   []Compare
	Operations []Operation
}

// TransactionResult is the reply to a Transaction.
type TransactionResult struct {
	Succeeded bool
	// Revision of the service after the transaction.
	Revision int64
	// Current holds the compared keys that exist, when not succeeded.
	Current []KeyValue
}

// RangeResult is the reply to a Range.
type RangeResult struct {
	// Revision of the service at which the keys were read.
	Revision int64
	// KeyValues in order of key.
	KeyValues []KeyValue
}

// WatchEvent is one change seen by a watch.
type WatchEvent struct {
	Deleted  bool
	KeyValue KeyValue
}

// WatchHandler receives a watch's events in order of revision. Lost is called
// when events may have been missed (compaction, gap, disconnect); the watch
// then has ended, and the receiver must read the range again and watch anew.
type WatchHandler interface {
	Events(revision int64, events []WatchEvent)
	Lost(err error)
}

// Errors of the key-value service. Bindings wrap them; test with errors.Is.
var (
	// ErrNotApplied: the operation certainly had no effect (refused, rate
	// limited, or never sent).
	ErrNotApplied = errors.New("key-value operation not applied")
	// ErrAmbiguous: the operation may or may not have taken effect.
	ErrAmbiguous = errors.New("key-value operation outcome unknown")
	// ErrLeaseNotFound: the lease has lapsed or was revoked.
	ErrLeaseNotFound = errors.New("lease gone")
	// ErrCompacted: the revision asked for is no longer kept.
	ErrCompacted = errors.New("revision compacted")
)

// KeyValueService is the platform's small key-value service.
type KeyValueService interface {
	// Transact runs a transaction. Errors: ErrNotApplied, ErrAmbiguous.
	Transact(transaction Transaction, timeout time.Duration, done func(TransactionResult, error))
	// Range reads all keys with the prefix, linearizably.
	Range(prefix string, timeout time.Duration, done func(RangeResult, error))
	// GrantLease creates a lease. An ambiguous grant leaves a lease that lapses.
	GrantLease(timeToLive, timeout time.Duration, done func(LeaseID, error))
	// KeepAlive extends a lease by its time to live. Errors: ErrLeaseGone,
	// ErrNotApplied, ErrAmbiguous.
	KeepAlive(lease LeaseID, timeout time.Duration, done func(error))
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(lease LeaseID, timeout time.Duration, done func(error))
	// Watch delivers changes of keys with the prefix after fromRevision. The
	// handler is called like a done callback, but repeatedly. After stop
	// returned no new call begins.
	Watch(prefix string, fromRevision int64, handler WatchHandler) (stop func())
}
