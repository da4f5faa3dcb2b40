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
	entries map[Identity]Verdict
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine { return &Quarantine{entries: map[Identity]Verdict{}} }

// Held returns the verdict by which an identity is refused.
func (q *Quarantine) Held(identity Identity, now time.Time) (Verdict, bool) {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	verdict, found := q.entries[identity]
	return verdict, found && now.Before(verdict.Until)
}

// add takes a verdict over. It reports whether the identity was not held before.
func (q *Quarantine) add(verdict Verdict, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before, found := q.entries[verdict.Identity]
	if !now.Before(verdict.Until) || found && !verdict.Until.After(before.Until) {
		return false
	}
	q.entries[verdict.Identity] = verdict
	for len(q.entries) > mostHeld {
		dropEarliest(q.entries, func(held Verdict) time.Time { return held.Until })
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
	for identity, verdict := range q.entries {
		if !now.Before(verdict.Until) {
			over = append(over, identity)
			delete(q.entries, identity)
		}
	}
	return over
}

// All returns the verdicts in force, in order of identity.
func (q *Quarantine) All() []Verdict {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	all := make([]Verdict, 0, len(q.entries))
	for _, verdict := range q.entries {
		all = append(all, verdict)
	}
	slices.SortFunc(all, func(a, b Verdict) int { return slices.Compare(a.Identity[:], b.Identity[:]) })
	return all
}
