// Package api is the node's HTTP interface: the OpenAI-compatible interface of
// callers, the pass-through to other back ends, and the administration.
package api

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/auth"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/telemetry"
)

// Config is what the interface is built from. Gateway, Table and Keyring are
// required. Without TableStore, Status or Drainer the paths that need them
// answer unknown_path.
type Config struct {
	Gateway gateway.Service
	Table   table.View
	Keyring *auth.Keyring
	Clock   clock.Clock
	Logger  zerolog.Logger
	// Pools that callers may reach, by name.
	Pools  map[string]Pool
	Limits Limits

	TableStore TableStore
	Status     StatusSource
	Drainer    Drainer
	// Ready returns why the node can't serve yet, or nil.
	Ready func() error
	// Gatherer of /metrics; nil: no metrics.
	Gatherer prometheus.Gatherer
	// PublicMetrics serves /metrics without a token.
	PublicMetrics bool
	// Metrics counts the interface's own work; nil: not counted.
	Metrics *telemetry.Metrics
}

// Pool is a group of back-end servers reached by pass-through.
type Pool struct {
	// Tenants that may call; empty: every tenant.
	Tenants []string
	// PathPrefixes that may be called, by whole segments: "/enrol" opens /enrol
	// and /enrol/4, but not /enrolment; empty: every path.
	PathPrefixes []string
	// TimeLimit is the longest time limit a caller may ask for, and the default.
	TimeLimit time.Duration
	// Repeatable says whether an attempt with unknown outcome may be repeated.
	// Requests by GET and HEAD always are.
	Repeatable bool
	// Priority of requests that name none.
	Priority int
}

// Limits bound what one caller can make the node hold.
type Limits struct {
	// HeaderBytes of a request, names and values together.
	HeaderBytes int
	// BodyBytes of one request.
	BodyBytes int64
	// TotalBodyBytes of all requests held at once.
	TotalBodyBytes int64
	// AnswerBytes of one answer that is collected before it is sent.
	AnswerBytes int
	// StreamBufferBytes waiting for one caller to read its stream. Pieces come
	// in bursts, so it should hold thousands of them; an event has about 200
	// bytes.
	StreamBufferBytes int
	// WriteTimeout is how long one write to a caller may take.
	WriteTimeout time.Duration
	// BodyTimeout is how long a caller may take to send its body.
	BodyTimeout time.Duration
	// DefaultTimeLimit for rows and pools without one.
	DefaultTimeLimit time.Duration
	// AdminTimeout bounds the work of one administrative call.
	AdminTimeout time.Duration
}

// DefaultLimits returns the limits used for fields left zero.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:       16 << 10,
		BodyBytes:         4 << 20,
		TotalBodyBytes:    512 << 20,
		AnswerBytes:       8 << 20,
		StreamBufferBytes: 1 << 20,
		WriteTimeout:      10 * time.Second,
		BodyTimeout:       30 * time.Second,
		DefaultTimeLimit:  2 * time.Minute,
		AdminTimeout:      20 * time.Second,
	}
}

func (l Limits) withDefaults() Limits {
	defaults := DefaultLimits()
	l.HeaderBytes = orDefault(l.HeaderBytes, defaults.HeaderBytes)
	l.BodyBytes = orDefault(l.BodyBytes, defaults.BodyBytes)
	l.TotalBodyBytes = orDefault(l.TotalBodyBytes, defaults.TotalBodyBytes)
	l.AnswerBytes = orDefault(l.AnswerBytes, defaults.AnswerBytes)
	l.StreamBufferBytes = orDefault(l.StreamBufferBytes, defaults.StreamBufferBytes)
	l.WriteTimeout = orDefault(l.WriteTimeout, defaults.WriteTimeout)
	l.BodyTimeout = orDefault(l.BodyTimeout, defaults.BodyTimeout)
	l.DefaultTimeLimit = orDefault(l.DefaultTimeLimit, defaults.DefaultTimeLimit)
	l.AdminTimeout = orDefault(l.AdminTimeout, defaults.AdminTimeout)
	return l
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
