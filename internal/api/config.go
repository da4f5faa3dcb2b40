// Package api implements the node's HTTP interface: the OpenAI-compatible interface for
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

// Config holds the dependencies and settings of the interface. Gateway, Table and Keyring
// are required. Without TableStore, Status or Drainer, the paths that need them answer
// unknown_path.
type Config struct {
	Gateway gateway.Service
	Table   table.View
	Keyring *auth.Keyring
	Clock   clock.Clock
	Logger  zerolog.Logger
	// Pools that callers may reach, by name.
	Pools map[string]Pool
	// Limits left zero take the value of DefaultLimits.
	Limits Limits

	TableStore TableStore
	Status     StatusSource
	Drainer    Drainer
	// Ready returns the reason why the node can't serve, or nil if it can. A nil function
	// means always ready.
	Ready func() error
	// Gatherer supplies the metrics of /metrics; nil: there is no such path.
	Gatherer prometheus.Gatherer
	// PublicMetrics serves /metrics without a token.
	PublicMetrics bool
	// Metrics receives the interface's own metrics; nil: they are discarded.
	Metrics *telemetry.Metrics
}

// Pool is a group of back-end servers reached by pass-through.
type Pool struct {
	// Tenants that may call the pool; empty: every tenant.
	Tenants []string
	// PathPrefixes that may be called, matched by whole segments: "/enrol" allows /enrol
	// and /enrol/4, but not /enrolment; empty: every path.
	PathPrefixes []string
	// TimeLimit is both the default and the maximum time limit of a request.
	TimeLimit time.Duration
	// Repeatable reports whether a request may be retried after an attempt with unknown
	// outcome. GET and HEAD requests always may.
	Repeatable bool
	// Priority of requests without the priority header.
	Priority int
}

// Limits bound the memory and time that callers can make the node spend.
type Limits struct {
	// HeaderBytes limits the headers of a request, names and values together.
	HeaderBytes int
	// BodyBytes limits the body of one request.
	BodyBytes int64
	// TotalBodyBytes limits the bodies of all requests in flight together.
	TotalBodyBytes int64
	// AnswerBytes limits an answer that is buffered before it is sent.
	AnswerBytes int
	// StreamBufferBytes limits the encoded events that wait for one caller to read its
	// stream. Chunks arrive in bursts, so it should hold thousands of events of about
	// 200 bytes each.
	StreamBufferBytes int
	// WriteTimeout limits one write to a caller.
	WriteTimeout time.Duration
	// BodyTimeout limits the time in which a caller sends its body.
	BodyTimeout time.Duration
	// DefaultTimeLimit is the time limit of rows and pools without one.
	DefaultTimeLimit time.Duration
	// AdminTimeout limits the work of one administrative call.
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
