// Package wire defines those messages of the JSON gateway of etcd v3 that hatchplank uses. Keys
// and values are encoded in base64 and 64-bit integers as decimal strings; fields with their
// zero value are omitted.
package wire

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// The paths of the calls.
const (
	PathTransact      = "/v3/kv/txn"
	PathRange         = "/v3/kv/range"
	PathLeaseGrant    = "/v3/lease/grant"
	PathKeepAlive     = "/v3/lease/keepalive"
	PathLeaseRevoke   = "/v3/lease/revoke"
	PathKVLeaseRevoke = "/v3/kv/lease/revoke"
	PathWatch         = "/v3/watch"
)

// Int64 is an integer that is encoded as a decimal string and decoded from a string or a
// number.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(encoded []byte) error {
	digits := bytes.Trim(encoded, `"`)
	value, err := strconv.ParseInt(string(digits), 10, 64)
	if err != nil {
		return eris.Wrap(err, "not a 64-bit integer")
	}
	*i = Int64(value)
	return nil
}

// Header is part of every response.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// The target and result of the only comparison in use: the modification revision of the key
// equals a given one.
const (
	TargetModRevision = "MOD"
	ResultEqual       = "EQUAL"
)

// Compare is one condition of a transaction. A key that does not exist has revision 0.
type Compare struct {
	Result      string `json:"result,omitempty"`
	Target      string `json:"target,omitempty"`
	Key         []byte `json:"key,omitempty"`
	ModRevision Int64  `json:"mod_revision"`
}

// RequestOperation is one operation of a transaction. Exactly one field is set.
type RequestOperation struct {
	Put         *PutRequest    `json:"request_put,omitempty"`
	DeleteRange *DeleteRequest `json:"request_delete_range,omitempty"`
	Range       *RangeRequest  `json:"request_range,omitempty"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// DeleteRequest deletes a key.
type DeleteRequest struct {
	Key []byte `json:"key,omitempty"`
}

// RangeRequest reads the keys from Key to RangeEnd, exclusive. Without RangeEnd it reads only
// Key.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header    Header     `json:"header"`
	KeyValues []KeyValue `json:"kvs,omitempty"`
}

// TransactRequest executes Success if all Compares hold, else Failure.
type TransactRequest struct {
	Compares []Compare          `json:"compare,omitempty"`
	Success  []RequestOperation `json:"success,omitempty"`
	Failure  []RequestOperation `json:"failure,omitempty"`
}

// ResponseOperation is the result of one operation of a transaction.
type ResponseOperation struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TransactResponse is the response to a TransactRequest.
type TransactResponse struct {
	Header    Header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []ResponseOperation `json:"responses,omitempty"`
}

// LeaseGrantRequest creates a lease. TimeToLive is in seconds.
type LeaseGrantRequest struct {
	TimeToLive Int64 `json:"TTL,omitempty"`
	ID         Int64 `json:"ID,omitempty"`
}

// LeaseRequest identifies a lease to keep alive or to revoke.
type LeaseRequest struct {
	ID Int64 `json:"ID,omitempty"`
}

// LeaseResponse is the response to calls on leases. In the response to a keep-alive, a
// TimeToLive of 0 means that the lease has expired or was revoked.
type LeaseResponse struct {
	Header     Header `json:"header"`
	ID         Int64  `json:"ID,omitempty"`
	TimeToLive Int64  `json:"TTL,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// WatchCreateRequest selects the keys to watch and the first revision to deliver.
type WatchCreateRequest struct {
	Key            []byte `json:"key,omitempty"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// EventDelete is the type of a delete event; any other event is a put.
const EventDelete = "DELETE"

// Event is one change of a key.
type Event struct {
	Type     string   `json:"type,omitempty"`
	KeyValue KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch. Without events it is a progress notification or
// reports the creation or cancellation of the watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	WatchID         Int64   `json:"watch_id,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// StreamMessage wraps each message of a streaming call.
type StreamMessage[Result any] struct {
	Result *Result `json:"result,omitempty"`
	Error  *Error  `json:"error,omitempty"`
}

// The gRPC status codes carried in errors.
const (
	CodeInvalidArgument    = 3
	CodeNotFound           = 5
	CodeResourceExhausted  = 8
	CodeFailedPrecondition = 9
	CodeOutOfRange         = 11
	CodeUnavailable        = 14
)

// MessageNoLeader is the message with which the service refuses a call because no leader is
// elected. Of the errors with CodeUnavailable only this one implies that a write had no effect.
const MessageNoLeader = "etcdserver: no leader"

// Error is the body of an error response.
type Error struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the RangeEnd of the range of all keys with the prefix.
func PrefixEnd(prefix []byte) []byte {
	end := bytes.Clone(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
