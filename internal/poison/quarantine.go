package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxEntries is the number of identities that are quarantined at the same time; beyond that, those
// whose quarantine expires first are dropped. For each of them three servers have crashed.
const maxEntries = 1024

// objectionWindow is how long a new entry refuses nothing, so that a node which has served the
// identity since can object. It is longer than two messages take between zones.
const objectionWindow = 50 * time.Millisecond

// Quarantine contains the identities that are refused.
type Quarantine struct {
	mutex   sync.RWMutex
	entries map[Identity]quarantineEntry
	// size is the number of entries. Reading it takes no lock.
	size atomic.Int64
}

// quarantineEntry is an entry with the time from which it refuses requests.
type quarantineEntry struct {
	Entry
	refusesFrom time.Time
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{entries: map[Identity]quarantineEntry{}}
}

// Lookup returns the entry of an identity that is quarantined, also within the objection
// window.
func (q *Quarantine) Lookup(identity Identity, now time.Time) (Entry, bool) {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	entry, found := q.entries[identity]
	return entry.Entry, found && now.Before(entry.expires())
}

// quarantinedAt returns a predicate for the identities quarantined at a time. It does not
// follow later changes: an entry received from another node during a decision would leave its
// rival as the only suspect.
func (q *Quarantine) quarantinedAt(now time.Time) func(Identity) bool {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	quarantined := make(map[Identity]bool, len(q.entries))
	for identity, entry := range q.entries {
		quarantined[identity] = now.Before(entry.expires())
	}
	return func(identity Identity) bool { return quarantined[identity] }
}

// hasRival reports whether an identity that a server began to run at the given time is a rival
// of an entry whose first crash is earlier.
func (q *Quarantine) hasRival(identity Identity, began time.Time) bool {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	for _, entry := range q.entries {
		if began.After(entry.Since) && slices.Contains(entry.Rivals, identity) {
			return true
		}
	}
	return false
}

// Refused returns the entry by which an identity is refused, or runs as a trial only: one that is
// quarantined and whose objection window is over.
func (q *Quarantine) Refused(identity Identity, now time.Time) (Entry, bool) {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	entry, found := q.entries[identity]
	return entry.Entry, found && now.Before(entry.expires()) && !now.Before(entry.refusesFrom)
}

// add stores an entry, which refuses from the given time on unless the identity is quarantined
// already. It reports whether the identity was not quarantined before, or only provisionally.
func (q *Quarantine) add(entry Entry, refusesFrom, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before, found := q.entries[entry.Identity]
	active := found && now.Before(before.expires())
	if !now.Before(entry.expires()) || active && !entry.supersedes(before.Entry) {
		return false
	}
	if active {
		refusesFrom = before.refusesFrom
	}
	q.entries[entry.Identity] = quarantineEntry{Entry: entry, refusesFrom: refusesFrom}
	for len(q.entries) > maxEntries {
		dropEarliest(q.entries, func(entry quarantineEntry) time.Time { return entry.expires() })
	}
	q.size.Store(int64(len(q.entries)))
	return !active || entry.Times > before.Times
}

// supersedes reports whether an entry replaces an earlier one of its identity: one for further
// crashes does, and so does the longer of two for the same.
func (e Entry) supersedes(before Entry) bool {
	if e.Times != before.Times {
		return e.Times > before.Times
	}
	return e.expires().After(before.expires())
}

// isEmpty reports whether no identity is quarantined.
func (q *Quarantine) isEmpty() bool { return q.size.Load() == 0 }

// removeIf drops the entry of an identity if the condition holds, and reports whether it did.
func (q *Quarantine) removeIf(identity Identity, condition func(Entry) bool) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	entry, found := q.entries[identity]
	if !found || !condition(entry.Entry) {
		return false
	}
	delete(q.entries, identity)
	q.size.Store(int64(len(q.entries)))
	return true
}

// removeExpired removes and returns the identities whose quarantine is over.
func (q *Quarantine) removeExpired(now time.Time) []Identity {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var expired []Identity
	for identity, entry := range q.entries {
		if !now.Before(entry.expires()) {
			expired = append(expired, identity)
			delete(q.entries, identity)
		}
	}
	q.size.Store(int64(len(q.entries)))
	return expired
}

// All returns the entries in force, ordered by identity.
func (q *Quarantine) All() []Entry {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	all := make([]Entry, 0, len(q.entries))
	for _, entry := range q.entries {
		all = append(all, entry.Entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.Identity.compare(b.Identity) })
	return all
}
