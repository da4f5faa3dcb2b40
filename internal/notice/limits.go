package notice

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// limitKept is how long the limit of a server that is not listed any more is remembered:
// its record may come back, as it was, when a store that was away returns.
const limitKept = 10 * time.Minute

// limitBook holds the limits of servers, by ID.
type limitBook map[string]limitEntry

// limitEntry is what is known of the limit of a server's life.
type limitEntry struct {
	life  fleet.Life
	limit Limit
	// at is when it was heard.
	at time.Time
}

// perSecond is for logs: 0 without a limit.
func (l Limit) perSecond() float64 {
	if !l.Named {
		return 0
	}
	return l.PerSecond
}

// hear takes over what an answer says of its server's limit, and reports whether that
// changed what is known.
func (l limitBook) hear(life fleet.Life, limit Limit, asked Asked, now time.Time) bool {
	known, isKnown := l[life.ID]
	switch {
	case isKnown && known.life.Follows(life):
		// A late answer of an earlier life.
		return false
	case !limit.Named && !known.endedBy(life, asked):
		return false
	case limit.Named && known.limit.Named && !life.Follows(known.life) && asked.At.Before(known.at):
		// Both answers were under way at once, and the one that is heard last may be the older.
		limit.PerSecond = min(limit.PerSecond, known.limit.PerSecond)
	}
	l[life.ID] = limitEntry{life: life, limit: limit, at: now}
	return limit != known.limit
}

// endedBy reports whether an answer that names no limit ends the one that is known: it is
// of a later life, or of a request that was sent after the limit was heard. Servers need
// not name it where they answer orders and questions.
func (e limitEntry) endedBy(life fleet.Life, asked Asked) bool {
	if !e.limit.Named {
		return false
	}
	return life.Follows(e.life) || asked.Purpose == PurposeRequest && asked.At.After(e.at)
}

// of returns the limit of a server; the zero limit if none is known.
func (l limitBook) of(server *fleet.Server) Limit {
	known, isKnown := l[server.ID]
	if !isKnown || server.Life().Follows(known.life) {
		return Limit{}
	}
	return known.limit
}

// tidy forgets servers that have long been gone.
func (l limitBook) tidy(listed map[string]*fleet.Server, now time.Time) {
	maps.DeleteFunc(l, func(id string, known limitEntry) bool {
		return listed[id] == nil && now.Sub(known.at) > limitKept
	})
}

// hearLimit notes what an answer says of its server's limit.
func (b *Board) hearLimit(server *fleet.Server, limit Limit, asked Asked) {
	b.mutex.RLock()
	known := b.limits[server.ID].limit
	b.mutex.RUnlock()
	if !limit.Named && !known.Named {
		return
	}
	b.mutex.Lock()
	changed := b.limits.hear(server.Life(), limit, asked, time.Now())
	b.mutex.Unlock()
	if changed {
		b.config.Logger.Info().Str("server", server.ID).Str("pool", server.Pool).Bool("server_limited", limit.Named).
			Float64("server_limit", limit.perSecond()).Float64("server_limit_before", known.perSecond()).Msg("server's limit")
	}
}

// Limit returns what a server takes from all nodes together, as far as this node knows.
func (b *Board) Limit(server *fleet.Server) Limit {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	return b.limits.of(server)
}

// LimitedServers counts the servers whose limit this node knows.
func (b *Board) LimitedServers() int {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	count := 0
	for _, known := range b.limits {
		if known.limit.Named {
			count++
		}
	}
	return count
}

// tellLimited logs and counts what is sent to a server with a limit: the lines of all nodes
// together are what the server gets.
func (b *Board) tellLimited(server *fleet.Server, purpose Purpose) {
	limit := b.Limit(server)
	if !limit.Named {
		return
	}
	b.config.Limited(purpose)
	if event := b.limiter.Event(&b.config.Logger, zerolog.InfoLevel, "limited"); event != nil {
		event.Str("server", server.ID).Str("purpose", string(purpose)).Float64("server_limit", limit.PerSecond).Msg("sent to a server with a limit")
	}
}
