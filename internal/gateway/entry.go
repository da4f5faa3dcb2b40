package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
)

// phase is how far a request has come.
type phase uint8

const (
	// phaseWaiting: in a queue. The zero phase is that of a new request.
	phaseWaiting phase = iota + 1
	// phaseClaiming: a place is reserved and the key's claim is under way.
	phaseClaiming
	// phaseRunning: an attempt is at a back end.
	phaseRunning
	// phaseBackingOff: between two attempts.
	phaseBackingOff
	// phaseFinal: the final answer is given.
	phaseFinal
)

// entry is one request that the gateway is responsible for. All fields are
// guarded by the shard's mutex.
type entry struct {
	request   Request
	responder Responder
	shard     *shard
	group     *group
	flow      *flow
	// table row at admission, zero for pool requests.
	row   table.Row
	phase phase

	// refuseAt is the deadline less the margin.
	refuseAt time.Time
	// index in the flow's heap, and neighbours in its list by acceptance.
	index        int
	older, newer *entry
	expiry       timerItem
	backOff      timerItem

	attempt      *attempt
	attempts     int
	dispatchedAt time.Time
	// avoid is the server of the last failed attempt.
	avoid outside.ServerID
	// ran is the most that is known of all ended attempts.
	ran  result.Ran
	cold bool

	stream stream
	claim  claimState

	outbox     []delivery
	spare      []delivery
	delivering bool
}

// claimState is about the key of a non-repeatable request.
type claimState struct {
	needed bool
	held   bool
	// asked is when the claim was asked for.
	asked time.Time
	// attempt identifies the claim; it is the same over all dispatches.
	attempt outside.AttemptID
}

func (e *entry) claimKey() claims.Key {
	return claims.Key{Tenant: e.request.Tenant, Value: e.request.Key}
}

// repeatable reports whether an attempt with unknown outcome may be repeated.
func (e *entry) repeatable() bool { return !e.claim.needed }

// isPool reports whether the request goes to a back end that is no engine.
func (e *entry) isPool() bool { return e.request.Pool != "" }

// ranSoFar is what may be said about runs if the request is given up now.
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

// name is the row or pool, for logs and metrics.
func (e *entry) name() string {
	if e.isPool() {
		return e.request.Pool
	}
	return e.request.Model
}
