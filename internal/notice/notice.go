// Package notice keeps what servers tell this node about themselves in their answers:
// that they leave, that they want no requests for a while, or how many they take from all
// nodes together. It is newer than what the listing says of them.
package notice

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/logging"
)

// Notice is what one answer tells of the server that gave it.
type Notice struct {
	// Leaving: the server takes no new work and will end.
	Leaving bool
	// RetryAfter is how long the server wants nothing from this node; zero: it did not say.
	RetryAfter time.Duration
	// Limit of what the server takes.
	Limit Limit
	// Unreadable is a time or limit that could not be read, as it stood; it counts as none.
	Unreadable string
	// Unknown are the names of what the server told of itself that no node reads, so that
	// a new one shows before it matters.
	Unknown string
}

// Limit is what a server takes from all nodes together, as it named it.
type Limit struct {
	// Named: the server named a limit; without one, PerSecond means nothing.
	Named     bool
	PerSecond float64
}

// Purpose of something that is sent to a server.
type Purpose string

// The purposes.
const (
	PurposeRequest Purpose = "request"
	PurposeOrder   Purpose = "order"
	PurposeReport  Purpose = "report"
)

// Asked is what an answer belongs to: it was sent at a time, or just after.
type Asked struct {
	Purpose Purpose
	At      time.Time
	// Ran: the server has begun to work on it, as the answer shows.
	Ran bool
}

// IsZero reports whether the answer told nothing.
func (n Notice) IsZero() bool { return len(n.kinds()) == 0 }

// kinds of the notice.
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

// Kind of a notice, as it is counted.
type Kind string

// The kinds.
const (
	KindLeaving    Kind = "leaving"
	KindRetryAfter Kind = "retry_after"
	KindLimit      Kind = "limit"
	KindUnreadable Kind = "unreadable"
	KindUnknown    Kind = "unknown"
)

// linesPerSecond that are logged of each kind.
const linesPerSecond = 20

// Config of a Board.
type Config struct {
	// View takes over which servers leave.
	View *fleet.View
	// Counted is called with each notice that was heard; nil: not called.
	Counted func(kind Kind)
	// Despite is called with each sending to a server that had told this node not to
	// send; nil: not called.
	Despite func(kind Kind)
	// Limited is called with each sending to a server whose limit is known; nil: not called.
	Limited func(purpose Purpose)
	Logger  zerolog.Logger
}

// Board is what servers have told this node. It is safe for concurrent use.
type Board struct {
	config  Config
	limiter *logging.Limiter

	mutex sync.RWMutex
	// backoffs by the ID of their server.
	backoffs map[string]backoff
	limits   limitBook
	// news wakes who tells other nodes of limits.
	news chan struct{}
}

// backoff is until when a life of a server wants nothing.
type backoff struct {
	life  fleet.Incarnation
	until time.Time
}

// NewBoard returns a board on which nothing was noted.
func NewBoard(config Config) *Board {
	if config.Counted == nil {
		config.Counted = func(Kind) {}
	}
	if config.Despite == nil {
		config.Despite = func(Kind) {}
	}
	if config.Limited == nil {
		config.Limited = func(Purpose) {}
	}
	return &Board{config: config, limiter: logging.NewLimiter(linesPerSecond), backoffs: map[string]backoff{}, limits: limitBook{entries: map[string]limitEntry{}}, news: make(chan struct{}, 1)}
}

// Heard notes what a server's answer told.
func (b *Board) Heard(server *fleet.Server, heard Notice, asked Asked) {
	b.hearLimit(server, heard.Limit, asked)
	if heard.IsZero() {
		return
	}
	if heard.Leaving {
		b.config.View.SetLeaving(server.Incarnation())
	}
	if heard.RetryAfter > 0 {
		b.backOff(server.Incarnation(), time.Now().Add(heard.RetryAfter))
	}
	for _, kind := range heard.kinds() {
		b.config.Counted(kind)
	}
	if event := b.limiter.Event(&b.config.Logger, zerolog.InfoLevel, "notice"); event != nil {
		event.Str("server", server.ID).Str("pool", server.Pool).Bool("server_leaving", heard.Leaving).
			Dur("server_retry_after_ms", heard.RetryAfter).Float64("server_limit", heard.Limit.perSecond()).Bool("server_limited", heard.Limit.Named).
			Str("unreadable", heard.Unreadable).Str("unknown", heard.Unknown).Msg("server told of itself")
	}
}

// backOff notes until when a server wants nothing. The longest time counts: the answer that
// asks for a shorter one may be the older. What an earlier life asked for is over.
func (b *Board) backOff(life fleet.Incarnation, until time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.backoffs[life.ID]
	if known.life.Follows(life) {
		return
	}
	if until.After(known.until) || life.Follows(known.life) {
		b.backoffs[life.ID] = backoff{life: life, until: until}
	}
}

// BackoffUntil is until when a server wants nothing from this node; the zero time if it
// has not asked for that.
func (b *Board) BackoffUntil(server *fleet.Server) time.Time {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	known, asked := b.backoffs[server.ID]
	if !asked || server.Incarnation().Follows(known.life) {
		return time.Time{}
	}
	return known.until
}

// Sending notes that something is sent to a server, and logs and counts it if the server
// had told this node not to, or has a limit that is known here.
func (b *Board) Sending(server *fleet.Server, purpose Purpose) {
	b.tellLimited(server, purpose)
	listed := b.config.View.Load().Servers[server.ID]
	leaving, left := listed != nil && listed.ReportedLeaving, time.Until(b.BackoffUntil(server))
	if leaving {
		b.config.Despite(KindLeaving)
	}
	if left > 0 {
		b.config.Despite(KindRetryAfter)
	}
	if !leaving && left <= 0 {
		return
	}
	if event := b.limiter.Event(&b.config.Logger, zerolog.WarnLevel, "despite"); event != nil {
		event.Str("server", server.ID).Str("purpose", string(purpose)).Bool("server_leaving", leaving).Dur("backoff_left_ms", max(left, 0)).
			Msg("sent although the server told not to")
	}
}

// Tidy forgets the backoffs that are over, and limits of servers that are gone. It is called
// now and then.
func (b *Board) Tidy(now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	maps.DeleteFunc(b.backoffs, func(_ string, known backoff) bool { return !now.Before(known.until) })
	b.limits.tidy(b.config.View.Load().Servers, now)
}
