package keyvalue

import (
	"errors"
	"net/http"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/outside/etcd/wire"
)

func (s *server) transact(w http.ResponseWriter, r *http.Request) {
	var request wire.TransactRequest
	if !readBody(w, r, &request) {
		return
	}
	transaction, err := decodeTransaction(request)
	if err != nil {
		writeError(w, err)
		return
	}
	run := func() (outside.TransactionResult, error) { return s.store.Transact(transaction) }
	result, ok := perform(s, w, r, KindTransact, run)
	if !ok {
		return
	}
	writeJSON(w, encodeTransactionResult(request, result))
}

func (s *server) readRange(w http.ResponseWriter, r *http.Request) {
	var request wire.RangeRequest
	if !readBody(w, r, &request) {
		return
	}
	selected, err := decodeSelection(request.Key, request.RangeEnd)
	if err != nil {
		writeError(w, err)
		return
	}
	run := func() (outside.RangeResult, error) { return selected.read(s.store), nil }
	result, ok := perform(s, w, r, KindRange, run)
	if !ok {
		return
	}
	writeJSON(w, encodeRange(result))
}

func (s *server) grantLease(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseGrantRequest
	if !readBody(w, r, &request) {
		return
	}
	if request.ID != 0 {
		writeError(w, errUnsupported)
		return
	}
	timeToLive := time.Duration(request.TimeToLive) * time.Second
	run := func() (outside.LeaseID, error) { return s.store.GrantLease(timeToLive) }
	id, ok := perform(s, w, r, KindGrantLease, run)
	if !ok {
		return
	}
	writeJSON(w, s.leaseResponse(id, timeToLive))
}

// keepAlive answers a lease that is gone with a time to live of zero, as the
// published interface does.
func (s *server) keepAlive(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if !readBody(w, r, &request) {
		return
	}
	id := outside.LeaseID(request.ID)
	run := func() (time.Duration, error) {
		timeToLive, err := s.store.KeepAlive(id)
		if errors.Is(err, outside.ErrLeaseNotFound) {
			return 0, nil
		}
		return timeToLive, err
	}
	timeToLive, ok := perform(s, w, r, KindKeepAlive, run)
	if !ok {
		return
	}
	response := s.leaseResponse(id, timeToLive)
	writeJSON(w, wire.StreamMessage[wire.LeaseResponse]{Result: &response})
}

func (s *server) revokeLease(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if !readBody(w, r, &request) {
		return
	}
	run := func() (struct{}, error) {
		return struct{}{}, s.store.RevokeLease(outside.LeaseID(request.ID))
	}
	if _, ok := perform(s, w, r, KindRevokeLease, run); ok {
		writeJSON(w, wire.LeaseResponse{Header: s.header()})
	}
}

func (s *server) header() wire.Header {
	return wire.Header{Revision: wire.Int64(s.store.Revision())}
}

func (s *server) leaseResponse(id outside.LeaseID, timeToLive time.Duration) wire.LeaseResponse {
	seconds := wire.Int64(timeToLive / time.Second)
	return wire.LeaseResponse{Header: s.header(), ID: wire.Int64(id), TimeToLive: seconds}
}
