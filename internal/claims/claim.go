// Package claims makes non-repeatable requests run at most once: before a gateway sends such a
// request to a back end, it claims the request's key by votes from a majority of the acceptors of the
// key's shard.
package claims

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Verdict is the outcome of a claim.
type Verdict uint8

// Verdicts of a claim.
const (
	// Granted: this attempt holds the key; no other attempt may run.
	Granted Verdict = iota
	// Denied: another attempt holds the key. Result.Outcome is its outcome if one is recorded.
	Denied
	// Unavailable: no majority voted before the deadline; this attempt must not run.
	Unavailable
	// Conflict: the key was claimed with another digest, that is for another request.
	Conflict
)

// Outcome is the recorded response to the attempt that held a key.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated: the response can't be replayed, since its body was longer than MaxOutcomeBytes or
	// the gateway's own limit, or could not be encoded.
	Truncated bool
}

// Key identifies a non-repeatable request of a tenant.
type Key struct {
	Tenant string
	Value  string
}

// Result is the result of a claim.
type Result struct {
	Verdict Verdict
	// Holder is the claiming attempt's id if the verdict is Granted. If it is Denied, Holder is the
	// holder id that the acceptors recorded, which is the other attempt's id with the number of its
	// winning round appended, as in "attempt/1"; empty if no single holder is known.
	Holder outside.AttemptID
	// Outcome of the holder; nil if none is recorded.
	Outcome *Outcome
}

// Claimer claims keys for the gateway.
type Claimer interface {
	// Claim tries to claim the key for the attempt until the deadline. Digest is a hash of the
	// request; it detects a key that is reused for another request. Done follows the contract for
	// callbacks in package outside.
	Claim(key Key, attempt outside.AttemptID, digest uint64, deadline time.Time, done func(Result))
	// Record stores the outcome of the attempt that holds the key, as a best effort.
	Record(key Key, attempt outside.AttemptID, outcome Outcome)
	// Release removes the claim of an attempt that certainly did not run, so that another attempt
	// can claim the key. Best effort.
	Release(key Key, attempt outside.AttemptID)
}
