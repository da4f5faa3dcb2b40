package slopes

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// meteredKeyValues counts one hollow node's calls to the key-value service.
type meteredKeyValues struct {
	outside.KeyValueService
	meter *Meter
	// leases: which keys a lease is for is not known, so it counts for the
	// only part that uses leases, the membership.
}

// jsonFields are the bytes of the field names, numbers and brackets around one
// key in the JSON form: {"key":"","value":"","mod_revision":"123456"},
const jsonFields = 60

// base64Bytes is the length of bytes in the JSON form of the service.
func base64Bytes(count int) float64 { return float64((count + 2) / 3 * 4) }

func pairBytes(pair outside.KeyValue) float64 {
	return base64Bytes(len(pair.Key)) + base64Bytes(len(pair.Value)) + jsonFields
}

func pairsBytes(pairs []outside.KeyValue) float64 {
	size := 0.0
	for _, pair := range pairs {
		size += pairBytes(pair)
	}
	return size
}

// operation counts a call with the size of its request's body.
func (m *Meter) operation(role Role, kind string, requestBytes float64) {
	if m.running {
		m.kind(role, "key-value "+kind).add(Counts{
			Messages: 2, Bytes: HTTPCallBytes + requestBytes, KeyValueOperations: 1,
		})
	}
}

// body counts the size of a reply's body or of an event.
func (m *Meter) body(role Role, kind string, messages, size float64) {
	if m.running {
		m.kind(role, "key-value "+kind).add(Counts{Messages: messages, Bytes: size})
	}
}

// Transact implements outside.KeyValueService.
func (s *meteredKeyValues) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	role, size := RoleHarness, 0.0
	for _, compare := range transaction.Compares {
		role = roleOfKey(compare.Key)
		size += base64Bytes(len(compare.Key)) + jsonFields
	}
	for _, operation := range transaction.Operations {
		role = roleOfKey(operation.Key)
		size += base64Bytes(len(operation.Key)) + base64Bytes(len(operation.Value)) + jsonFields
	}
	s.meter.operation(role, "transact", size)
	s.KeyValueService.Transact(transaction, timeout, func(result outside.TransactionResult, err error) {
		s.meter.body(role, "transact", 0, pairsBytes(result.Current))
		done(result, err)
	})
}

// Range implements outside.KeyValueService.
func (s *meteredKeyValues) Range(prefix string, timeout time.Duration, done func(outside.RangeResult, error)) {
	role := roleOfKey(prefix)
	s.meter.operation(role, "range", 2*base64Bytes(len(prefix)))
	s.KeyValueService.Range(prefix, timeout, func(result outside.RangeResult, err error) {
		s.meter.body(role, "range", 0, pairsBytes(result.KeyValues))
		done(result, err)
	})
}

// GrantLease implements outside.KeyValueService.
func (s *meteredKeyValues) GrantLease(timeToLive, timeout time.Duration, done func(outside.LeaseID, error)) {
	s.meter.operation(RoleMembership, "grant lease", jsonFields)
	s.KeyValueService.GrantLease(timeToLive, timeout, done)
}

// KeepAlive implements outside.KeyValueService.
func (s *meteredKeyValues) KeepAlive(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	s.meter.operation(RoleMembership, "keep-alive", 2*jsonFields)
	s.KeyValueService.KeepAlive(lease, timeout, done)
}

// RevokeLease implements outside.KeyValueService.
func (s *meteredKeyValues) RevokeLease(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	s.meter.operation(RoleMembership, "revoke lease", jsonFields)
	s.KeyValueService.RevokeLease(lease, timeout, done)
}

// Watch implements outside.KeyValueService.
func (s *meteredKeyValues) Watch(prefix string, fromRevision int64, handler outside.WatchHandler) (stop func()) {
	role := roleOfKey(prefix)
	s.meter.operation(role, "watch", 2*base64Bytes(len(prefix)))
	return s.KeyValueService.Watch(prefix, fromRevision, &meteredWatch{WatchHandler: handler, meter: s.meter, role: role})
}

// meteredWatch counts the events of one watch.
type meteredWatch struct {
	outside.WatchHandler
	meter *Meter
	role  Role
}

// Events implements outside.WatchHandler.
func (w *meteredWatch) Events(revision int64, events []outside.WatchEvent) {
	size := float64(jsonFields)
	for _, event := range events {
		size += pairBytes(event.KeyValue)
	}
	w.meter.body(w.role, "watch", 1, size)
	w.WatchHandler.Events(revision, events)
}
