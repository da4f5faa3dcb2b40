package keyvalue

import (
	"errors"
	"fmt"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
)

// Simulated is a client process's binding of outside.KeyValueService to a
// store in another simulated process.
type Simulated struct {
	network *simulation.Network
	server  *simulation.Process
	client  *simulation.Process
	store   *Store
}

var _ outside.KeyValueService = (*Simulated)(nil)

// NewSimulated returns a binding for the client process. The store should be
// driven by the server process's clock.
func NewSimulated(network *simulation.Network, server, client *simulation.Process, store *Store) *Simulated {
	return &Simulated{network: network, server: server, client: client, store: store}
}

// Transact implements outside.KeyValueService.
func (s *Simulated) Transact(transaction outside.Transaction, timeout time.Duration, done func(outside.TransactionResult, error)) {
	run := func() (outside.TransactionResult, error) { return s.store.Transact(transaction) }
	call(s, KindTransact, timeout, run, done)
}

// Range implements outside.KeyValueService.
func (s *Simulated) Range(prefix string, timeout time.Duration, done func(outside.RangeResult, error)) {
	run := func() (outside.RangeResult, error) { return s.store.Range(prefix), nil }
	call(s, KindRange, timeout, run, done)
}

// GrantLease implements outside.KeyValueService.
func (s *Simulated) GrantLease(timeToLive, timeout time.Duration, done func(outside.Lease, error)) {
	run := func() (outside.Lease, error) {
		id, err := s.store.GrantLease(timeToLive)
		return outside.Lease{ID: id, TimeToLive: timeToLive}, err
	}
	call(s, KindGrantLease, timeout, run, done)
}

// KeepAlive implements outside.KeyValueService.
func (s *Simulated) KeepAlive(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	run := func() (time.Duration, error) { return s.store.KeepAlive(lease) }
	call(s, KindKeepAlive, timeout, run, func(_ time.Duration, err error) { done(err) })
}

// RevokeLease implements outside.KeyValueService.
func (s *Simulated) RevokeLease(lease outside.LeaseID, timeout time.Duration, done func(error)) {
	run := func() (struct{}, error) { return struct{}{}, s.store.RevokeLease(lease) }
	call(s, KindRevokeLease, timeout, run, func(_ struct{}, err error) { done(err) })
}

type reply[Result any] struct {
	result Result
	err    error
}

// call runs one operation at the server. The connection is a stream, so a
// request repeated by the network is served once.
func call[Result any](s *Simulated, kind Kind, timeout time.Duration, run func() (Result, error), done func(Result, error)) {
	served := false
	simulation.Call[reply[Result]]{
		Network: s.network, Client: s.client, Server: s.server, Timeout: timeout,
		Serve: func(answer func(reply[Result])) {
			if served {
				return
			}
			served = true
			Submit(s.store, kind, run, func(result Result, err error) {
				if errors.Is(err, ErrReplyLost) {
					return
				}
				answer(reply[Result]{result: result, err: err})
			})
		},
		OnReply: func(reply reply[Result]) { done(reply.result, reply.err) },
		OnTimeout: func() {
			var none Result
			done(none, fmt.Errorf("%w: no reply to %s within %s", outside.ErrAmbiguous, kind, timeout))
		},
	}.Start()
}
