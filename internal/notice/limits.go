package notice

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
)

// unlistedLimitTTL is how long the limit of a server that is no longer listed is kept: the
// server's record may reappear unchanged when an unavailable store recovers.
const unlistedLimitTTL = 10 * time.Minute

// liftedLimitTTL is how long the entry of a server that no longer announces a limit is kept:
// longer than an older report of its limit can be in transit.
const liftedLimitTTL = time.Minute

// limitTable holds the limits of servers by ID. It includes lifted limits: those that a server
// no longer announces. The most recently observed state wins, whichever node observed it.
type limitTable struct {
	entries map[string]limitEntry
	// version increases with each change.
	version uint64
}

// limitEntry is the limit of one incarnation of a server.
type limitEntry struct {
	incarnation fleet.Incarnation
	limit       Limit
	// observedAt is when this or another node observed it.
	observedAt time.Time
	// version of the table at which the entry changed.
	version uint64
	// local reports whether this node observed it.
	local bool
}

// ObservedLimit is a server's limit, or the absence of one, as nodes report it to each other.
type ObservedLimit struct {
	Life  fleet.Incarnation
	Limit Limit
	// Age of the response that announced it.
	Age time.Duration
}

// perSecond returns the limit for log lines: 0 without a limit.
func (l Limit) perSecond() float64 {
	if !l.Named {
		return 0
	}
	return l.PerSecond
}

// observe updates a server's limit from a response to a call of this node, and reports
// whether the entry changed.
func (l *limitTable) observe(incarnation fleet.Incarnation, limit Limit, call Call, now time.Time) bool {
	current, exists := l.entries[incarnation.ID]
	switch {
	case exists && current.incarnation.Follows(incarnation):
		// A late response of an earlier incarnation.
		return false
	case !limit.Named && !current.liftedBy(incarnation, call):
		return false
	case limit.Named && current.limit.Named && !incarnation.Follows(current.incarnation) && call.SentAt.Before(current.observedAt):
		// The calls overlapped, so either response may be the older one. The lower limit is kept.
		limit.PerSecond = min(limit.PerSecond, current.limit.PerSecond)
	}
	return l.set(limitEntry{incarnation: incarnation, limit: limit, observedAt: now, local: true})
}

// merge updates a server's limit from a report of another node unless the current entry is
// newer, and reports whether the entry changed.
func (l *limitTable) merge(observed ObservedLimit, now time.Time) bool {
	observed.Life = observed.Life.WithPlausibleBirth()
	current, exists := l.entries[observed.Life.ID]
	observedAt := now.Add(-observed.Age)
	if exists && (current.incarnation.Follows(observed.Life) || current.observedAt.After(observedAt) && !observed.Life.Follows(current.incarnation)) {
		return false
	}
	return l.set(limitEntry{incarnation: observed.Life, limit: observed.Limit, observedAt: observedAt})
}

// set stores the entry, and reports whether its limit or incarnation differs from the
// current one.
func (l *limitTable) set(entry limitEntry) bool {
	current, exists := l.entries[entry.incarnation.ID]
	// If only one of the two has a start time, they may be the same incarnation.
	sameIncarnation := !current.incarnation.Follows(entry.incarnation) && !entry.incarnation.Follows(current.incarnation)
	if exists && current.limit == entry.limit && sameIncarnation {
		current.observedAt = entry.observedAt
		l.entries[entry.incarnation.ID] = current
		return false
	}
	l.version++
	entry.version = l.version
	l.entries[entry.incarnation.ID] = entry
	return true
}

// after returns the selected entries that changed after a version, ordered by server ID.
func (l *limitTable) after(version uint64, selects func(entry limitEntry) bool, now time.Time) []ObservedLimit {
	var changed []ObservedLimit
	for _, entry := range l.entries {
		if entry.version > version && selects(entry) {
			changed = append(changed, ObservedLimit{Life: entry.incarnation, Limit: entry.limit, Age: now.Sub(entry.observedAt)})
		}
	}
	slices.SortFunc(changed, func(a, b ObservedLimit) int { return strings.Compare(a.Life.ID, b.Life.ID) })
	return changed
}

// liftedBy reports whether a response without a limit lifts the current one. It does if it is
// from a later incarnation, or if the call is a request that was sent after the limit was
// observed and was started. Servers need not announce the limit in rejections, nor in
// responses to orders and report calls.
func (e limitEntry) liftedBy(incarnation fleet.Incarnation, call Call) bool {
	if !e.limit.Named {
		return false
	}
	return incarnation.Follows(e.incarnation) || call.Purpose == PurposeRequest && call.Started && call.SentAt.After(e.observedAt)
}

// of returns the limit of a server, or the zero Limit.
func (l *limitTable) of(server *fleet.Server) Limit {
	entry, exists := l.entries[server.ID]
	if !exists || server.Incarnation().Follows(entry.incarnation) {
		return Limit{}
	}
	return entry.limit
}

// prune drops expired entries: of servers that are no longer listed, and of lifted limits.
func (l *limitTable) prune(listed map[string]*fleet.Server, now time.Time) {
	maps.DeleteFunc(l.entries, func(id string, entry limitEntry) bool {
		ttl := unlistedLimitTTL
		if !entry.limit.Named {
			ttl = liftedLimitTTL
		}
		return now.Sub(entry.observedAt) > ttl && (listed[id] == nil || !entry.limit.Named)
	})
}

// observeLimit records what a response says about its server's limit.
func (r *Registry) observeLimit(server *fleet.Server, limit Limit, call Call) {
	r.mutex.RLock()
	before := r.limits.entries[server.ID].limit
	r.mutex.RUnlock()
	if !limit.Named && !before.Named {
		return
	}
	r.mutex.Lock()
	changed := r.limits.observe(server.Incarnation(), limit, call, time.Now())
	r.mutex.Unlock()
	if changed {
		r.signal()
		if event := r.limiter.Event(&r.config.Logger, zerolog.InfoLevel, "limit"); event != nil {
			event.Str("server", server.ID).Str("pool", server.Pool).Bool("server_limited", limit.Named).
				Float64("server_limit", limit.perSecond()).Float64("server_limit_before", before.perSecond()).Msg("server's limit")
		}
	}
}

// signal wakes the receiver of LimitChanges.
func (r *Registry) signal() {
	select {
	case r.limitChanges <- struct{}{}:
	default:
	}
}

// LimitChanges returns a channel that receives after this node observed a changed limit.
func (r *Registry) LimitChanges() <-chan struct{} { return r.limitChanges }

// LocalLimits returns the limits that this node observed itself and that changed after a
// version, and the current version.
func (r *Registry) LocalLimits(after uint64) ([]ObservedLimit, uint64) {
	return r.limitsAfter(after, func(entry limitEntry) bool { return entry.local })
}

// Limits returns the limits that changed after a version, whichever node observed them, and
// the current version.
func (r *Registry) Limits(after uint64) ([]ObservedLimit, uint64) {
	return r.limitsAfter(after, func(limitEntry) bool { return true })
}

func (r *Registry) limitsAfter(after uint64, selects func(entry limitEntry) bool) ([]ObservedLimit, uint64) {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	if after >= r.limits.version {
		return nil, r.limits.version
	}
	return r.limits.after(after, selects, time.Now()), r.limits.version
}

// MergeLimits merges limits that another node reported, and reports whether any entry
// changed.
func (r *Registry) MergeLimits(observed []ObservedLimit, from string) bool {
	anyChanged := false
	for _, one := range observed {
		r.mutex.Lock()
		changed := r.limits.merge(one, time.Now())
		r.mutex.Unlock()
		anyChanged = anyChanged || changed
		if !changed {
			continue
		}
		if event := r.limiter.Event(&r.config.Logger, zerolog.InfoLevel, "limit"); event != nil {
			event.Str("server", one.Life.ID).Bool("server_limited", one.Limit.Named).
				Float64("server_limit", one.Limit.perSecond()).Str("told_by", from).Msg("server's limit")
		}
	}
	return anyChanged
}

// Limit returns the limit of a server over all nodes, as far as this node has observed or
// received it.
func (r *Registry) Limit(server *fleet.Server) Limit {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	return r.limits.of(server)
}

// LimitedServers counts the servers that have a limit.
func (r *Registry) LimitedServers() int {
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	count := 0
	for _, entry := range r.limits.entries {
		if entry.limit.Named {
			count++
		}
	}
	return count
}

// recordLimitedSend logs and counts something that is sent to a server with a limit. The log
// lines of all nodes together show everything that the server is sent.
func (r *Registry) recordLimitedSend(server *fleet.Server, purpose Purpose) {
	limit := r.Limit(server)
	if !limit.Named {
		return
	}
	r.config.OnLimitedSend(purpose)
	if event := r.limiter.Event(&r.config.Logger, zerolog.InfoLevel, "limited"); event != nil {
		event.Str("server", server.ID).Str("purpose", string(purpose)).Float64("server_limit", limit.PerSecond).Msg("sent to a server with a limit")
	}
}
