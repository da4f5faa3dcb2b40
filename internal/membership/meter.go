package membership

import (
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// OperationCounts holds the number of calls made to a key-value service, by kind.
type OperationCounts struct {
	Transactions, Ranges, LeaseGrants, KeepAlives, LeaseRevokes, Watches uint64
}

// Total returns the sum of all calls.
func (c OperationCounts) Total() uint64 {
	return c.Transactions + c.Ranges + c.LeaseGrants + c.KeepAlives + c.LeaseRevokes + c.Watches
}

// Meter is a key-value service that counts the calls and forwards them to another
// one.
type Meter struct {
	service outside.KeyValueService

	transactions, ranges, leaseGrants, keepAlives, leaseRevokes, watches atomic.Uint64
}

// NewMeter returns a meter that forwards to the service.
func NewMeter(service outside.KeyValueService) *Meter { return &Meter{service: service} }

// Counts returns the number of calls so far.
func (m *Meter) Counts() OperationCounts {
	return OperationCounts{
		Transactions: m.transactions.Load(),
		Ranges:       m.ranges.Load(),
		LeaseGrants:  m.leaseGrants.Load(),
		KeepAlives:   m.keepAlives.Load(),
		LeaseRevokes: m.leaseRevokes.Load(),
		Watches:      m.watches.Load(),
	}
}

// Transact implements outside.KeyValueService.
func (m *Meter) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	m.transactions.Add(1)
	m.service.Transact(transaction, timeout, done)
}

// Range implements outside.KeyValueService.
func (m *Meter) Range(prefix string, timeout time.Duration, done func(outside.RangeResult, error)) {
	m.ranges.Add(1)
	m.service.Range(prefix, timeout, done)
}

// GrantLease implements outside.KeyValueService.
func (m *Meter) GrantLease(timeToLive, timeout time.Duration, done func(outside.Lease, error)) {
	m.leaseGrants.Add(1)
	m.service.GrantLease(timeToLive, timeout, done)
}

// KeepAlive implements outside.KeyValueService.
func (m *Meter) KeepAlive(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	m.keepAlives.Add(1)
	m.service.KeepAlive(lease, timeout, done)
}

// RevokeLease implements outside.KeyValueService.
func (m *Meter) RevokeLease(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	m.leaseRevokes.Add(1)
	m.service.RevokeLease(lease, timeout, done)
}

// Watch implements outside.KeyValueService.
func (m *Meter) Watch(prefix string, fromRevision int64, handler outside.WatchHandler) (stop func()) {
	m.watches.Add(1)
	return m.service.Watch(prefix, fromRevision, handler)
}
