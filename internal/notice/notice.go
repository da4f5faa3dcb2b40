// Package notice records what servers report about themselves in their responses: that they
// are leaving, that this node must not send to them for a while, or how many requests they
// accept from all nodes together. A notice is newer than the server's record in the store.
package notice

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/logging"
)

// Notice is what a server reports about itself in one response.
type Notice struct {
	// Leaving reports that the server accepts no new work and will shut down.
	Leaving bool
	// RetryAfter is how long this node must not send to the server; zero if not stated.
	RetryAfter time.Duration
	// Limit on the rate of requests that the server accepts.
	Limit Limit
	// Unreadable is the text of a time, limit or load that could not be parsed; it is otherwise
	// ignored.
	Unreadable string
	// Unknown are the names of notices that this build does not read, or not to their end. They
	// are recorded so that a new kind of notice is seen in logs and metrics before it matters.
	Unknown string
}

// Limit is the rate of requests that a server accepts from all nodes together.
type Limit struct {
	// Named reports whether the server announced a limit; if not, PerSecond has no meaning.
	Named     bool
	PerSecond float64
}

// Purpose of something that is sent to a server.
type Purpose string

// The purposes: a client's request, an order to load or unload something, a call for the server's
// report, and a health check.
const (
	PurposeRequest Purpose = "request"
	PurposeOrder   Purpose = "order"
	PurposeReport  Purpose = "report"
	PurposeHealth  Purpose = "health"
)

// Call is what a response answers.
type Call struct {
	Purpose Purpose
	// SentAt is when it was sent, or shortly before.
	SentAt time.Time
	// Started reports whether the response shows that the server started to work on it.
	Started bool
}

// IsZero reports whether the response contained no notice.
func (n Notice) IsZero() bool { return len(n.kinds()) == 0 }

func (n Notice) kinds() []Kind {
	var kinds []Kind
	if n.Leaving {
		kinds = append(kinds, KindLeaving)
	}
	if n.RetryAfter > 0 {
		kinds = append(kinds, KindRetryAfter)
	}
	if n.Limit.Named {
		kinds = append(kinds, KindLimit)
	}
	if n.Unreadable != "" {
		kinds = append(kinds, KindUnreadable)
	}
	if n.Unknown != "" {
		kinds = append(kinds, KindUnknown)
	}
	return kinds
}

// Kind of a notice, for metrics.
type Kind string

// The kinds.
const (
	KindLeaving    Kind = "leaving"
	KindRetryAfter Kind = "retry_after"
	KindLimit      Kind = "limit"
	KindUnreadable Kind = "unreadable"
	KindUnknown    Kind = "unknown"
)

// logLinesPerSecond bounds the log lines of each kind.
const logLinesPerSecond = 20

// Config of a Registry.
type Config struct {
	// View is updated with the servers that are leaving.
	View *fleet.View
	// OnNotice is called with the kind of each notice; nil: not called.
	OnNotice func(kind Kind)
	// OnDisregarded is called for each send to a server despite a notice not to send, with
	// the kind of that notice; nil: not called.
	OnDisregarded func(kind Kind)
	// OnLimitedSend is called for each send to a server with a limit; nil: not called.
	OnLimitedSend func(purpose Purpose)
	Logger        zerolog.Logger
}

// Registry holds the notices of servers in force at this node. It is safe for concurrent use.
type Registry struct {
	config  Config
	limiter *logging.Limiter

	mutex sync.RWMutex
	// backoffs by server ID.
	backoffs map[string]backoff
	limits   limitTable
	// limitChanges receives after this node observed a changed limit, so that the change is sent
	// to other nodes.
	limitChanges chan struct{}
}

// backoff is the time until which nothing may be sent to an incarnation of a server.
type backoff struct {
	incarnation fleet.Incarnation
	until       time.Time
}

// NewRegistry returns a registry without notices.
func NewRegistry(config Config) *Registry {
	if config.OnNotice == nil {
		config.OnNotice = func(Kind) {}
	}
	if config.OnDisregarded == nil {
		config.OnDisregarded = func(Kind) {}
	}
	if config.OnLimitedSend == nil {
		config.OnLimitedSend = func(Purpose) {}
	}
	return &Registry{config: config, limiter: logging.NewLimiter(logLinesPerSecond), backoffs: map[string]backoff{}, limits: limitTable{entries: map[string]limitEntry{}}, limitChanges: make(chan struct{}, 1)}
}

// RecordNotice records the notice in a server's response to a call.
func (r *Registry) RecordNotice(server *fleet.Server, notice Notice, call Call) {
	r.observeLimit(server, notice.Limit, call)
	if notice.IsZero() {
		return
	}
	if notice.Leaving {
		r.config.View.SetLeaving(server.Incarnation())
	}
	if notice.RetryAfter > 0 {
		r.extendBackoff(server.Incarnation(), time.Now().Add(notice.RetryAfter))
	}
	for _, kind := range notice.kinds() {
		r.config.OnNotice(kind)
	}
	if event := r.limiter.Event(&r.config.Logger, zerolog.InfoLevel, "notice"); event != nil {
		event.Str("server", server.ID).Str("pool", server.Pool).Bool("server_leaving", notice.Leaving).
			Dur("server_retry_after_ms", notice.RetryAfter).Float64("server_limit", notice.Limit.perSecond()).Bool("server_limited", notice.Limit.Named).
			Str("unreadable", notice.Unreadable).Str("unknown", notice.Unknown).Msg("server told of itself")
	}
}

// extendBackoff records a server's backoff. The latest end wins, since a response with an
// earlier one may be the older response. Backoffs of an earlier incarnation no longer hold.
func (r *Registry) extendBackoff(incarnation fleet.Incarnation, until time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	current := r.backoffs[incarnation.ID]
	if current.incarnation.Follows(incarnation) {
		return
	}
	if until.After(current.until) || incarnation.Follows(current.incarnation) {
		r.backoffs[incarnation.ID] = backoff{incarnation: incarnation, until: until}
	}
}

// BackoffUntil returns the time until which this node must not send to a server; the zero
// time if there is no backoff.
func (r *Registry) BackoffUntil(server *fleet.Server) time.Time {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	current, exists := r.backoffs[server.ID]
	if !exists || server.Incarnation().Follows(current.incarnation) {
		return time.Time{}
	}
	return current.until
}

// RecordSend records that something is sent to a server. It is logged and counted if the
// server is leaving, is in a backoff, or has a limit.
func (r *Registry) RecordSend(server *fleet.Server, purpose Purpose) {
	r.recordLimitedSend(server, purpose)
	listed := r.config.View.Load().Servers[server.ID]
	leaving, remaining := listed != nil && listed.ReportedLeaving, time.Until(r.BackoffUntil(server))
	if leaving {
		r.config.OnDisregarded(KindLeaving)
	}
	if remaining > 0 {
		r.config.OnDisregarded(KindRetryAfter)
	}
	if !leaving && remaining <= 0 {
		return
	}
	if event := r.limiter.Event(&r.config.Logger, zerolog.WarnLevel, "despite"); event != nil {
		event.Str("server", server.ID).Str("purpose", string(purpose)).Bool("server_leaving", leaving).Dur("backoff_left_ms", max(remaining, 0)).
			Msg("sent although the server told not to")
	}
}

// Prune drops backoffs that have ended, and expired leaving notices and limits. It is called
// periodically.
func (r *Registry) Prune(now time.Time) {
	r.config.View.ExpireLeaving()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	maps.DeleteFunc(r.backoffs, func(_ string, current backoff) bool { return !now.Before(current.until) })
	r.limits.prune(r.config.View.Load().Servers, now)
}
