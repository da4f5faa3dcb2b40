package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// phase is the state of a request in its lifecycle.
type phase uint8

const (
	// phaseWaiting: in a queue. The zero phase is that of a request that was
	// not admitted yet.
	phaseWaiting phase = iota + 1
	// phaseClaiming: an endpoint is reserved and the key is being claimed.
	phaseClaiming
	// phaseRunning: an attempt was sent to a back end.
	phaseRunning
	// phaseBackingOff: in the backoff between two attempts.
	phaseBackingOff
	// phaseFinal: the final answer was given.
	phaseFinal
)

// entry is the state of one request. All fields are guarded by the shard's
// mutex.
type entry struct {
	request   Request
	responder Responder
	shard     *shard
	group     *group
	flow      *flow
	// row of the table at admission; zero for pool requests.
	row   table.Row
	phase phase

	// refuseAt is when the request is refused if it has no answer: its deadline
	// minus the margin.
	refuseAt time.Time
	// index in the flow's heap, and neighbours in the flow's list by time of
	// acceptance.
	index        int
	older, newer *entry
	expiry       timerItem
	backOff      timerItem

	attempt      *attempt
	attempts     int
	dispatchedAt time.Time
	// avoid is the server of the last failed attempt; the router prefers others.
	avoid outside.ServerID
	// ran is the maximum over all ended attempts: whether the request may have
	// run.
	ran result.Ran
	// cold: the request waited for a replica to be loaded.
	cold bool

	stream stream
	claim  claimState

	// outbox holds the responder's calls that are still to be made; spare is the
	// buffer of the last batch, for reuse.
	outbox []delivery
	spare  []delivery
	// delivering: a goroutine is making the responder's calls.
	delivering bool
}

// claimState is the state of the claim on a non-repeatable request's key.
type claimState struct {
	needed bool
	held   bool
	// requestedAt is when the claim was last requested.
	requestedAt time.Time
	// attempt identifies the claim; it is the same for all dispatches.
	attempt outside.AttemptID
}

func (e *entry) claimKey() claims.Key {
	return claims.Key{Tenant: e.request.Tenant, Value: e.request.Key}
}

// repeatable reports whether an attempt with unknown outcome may be repeated.
func (e *entry) repeatable() bool { return !e.claim.needed }

// isPool reports whether the request is for a back-end pool.
func (e *entry) isPool() bool { return e.request.Pool != "" }

// ranSoFar returns whether the request may have run, for a refusal given now.
func (e *entry) ranSoFar() result.Ran {
	ran := e.ran
	if e.attempt != nil {
		ran = max(ran, result.RanUnknown)
	}
	if e.stream.next > 0 {
		ran = result.RanYes
	}
	return ran
}

// name returns the name of the row or pool.
func (e *entry) name() string {
	if e.isPool() {
		return e.request.Pool
	}
	return e.request.Model
}
