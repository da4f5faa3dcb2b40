package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// endsToHold ends of servers make an identity held. One that ran beside a poison
	// request at its first end, and again when its caller tried again, has two.
	endsToHold = 3
	// endMemory is how long an end counts.
	endMemory = 10 * time.Minute
	// mostEnds are remembered, mostSuspects of each: twice what a server works on at
	// once where most are used (64).
	mostEnds, mostSuspects = 1024, 128
	// mostPast holds are remembered, each for pastMemory after its end.
	mostPast   = 1024
	pastMemory = 2 * time.Hour
	// firstHold is how long an identity is refused at first. Each further time is
	// twice as long, up to longestHold.
	firstHold, longestHold = 10 * time.Minute, 2 * time.Hour
	// provisionalHold is how long the likeliest of several requests at the same ends is
	// refused: longer than a report takes to all nodes in touch, and short for a request
	// that is refused by mistake.
	provisionalHold = 5 * time.Second
)

// Ledger counts the ends of servers by what was under way there. An end at which a
// held identity was under way is explained by that one: else its neighbours, which
// callers send again as well, would follow it.
type Ledger struct {
	mutex sync.Mutex
	ends  map[string]*ledgerEnd
	// past holds by identity.
	past map[Identity]pastHold
}

// pastHold is what is remembered of an identity after it was held.
type pastHold struct {
	times int
	until time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ends: map[string]*ledgerEnd{}, past: map[Identity]pastHold{}}
}

// Add notes what was under way at servers that ended, as one node reports.
func (l *Ledger) Add(ends []ServerEnd, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	for _, reported := range ends {
		at := now.Add(-reported.Age)
		end := l.ends[reported.Server]
		if end == nil {
			end = &ledgerEnd{at: at, suspects: map[Identity]time.Duration{}, served: map[Identity]bool{}}
			l.ends[reported.Server] = end
		}
		if at.Before(end.at) {
			end.at = at
		}
		for i, identity := range reported.Suspects {
			if len(end.suspects) < mostSuspects {
				end.suspect(identity, reported.elapsedOf(i))
			}
		}
		for _, identity := range reported.Served {
			if len(end.served) < mostSuspects {
				end.served[identity] = true
			}
		}
	}
}

// Decide returns the identities that are to be held from now on, and the held ones that are
// to be released, since one of these explains their ends.
func (l *Ledger) Decide(held func(Identity) bool, now time.Time) (entries []Entry, explained []Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	found := map[Identity]bool{}
	isHeld := func(identity Identity) bool { return found[identity] || held(identity) }
	for exceeded := l.worst(isHeld); len(exceeded) > 0; exceeded = l.worst(isHeld) {
		identity := l.likeliest(exceeded)
		entries = append(entries, l.hold(identity, l.rivals(identity, exceeded, isHeld), now))
		found[identity] = true
	}
	if len(entries) > 0 {
		explained = l.explained(held, isHeld)
	}
	return entries, explained
}

// tally counts the ends of one identity.
type tally struct {
	all, unexplained int
}

// exceeded reports whether an identity with these ends is to be held. One with more
// than endsToHold is so if a single one is unexplained: the others may have been
// explained by one that is held by mistake.
func (t tally) exceeded(before bool) bool {
	return t.unexplained >= endsToHold || t.unexplained > 0 && (before || t.all > endsToHold)
}

// worst returns, of the identities that are to be refused, those with the most ends
// that no held one explains. Of several with as many, those come first that were never
// seen served: the ends that they explain count against no other.
func (l *Ledger) worst(held func(Identity) bool) []Identity {
	var found []Identity
	most := 0
	for identity, ends := range l.count(held) {
		if _, before := l.past[identity]; held(identity) || !ends.exceeded(before) || ends.unexplained < most {
			continue
		}
		if ends.unexplained > most {
			most, found = ends.unexplained, nil
		}
		found = append(found, identity)
	}
	if unseen := slices.DeleteFunc(slices.Clone(found), l.wasServed); len(unseen) > 0 {
		found = unseen
	}
	return found
}

// wasServed reports whether some node has seen an identity served before an end at which it
// was under way.
func (l *Ledger) wasServed(identity Identity) bool {
	for _, end := range l.ends {
		if end.served[identity] {
			return true
		}
	}
	return false
}

// count returns the ends of each identity.
func (l *Ledger) count(held func(Identity) bool) map[Identity]tally {
	counts := map[Identity]tally{}
	for _, end := range l.ends {
		explained := end.explained(held)
		for identity := range end.suspects {
			ends := counts[identity]
			ends.all++
			if !explained {
				ends.unexplained++
			}
			counts[identity] = ends
		}
	}
	return counts
}

// hold makes the entry. It must be called with the lock held.
func (l *Ledger) hold(identity Identity, rivals []Identity, now time.Time) Entry {
	entry := Entry{Identity: identity, Times: l.past[identity].times, Rivals: rivals, Until: now.Add(provisionalHold)}
	if !entry.provisional() {
		entry = entry.confirmed(now)
	}
	first := now
	for server, end := range l.ends {
		if end.has(identity) {
			entry.Servers = append(entry.Servers, server)
			if end.at.Before(first) {
				first = end.at
			}
		}
	}
	slices.Sort(entry.Servers)
	entry.Since = first
	l.remember(entry)
	return entry
}

// confirmed is the entry once nothing but its identity explains the ends.
func (e Entry) confirmed(now time.Time) Entry {
	e.Rivals = nil
	e.Times++
	e.Until = now.Add(holdOf(e.Times))
	return e
}

// holdOf is how long an identity is refused that is held for the nth time.
func holdOf(times int) time.Duration {
	hold := firstHold
	for range times - 1 {
		hold = min(2*hold, longestHold)
	}
	return hold
}

// Remember notes an entry of another node.
func (l *Ledger) Remember(entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remember(entry)
}

func (l *Ledger) remember(entry Entry) {
	times := max(entry.Times, l.past[entry.Identity].times)
	l.past[entry.Identity] = pastHold{times: times, until: entry.Until.Add(pastMemory)}
	for len(l.past) > mostPast {
		dropEarliest(l.past, func(c pastHold) time.Time { return c.until })
	}
}

// Clear takes an identity out of all ends, and forgets that it was held.
func (l *Ledger) Clear(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.past, identity)
	for _, end := range l.ends {
		delete(end.suspects, identity)
	}
}

// Expired notes that the hold of an identity is over: with one more end it is held again.
// The ends that it was held for count against no other.
func (l *Ledger) Expired(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, end := range l.ends {
		if end.has(identity) {
			end.settled = true
		}
	}
}

// forget drops what is old, and the oldest of what is too much.
func (l *Ledger) forget(now time.Time) {
	for server, end := range l.ends {
		if now.Sub(end.at) > endMemory {
			delete(l.ends, server)
		}
	}
	for len(l.ends) > mostEnds {
		dropEarliest(l.ends, func(end *ledgerEnd) time.Time { return end.at })
	}
	for identity, before := range l.past {
		if now.After(before.until) {
			delete(l.past, identity)
		}
	}
}

// dropEarliest removes the entry with the earliest time.
func dropEarliest[K comparable, V any](entries map[K]V, at func(V) time.Time) {
	var earliest K
	var earliestAt time.Time
	for key, value := range entries {
		if earliestAt.IsZero() || at(value).Before(earliestAt) {
			earliest, earliestAt = key, at(value)
		}
	}
	delete(entries, earliest)
}
