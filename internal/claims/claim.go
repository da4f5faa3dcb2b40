// Package claims makes non-repeatable requests run at most once: before a
// gateway sends such a request to a back end, it claims the request's key at a
// majority of the key's shard.
package claims

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Verdict is the outcome of a claim.
type Verdict uint8

// The verdicts.
const (
	// Granted: this attempt, and no other, may run.
	Granted Verdict = iota
	// Denied: another attempt holds the key; the outcome is given if known.
	Denied
	// Unavailable: no majority answered in time; this attempt must not run.
	Unavailable
	// Conflict: the key was claimed for another request body.
	Conflict
)

// Outcome is the recorded end of the run that held a key.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated: the body was too large to keep.
	Truncated bool
}

// Key identifies a non-repeatable request of a tenant.
type Key struct {
	Tenant string
	Value  string
}

// Result is what a claim came to.
type Result struct {
	Verdict Verdict
	// Holder is the attempt that holds the key when Denied.
	Holder outside.AttemptID
	// Outcome of the holder, nil if not recorded yet.
	Outcome *Outcome
}

// Claimer is what the gateway uses.
type Claimer interface {
	// Claim tries to take the key for the attempt. Digest is a hash of the
	// request, to detect a key used twice. Done as in package outside.
	Claim(key Key, attempt outside.AttemptID, digest uint64, deadline time.Time, done func(Result))
	// Record stores the outcome of the attempt that holds the key. Best effort.
	Record(key Key, attempt outside.AttemptID, outcome Outcome)
	// Release gives up the claim of an attempt proved not to have run.
	Release(key Key, attempt outside.AttemptID)
}
