package outside

import (
	"errors"
	"time"
)

// LeaseID identifies a lease; 0 is no lease.
type LeaseID int64

// Lease is a lease that was granted.
type Lease struct {
	ID LeaseID
	// TimeToLive that applies, from each renewal on.
	TimeToLive time.Duration
}

// KeyValue is one key of the key-value service.
type KeyValue struct {
	Key   string
	Value []byte
	// CreateRevision is the revision at which the key was created. It changes when the key
	// is deleted and written again.
	CreateRevision int64
	// ModRevision is the revision of the key's last write.
	ModRevision int64
	Lease       LeaseID
}

// Compare is a condition of a transaction: the key's ModRevision equals the given one, or,
// if that is 0, the key does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// OperationKind is the kind of an Operation.
type OperationKind uint8

// The kinds of operation.
const (
	OperationPut OperationKind = iota
	OperationDelete
)

// Operation is one write in a transaction.
type Operation struct {
	Kind  OperationKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Transaction applies all Operations atomically if all Compares hold. Otherwise nothing is
// written and the compared keys are read.
type Transaction struct {
	Compares   []Compare
	Operations []Operation
}

// TransactionResult is the result of a Transaction.
type TransactionResult struct {
	Succeeded bool
	// Revision is the service's revision after the transaction.
	Revision int64
	// Current holds those of the compared keys that exist, if not Succeeded.
	Current []KeyValue
}

// RangeResult is the result of a Range.
type RangeResult struct {
	// Revision is the service's revision at which the keys were read.
	Revision int64
	// KeyValues are sorted by key.
	KeyValues []KeyValue
}

// WatchEvent is one change of a watched key.
type WatchEvent struct {
	Deleted  bool
	KeyValue KeyValue
}

// WatchHandler receives the events of a watch in order of revision. Lost is called when the
// watch has terminated and events may have been missed (compaction, gap, disconnect); the
// receiver must then read the range again and start a new watch.
type WatchHandler interface {
	Events(revision int64, events []WatchEvent)
	Lost(err error)
}

// Errors of the key-value service. Clients wrap them; test with errors.Is.
var (
	// ErrNotApplied means that the operation certainly had no effect: it was refused, rate
	// limited or never sent.
	ErrNotApplied = errors.New("key-value operation not applied")
	// ErrAmbiguous means that the operation may or may not have taken effect.
	ErrAmbiguous = errors.New("key-value operation outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that the requested revision is no longer retained.
	ErrCompacted = errors.New("revision compacted")
)

// KeyValueService is the interface to the platform's key-value service.
type KeyValueService interface {
	// Transact runs a transaction. Errors: ErrNotApplied, ErrAmbiguous.
	Transact(transaction Transaction, timeout time.Duration, done func(TransactionResult, error))
	// Range reads all keys with the prefix, linearizably.
	Range(prefix string, timeout time.Duration, done func(RangeResult, error))
	// GrantLease creates a lease. The service may apply another time to live. After ErrAmbiguous a lease may exist; as nothing renews
	// it, it expires.
	GrantLease(timeToLive, timeout time.Duration, done func(Lease, error))
	// KeepAlive renews a lease for its time to live. Errors: ErrLeaseNotFound,
	// ErrNotApplied, ErrAmbiguous.
	KeepAlive(lease LeaseID, timeout time.Duration, done func(error))
	// RevokeLease revokes a lease and deletes its keys.
	RevokeLease(lease LeaseID, timeout time.Duration, done func(error))
	// Watch delivers the changes after fromRevision of keys with the prefix. The rules of
	// done callbacks apply to the calls of the handler, except that there are many. No call
	// starts after stop has returned.
	Watch(prefix string, fromRevision int64, handler WatchHandler) (stop func())
}
