package poison

import (
	"slices"
	"sync"
	"time"
)

// mostHeld identities are refused at once; beyond, the ones whose hold ends first go.
// Each of them has cost three servers.
const mostHeld = 1024

// Quarantine holds the identities that are refused.
type Quarantine struct {
	mutex   sync.RWMutex
	entries map[Identity]Entry
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{entries: map[Identity]Entry{}} }

// Held returns the entry by which an identity is refused.
func (q *Quarantine) Held(identity Identity, now time.Time) (Entry, bool) {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	entry, found := q.entries[identity]
	return entry, found && now.Before(entry.Until)
}

// add takes an entry over. It reports whether the identity was not held before.
func (q *Quarantine) add(entry Entry, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before, found := q.entries[entry.Identity]
	if !now.Before(entry.Until) || found && !entry.Until.After(before.Until) {
		return false
	}
	q.entries[entry.Identity] = entry
	for len(q.entries) > mostHeld {
		dropEarliest(q.entries, func(held Entry) time.Time { return held.Until })
	}
	return !found || !now.Before(before.Until)
}

// remove lets an identity go, and reports whether it was held.
func (q *Quarantine) remove(identity Identity) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, found := q.entries[identity]
	delete(q.entries, identity)
	return found
}

// removeOver removes and returns the identities whose hold is over.
func (q *Quarantine) removeOver(now time.Time) []Identity {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var over []Identity
	for identity, entry := range q.entries {
		if !now.Before(entry.Until) {
			over = append(over, identity)
			delete(q.entries, identity)
		}
	}
	return over
}

// All returns the entries in force, in order of identity.
func (q *Quarantine) All() []Entry {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	all := make([]Entry, 0, len(q.entries))
	for _, entry := range q.entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.Identity.compare(b.Identity) })
	return all
}
