package membership

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// CellPrefix is the key prefix of ownership records in the key-value service.
const CellPrefix = "cells/"

// OwnershipOptions configure an OwnershipManager.
type OwnershipOptions struct {
	// OwnerGrace is how long an owner must have been absent from the live members
	// before its cell is taken over.
	OwnerGrace time.Duration
	// UnseenOwnerGrace replaces OwnerGrace for an owner that has never been among
	// this node's live members.
	UnseenOwnerGrace time.Duration
	// HandoverDelay is how long another member must have had the highest
	// rendezvous score for a cell before the owner hands the cell over. A draining
	// owner does not wait.
	HandoverDelay time.Duration
	// TickInterval is the interval at which Start calls Tick.
	TickInterval time.Duration
	// Timeout limits one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed write or
	// read-back is repeated.
	MinBackoff, MaxBackoff time.Duration
	// MaxInFlight is the maximum number of concurrent writes and read-backs.
	MaxInFlight int
	// Eligible reports whether a member may own a cell. If it is nil, all members
	// may.
	Eligible func(cell string, member Member) bool
	// Watch configures the watch of the ownership records.
	Watch keywatch.Options
}

// DefaultOwnershipOptions returns the options used in production.
func DefaultOwnershipOptions() OwnershipOptions {
	watch := keywatch.DefaultOptions(CellPrefix)
	watch.RecoveryJitter = 5 * time.Second
	return OwnershipOptions{
		OwnerGrace:       time.Second,
		UnseenOwnerGrace: 30 * time.Second,
		HandoverDelay:    30 * time.Second,
		TickInterval:     500 * time.Millisecond,
		Timeout:          2 * time.Second,
		MinBackoff:       300 * time.Millisecond,
		MaxBackoff:       10 * time.Second,
		MaxInFlight:      4,
		Watch:            watch,
	}
}

// ownerRecord is the value of a cell's key, encoded as JSON.
type ownerRecord struct {
	Epoch  uint64
	Member Member
	Vacant bool
	// Token is unique to each write, so that a write whose reply was lost is
	// recognised when the record is read back.
	Token string
}

func (r ownerRecord) encode() []byte {
	encoded, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return encoded
}

func decodeOwnerRecord(value []byte) (ownerRecord, error) {
	var record ownerRecord
	err := json.Unmarshal(value, &record)
	return record, err
}
