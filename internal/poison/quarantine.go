package poison

import (
	"slices"
	"sync"
	"time"
)

// mostHeld identities are refused at once; beyond, the ones whose hold ends first go.
// Each of them has cost three servers.
const mostHeld = 1024

// objectionTime is how long a new entry refuses nobody, so that a node which has served the
// identity since can object. It exceeds the time of two messages between zones.
const objectionTime = 50 * time.Millisecond

// Quarantine holds the identities that are refused.
type Quarantine struct {
	mutex sync.RWMutex
	held  map[Identity]heldEntry
}

// heldEntry is an entry, and when it begins to refuse.
type heldEntry struct {
	Entry
	refusesFrom time.Time
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{held: map[Identity]heldEntry{}}
}

// Held returns the entry of an identity that is held.
func (q *Quarantine) Held(identity Identity, now time.Time) (Entry, bool) {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	held, found := q.held[identity]
	return held.Entry, found && now.Before(held.Until)
}

// heldAt returns which identities are held at a time. It does not follow later changes: an
// entry of another node that came during a decision would make its rival the only suspect.
func (q *Quarantine) heldAt(now time.Time) func(Identity) bool {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	held := make(map[Identity]bool, len(q.held))
	for identity, entry := range q.held {
		held[identity] = now.Before(entry.Until)
	}
	return func(identity Identity) bool { return held[identity] }
}

// hasRival reports whether an identity, begun at a time, is a rival of one that is held for
// ends since before.
func (q *Quarantine) hasRival(identity Identity, began time.Time) bool {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	for _, held := range q.held {
		if began.After(held.Since) && slices.Contains(held.Rivals, identity) {
			return true
		}
	}
	return false
}

// Refused returns the entry by which an identity is refused: one that is held, and that
// nobody has objected to in time.
func (q *Quarantine) Refused(identity Identity, now time.Time) (Entry, bool) {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	held, found := q.held[identity]
	return held.Entry, found && now.Before(held.Until) && !now.Before(held.refusesFrom)
}

// add takes an entry over, which refuses from a time on unless the identity is held
// already. It reports whether it was not, or only provisionally.
func (q *Quarantine) add(entry Entry, refusesFrom, now time.Time) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	before, found := q.held[entry.Identity]
	if !now.Before(entry.Until) || found && !entry.Until.After(before.Until) {
		return false
	}
	again := found && now.Before(before.Until)
	if again {
		refusesFrom = before.refusesFrom
	}
	q.held[entry.Identity] = heldEntry{Entry: entry, refusesFrom: refusesFrom}
	for len(q.held) > mostHeld {
		dropEarliest(q.held, func(held heldEntry) time.Time { return held.Until })
	}
	return !again || before.provisional() && !entry.provisional()
}

// remove lets an identity go, and reports whether it was held.
func (q *Quarantine) remove(identity Identity) bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	_, found := q.held[identity]
	delete(q.held, identity)
	return found
}

// removeOver removes and returns the identities whose hold is over.
func (q *Quarantine) removeOver(now time.Time) []Identity {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var over []Identity
	for identity, held := range q.held {
		if !now.Before(held.Until) {
			over = append(over, identity)
			delete(q.held, identity)
		}
	}
	return over
}

// All returns the entries in force, in order of identity.
func (q *Quarantine) All() []Entry {
	q.mutex.RLock()
	defer q.mutex.RUnlock()
	all := make([]Entry, 0, len(q.held))
	for _, held := range q.held {
		all = append(all, held.Entry)
	}
	slices.SortFunc(all, func(a, b Entry) int { return a.Identity.compare(b.Identity) })
	return all
}
