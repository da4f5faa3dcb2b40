package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/table"
)

// EndpointDirectory is what the gateway tells the directory. ReportDemand may be called
// under a lock of the gateway, the others are not.
type EndpointDirectory interface {
	// ReportDemand asks for an endpoint of a row at once.
	ReportDemand(row string)
	// Invalidate removes an endpoint that refused a request as not loaded.
	Invalidate(model string, server outside.ServerID, slot outside.SlotID)
	// MarkLeaving stops new work for a server.
	MarkLeaving(server outside.ServerID)
}

// PoolDirectory knows the back-end pools.
type PoolDirectory interface {
	// Snapshot returns a pool's servers; nil if the pool is unknown.
	Snapshot(pool string) *directory.Snapshot
	// MarkLeaving stops new work for a server.
	MarkLeaving(server outside.ServerID)
}

// Config assembles a Gateway.
type Config struct {
	Clock  clock.Clock
	Random *rand.Rand
	// Node is this node's member id; it makes attempt ids unique.
	Node  string
	Table table.View
	// Directory and Router are for engines.
	Directory EndpointDirectory
	Router    *router.Router
	Engines   outside.EngineService
	// Pools, PoolRouter and BackEnds are for back ends that are no engines;
	// all nil if there are none.
	Pools      PoolDirectory
	PoolRouter *router.Router
	BackEnds   outside.BackEndService
	Claims     claims.Claimer
	Logger     zerolog.Logger
	// Metrics may be nil.
	Metrics Metrics
	Limits  Limits
	// IgnoreAttemptIdentity takes pieces of answers for their own whatever
	// attempt they name; only for the checker's own tests.
	IgnoreAttemptIdentity bool
}

// Limits bounds what the gateway takes on. Zero values mean the defaults.
type Limits struct {
	// Shards is the number of independently locked parts.
	Shards int
	// QueueLength is the most requests that wait for one base model or pool.
	QueueLength int
	// Waiting and WaitingBytes bound all requests that wait at this node.
	Waiting      int
	WaitingBytes int64
	// Margin is how long before its deadline a request is refused, but at most
	// a tenth of its time limit.
	Margin time.Duration
	// Attempts is the most attempts of one request.
	Attempts int
	// RetryRatio is the number of retries allowed per request, and RetryBurst
	// how many may be saved up per pool. A node saves up nodeBurstFactor times
	// as many.
	RetryRatio float64
	RetryBurst float64
	// RecordedBytes is the largest outcome kept for replay.
	RecordedBytes int
}

// Defaults of Limits.
const (
	DefaultShards        = 16
	DefaultQueueLength   = 10_000
	DefaultWaiting       = 200_000
	DefaultWaitingBytes  = 1 << 30
	DefaultMargin        = 25 * time.Millisecond
	DefaultAttempts      = 4
	DefaultRetryRatio    = 0.1
	DefaultRetryBurst    = 10
	DefaultRecordedBytes = 64 << 10
)

func (l Limits) withDefaults() Limits {
	l.Shards = orDefault(l.Shards, DefaultShards)
	l.QueueLength = orDefault(l.QueueLength, DefaultQueueLength)
	l.Waiting = orDefault(l.Waiting, DefaultWaiting)
	l.WaitingBytes = orDefault(l.WaitingBytes, DefaultWaitingBytes)
	l.Margin = orDefault(l.Margin, DefaultMargin)
	l.Attempts = orDefault(l.Attempts, DefaultAttempts)
	l.RetryRatio = orDefault(l.RetryRatio, DefaultRetryRatio)
	l.RetryBurst = orDefault(l.RetryBurst, DefaultRetryBurst)
	l.RecordedBytes = orDefault(l.RecordedBytes, DefaultRecordedBytes)
	return l
}

func orDefault[Number int | int64 | float64 | time.Duration](value, standard Number) Number {
	if value > 0 {
		return value
	}
	return standard
}
