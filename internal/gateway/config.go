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

// EndpointDirectory receives the gateway's reports about demand and endpoints.
// ReportDemand may be called while the gateway holds a lock, the other methods are
// not.
type EndpointDirectory interface {
	// ReportDemand reports that a row needs an endpoint now.
	ReportDemand(row string)
	// Invalidate removes an endpoint that refused a request as not loaded.
	Invalidate(model string, server outside.ServerID, slot outside.SlotID)
	// MarkLeaving excludes a server that is shutting down from new requests.
	MarkLeaving(server outside.ServerID)
}

// PoolDirectory looks up the servers of the back-end pools.
type PoolDirectory interface {
	// Snapshot returns a pool's servers; nil if the pool is unknown.
	Snapshot(pool string) *directory.Snapshot
	// MarkLeaving excludes a server that is shutting down from new requests.
	MarkLeaving(server outside.ServerID)
}

// Config configures a Gateway.
type Config struct {
	Clock  clock.Clock
	Random *rand.Rand
	// Node is this node's member id; it makes attempt ids unique.
	Node  string
	Table table.View
	// Directory and Router serve requests for models; Engines runs them.
	Directory EndpointDirectory
	Router    *router.Router
	Engines   outside.EngineService
	// Pools, PoolRouter and BackEnds serve requests for back-end pools, whose
	// servers are not inference engines; all nil if there are no pools.
	Pools      PoolDirectory
	PoolRouter *router.Router
	BackEnds   outside.BackEndService
	Claims     claims.Claimer
	Logger     zerolog.Logger
	// Metrics may be nil.
	Metrics Metrics
	Limits  Limits
	// IgnoreAttemptIdentity disables the check that a chunk or end names the
	// attempt that received it. It is set only to test that the checker detects
	// the resulting violations.
	IgnoreAttemptIdentity bool
}

// Limits bounds the work that the gateway accepts. Zero values mean the defaults.
type Limits struct {
	// Shards is the number of independently locked partitions of the requests.
	Shards int
	// QueueLength is the maximum number of requests waiting for one base model
	// or pool.
	QueueLength int
	// Waiting and WaitingBytes bound the number of all requests waiting at this
	// node and the total size of their bodies.
	Waiting      int
	WaitingBytes int64
	// Margin is how long before its deadline an unanswered request is refused;
	// at most a tenth of its time limit.
	Margin time.Duration
	// Attempts is the maximum number of attempts of one request. A request whose
	// last attempt found its endpoint removed may have removedEndpointFactor
	// times as many.
	Attempts int
	// RetryRatio is the number of retries allowed per request, and RetryBurst
	// the burst of the retry budget of one base model or pool. The burst of the
	// node's budget is nodeBurstFactor times as large.
	RetryRatio float64
	RetryBurst float64
	// RecordedBytes is the maximum size of an outcome kept for replay.
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

func orDefault[Number int | int64 | float64 | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}
