// Package backend is a stand-in for a back-end server that is no model engine,
// such as an enrolment or a sync server.
//
// It answers every request deterministically, runs a bounded number of requests
// at once and records each run. It does not deduplicate idempotency keys, so
// that a request that was run twice shows in the record.
package backend

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// Defaults of a Config.
const (
	DefaultConcurrency = 8
	DefaultQueueLimit  = 64
	DefaultServiceTime = 20 * time.Millisecond
)

// Config describes one server.
type Config struct {
	Server outside.ServerID
	// Concurrency is how many requests run at once.
	Concurrency int
	// QueueLimit is how many more may wait; beyond it requests are refused.
	QueueLimit int
	// ServiceTime of one request without faults.
	ServiceTime time.Duration
	// Seed of the server's randomness, used by faults.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.Concurrency <= 0 {
		c.Concurrency = DefaultConcurrency
	}
	if c.QueueLimit <= 0 {
		c.QueueLimit = DefaultQueueLimit
	}
	if c.ServiceTime <= 0 {
		c.ServiceTime = DefaultServiceTime
	}
	return c
}

// Faults that a server shows. The zero value is a server without faults. The
// shares are probabilities from 0 to 1 for each request.
type Faults struct {
	// SlowFactor multiplies the service time; 0 counts as 1.
	SlowFactor float64 `json:"slow_factor"`
	// RefuseShare of the requests are refused before they run.
	RefuseShare float64 `json:"refuse_share"`
	// LoseAnswerShare of the requests run, but their answer is lost.
	LoseAnswerShare float64 `json:"lose_answer_share"`
	// HangShare of the requests run and then keep their place without an
	// answer, until the faults are set to a HangShare of 0.
	HangShare float64 `json:"hang_share"`
}

// Status is what a server tells of itself.
type Status struct {
	Server outside.ServerID `json:"server"`
	Down   bool             `json:"down"`
	// Leaving servers refuse new requests and finish the ones they have.
	Leaving bool   `json:"leaving"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Faults  Faults `json:"faults"`
	// Runs that began, over all starts of the server.
	Runs uint64 `json:"runs"`
}
