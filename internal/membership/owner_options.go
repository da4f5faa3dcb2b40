package membership

import (
	"encoding/json"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership/keywatch"
)

// CellPrefix is where ownership is recorded in the key-value service.
const CellPrefix = "cells/"

// OwnershipOptions of Owners.
type OwnershipOptions struct {
	// OwnerGrace is how long an owner must be seen missing, after the
	// Registry removed it, before its cell is taken over.
	OwnerGrace time.Duration
	// UnseenOwnerGrace replaces OwnerGrace for an owner that this node never
	// saw alive.
	UnseenOwnerGrace time.Duration
	// HandoverDelay is how long another member must have been the one that
	// should own a cell before the owner hands it over. A draining owner does
	// not wait.
	HandoverDelay time.Duration
	// TickEvery is the period of Tick when Start drives it.
	TickEvery time.Duration
	// Timeout of one call to the key-value service.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the pause before a failed write is
	// tried or read back again.
	MinBackoff, MaxBackoff time.Duration
	// MaxInFlight bounds the writes and read-backs under way at once.
	MaxInFlight int
	// Eligible tells whether a member may own a cell; nil: all may.
	Eligible func(cell string, member Member) bool
	Watch    keywatch.Options
}

// DefaultOwnershipOptions returns the options used in a node.
func DefaultOwnershipOptions() OwnershipOptions {
	watch := keywatch.DefaultOptions(CellPrefix)
	watch.RecoverySpread = 5 * time.Second
	return OwnershipOptions{
		OwnerGrace:       time.Second,
		UnseenOwnerGrace: 30 * time.Second,
		HandoverDelay:    30 * time.Second,
		TickEvery:        500 * time.Millisecond,
		Timeout:          2 * time.Second,
		MinBackoff:       300 * time.Millisecond,
		MaxBackoff:       10 * time.Second,
		MaxInFlight:      4,
		Watch:            watch,
	}
}

// ownerRecord is the value of a cell's key.
type ownerRecord struct {
	Epoch  uint64
	Member Member
	Vacant bool
	// Token is unique to the write, so that a write whose reply was lost is
	// recognised when it is read back.
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
