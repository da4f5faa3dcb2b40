package notice

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// limitKept is how long the limit of a server that is not listed any more is remembered:
// its record may come back, as it was, when a store that was away returns.
const limitKept = 10 * time.Minute

// endKept is how long it is remembered that a server names no limit any more: longer than
// any older word of it is on its way.
const endKept = time.Minute

// limitBook holds the limits of servers, by ID, also those that are over: what was heard
// last counts, wherever it was.
type limitBook struct {
	entries map[string]limitEntry
	// version grows with each change.
	version uint64
}

// limitEntry is what is known of the limit of a server's life.
type limitEntry struct {
	life  fleet.Incarnation
	limit Limit
	// at is when it was heard, by this node or another one.
	at time.Time
	// version of the book at which it changed.
	version uint64
	// own: this node heard it itself.
	own bool
}

// HeardLimit is a server's limit, or that it names none, as one node tells others.
type HeardLimit struct {
	Life  fleet.Incarnation
	Limit Limit
	// Age of the answer that said it.
	Age time.Duration
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
func (l *limitBook) hear(life fleet.Incarnation, limit Limit, asked Asked, now time.Time) bool {
	known, isKnown := l.entries[life.ID]
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
	return l.set(limitEntry{life: life, limit: limit, at: now, own: true})
}

// tell takes over what another node heard, unless something newer is known. It reports
// whether that changed what is known.
func (l *limitBook) tell(heard HeardLimit, now time.Time) bool {
	known, isKnown := l.entries[heard.Life.ID]
	at := now.Add(-heard.Age)
	if isKnown && (known.life.Follows(heard.Life) || known.at.After(at) && !heard.Life.Follows(known.life)) {
		return false
	}
	return l.set(limitEntry{life: heard.Life, limit: heard.Limit, at: at})
}

// set makes an entry the newest, and reports whether it says something new.
func (l *limitBook) set(entry limitEntry) bool {
	known, isKnown := l.entries[entry.life.ID]
	// A birth that one node knows and another does not makes no other life.
	sameLife := !known.life.Follows(entry.life) && !entry.life.Follows(known.life)
	if isKnown && known.limit == entry.limit && sameLife {
		known.at = entry.at
		l.entries[entry.life.ID] = known
		return false
	}
	l.version++
	entry.version = l.version
	l.entries[entry.life.ID] = entry
	return true
}

// after returns what changed after a version, in order of ID.
func (l *limitBook) after(version uint64, only func(entry limitEntry) bool, now time.Time) []HeardLimit {
	var changed []HeardLimit
	for _, entry := range l.entries {
		if entry.version > version && only(entry) {
			changed = append(changed, HeardLimit{Life: entry.life, Limit: entry.limit, Age: now.Sub(entry.at)})
		}
	}
	slices.SortFunc(changed, func(a, b HeardLimit) int { return strings.Compare(a.Life.ID, b.Life.ID) })
	return changed
}

// endedBy reports whether an answer that names no limit ends the one that is known: it is
// of a later life, or of a request that was sent after the limit was heard, and ran. Servers
// need not name it where they refuse, or answer orders and questions.
func (e limitEntry) endedBy(life fleet.Incarnation, asked Asked) bool {
	if !e.limit.Named {
		return false
	}
	return life.Follows(e.life) || asked.Purpose == PurposeRequest && asked.Ran && asked.At.After(e.at)
}

// of returns the limit of a server; the zero limit if none is known.
func (l *limitBook) of(server *fleet.Server) Limit {
	known, isKnown := l.entries[server.ID]
	if !isKnown || server.Incarnation().Follows(known.life) {
		return Limit{}
	}
	return known.limit
}

// tidy forgets servers that have long been gone, and limits that have long been over.
func (l *limitBook) tidy(listed map[string]*fleet.Server, now time.Time) {
	maps.DeleteFunc(l.entries, func(id string, known limitEntry) bool {
		kept := limitKept
		if !known.limit.Named {
			kept = endKept
		}
		return now.Sub(known.at) > kept && (listed[id] == nil || !known.limit.Named)
	})
}

// hearLimit notes what an answer says of its server's limit.
func (b *Board) hearLimit(server *fleet.Server, limit Limit, asked Asked) {
	b.mutex.RLock()
	known := b.limits.entries[server.ID].limit
	b.mutex.RUnlock()
	if !limit.Named && !known.Named {
		return
	}
	b.mutex.Lock()
	changed := b.limits.hear(server.Incarnation(), limit, asked, time.Now())
	b.mutex.Unlock()
	if changed {
		b.signal()
		if event := b.limiter.Event(&b.config.Logger, zerolog.InfoLevel, "limit"); event != nil {
			event.Str("server", server.ID).Str("pool", server.Pool).Bool("server_limited", limit.Named).
				Float64("server_limit", limit.perSecond()).Float64("server_limit_before", known.perSecond()).Msg("server's limit")
		}
	}
}

// signal wakes who tells other nodes.
func (b *Board) signal() {
	select {
	case b.news <- struct{}{}:
	default:
	}
}

// News receives after this node heard something new of a limit.
func (b *Board) News() <-chan struct{} { return b.news }

// OwnLimits are what this node itself heard of limits after a version, with the version now.
func (b *Board) OwnLimits(after uint64) ([]HeardLimit, uint64) {
	return b.limitsAfter(after, func(entry limitEntry) bool { return entry.own })
}

// Limits are what this node knows of limits and learned after a version, with the version now.
func (b *Board) Limits(after uint64) ([]HeardLimit, uint64) {
	return b.limitsAfter(after, func(limitEntry) bool { return true })
}

func (b *Board) limitsAfter(after uint64, only func(entry limitEntry) bool) ([]HeardLimit, uint64) {
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	if after >= b.limits.version {
		return nil, b.limits.version
	}
	return b.limits.after(after, only, time.Now()), b.limits.version
}

// TellLimits takes over what another node heard of limits, and reports whether any of it
// was new.
func (b *Board) TellLimits(heard []HeardLimit, from string) bool {
	anyNew := false
	for _, one := range heard {
		b.mutex.Lock()
		isNew := b.limits.tell(one, time.Now())
		b.mutex.Unlock()
		anyNew = anyNew || isNew
		if !isNew {
			continue
		}
		if event := b.limiter.Event(&b.config.Logger, zerolog.InfoLevel, "limit"); event != nil {
			event.Str("server", one.Life.ID).Bool("server_limited", one.Limit.Named).
				Float64("server_limit", one.Limit.perSecond()).Str("told_by", from).Msg("server's limit")
		}
	}
	return anyNew
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
	for _, known := range b.limits.entries {
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
