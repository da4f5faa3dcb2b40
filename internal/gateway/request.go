// Package gateway manages the requests that a node accepted: admission, queueing,
// deadlines, claims on idempotency keys, dispatch to endpoints, retries, and
// exactly one final answer to each.
package gateway

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
)

// Request is a validated request of an authenticated caller.
type Request struct {
	// ID appears in all log lines and in the answer.
	ID     string
	Tenant string
	// Model is the row's name; empty for a pool request.
	Model string
	// Pool names the back-end pool; empty for a generation.
	Pool string
	// Method and Path are forwarded. Path does not include the pool's prefix.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Prefix is the start of the prompt, for prefix affinity.
	Prefix []byte
	// Priority from 0 to 9, higher first.
	Priority int
	// Accepted and Deadline are absolute times. A zero Accepted means the time of
	// Submit; a zero Deadline means Accepted plus the row's time limit.
	Accepted time.Time
	Deadline time.Time
	// Key is the idempotency key; required if not Repeatable.
	Key        string
	Repeatable bool
}

// Answer is the final answer to a served request.
type Answer struct {
	// End is set for a generation.
	End outside.GenerateEnd
	// Response is set for a pool request.
	Response outside.BackEndResponse
	// Replayed: the outcome was recorded by an earlier request with the same key.
	Replayed bool
	Server   outside.ServerID
	// Cold: the request waited for a replica to be loaded.
	Cold bool
}

// Responder receives the answer to one request: any number of Chunk calls in
// order of index, then exactly one of Finish or Refuse. Calls never overlap and
// are made without any lock of the gateway held.
type Responder interface {
	Chunk(chunk outside.Chunk)
	Finish(answer Answer)
	Refuse(refusal result.Refusal)
}

// Service is the interface through which the caller-facing API submits requests.
type Service interface {
	// Submit accepts or refuses a request. The responder gets exactly one final
	// call in either case. Cancel reports that the caller has disconnected; the
	// responder still gets its final call.
	Submit(request Request, responder Responder) (cancel func())
}
