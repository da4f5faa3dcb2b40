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
)

// ServerEnd is a server that ended, with what was under way there.
type ServerEnd struct {
	// Server is the ID of its incarnation.
	Server   string
	Suspects []Identity
	// Served are those of them that the telling node has seen servers serve before.
	Served []Identity
	// Age of the end when this is told. Whether its suspects were served since depends on
	// the time of the end, not on that at which a node learns of it.
	Age time.Duration
}

// aged returns the ends as they are to be told at the time, each with when it was.
func aged(ends []timedEnd, now time.Time) []ServerEnd {
	told := make([]ServerEnd, len(ends))
	for i, end := range ends {
		told[i] = ServerEnd{Server: end.server, Suspects: end.suspects, Served: end.served, Age: now.Sub(end.at)}
	}
	return told
}

// timedEnd is a server's end with its time on this node's steady clock.
type timedEnd struct {
	server           string
	suspects, served []Identity
	at               time.Time
}

// Ledger counts the ends of servers by what was under way there. An end at which a
// held identity was under way is explained by that one: else its neighbours, which
// callers send again as well, would follow it.
type Ledger struct {
	mutex sync.Mutex
	ends  map[string]*ledgerEnd
	// past holds by identity.
	past map[Identity]pastHold
}

type ledgerEnd struct {
	at time.Time
	// suspects, and which of them were served before, as some node tells.
	suspects, served map[Identity]bool
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

// Add notes what was under way at servers that ended, as one node tells.
func (l *Ledger) Add(ends []ServerEnd, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	for _, told := range ends {
		at := now.Add(-told.Age)
		end := l.ends[told.Server]
		if end == nil {
			end = &ledgerEnd{at: at, suspects: map[Identity]bool{}, served: map[Identity]bool{}}
			l.ends[told.Server] = end
		}
		if at.Before(end.at) {
			end.at = at
		}
		for _, identity := range told.Suspects {
			if len(end.suspects) < mostSuspects {
				end.suspects[identity] = true
			}
		}
		for _, identity := range told.Served {
			if len(end.served) < mostSuspects {
				end.served[identity] = true
			}
		}
	}
}

// Decide returns the identities that are to be held from now on.
func (l *Ledger) Decide(held func(Identity) bool, now time.Time) []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	found := map[Identity]bool{}
	isHeld := func(identity Identity) bool { return found[identity] || held(identity) }
	var entries []Entry
	for exceeded := l.worst(isHeld); len(exceeded) > 0; exceeded = l.worst(isHeld) {
		for _, identity := range exceeded {
			found[identity] = true
			entries = append(entries, l.hold(identity, now))
		}
	}
	return entries
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
// that no held one explains, in order. Of several with as many, those come first that were
// never seen served: what they explain is no fault of the others.
//
// Without that a harmless request at just the same three ends as one that ends servers is
// refused with it, for ten minutes (2 identities held in place of 1, test of the ledger). It
// helps where some node has seen the harmless one served in its life.
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
	slices.SortFunc(found, Identity.compare)
	return found
}

// wasServed reports whether some node has seen an identity served before an end that it is
// blamed for.
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

func (e *ledgerEnd) explained(held func(Identity) bool) bool {
	for identity := range e.suspects {
		if held(identity) {
			return true
		}
	}
	return false
}

// hold makes the entry. It must be called with the lock held.
func (l *Ledger) hold(identity Identity, now time.Time) Entry {
	entry := Entry{Identity: identity, Times: l.past[identity].times + 1}
	first := now
	for server, end := range l.ends {
		if end.suspects[identity] {
			entry.Servers = append(entry.Servers, server)
			if end.at.Before(first) {
				first = end.at
			}
		}
	}
	slices.Sort(entry.Servers)
	entry.Since, entry.Until = first, now.Add(holdOf(entry.Times))
	l.remember(entry)
	return entry
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
	l.clearEnds(identity)
}

// Expired notes that the hold of an identity is over: with one more end it is held again.
func (l *Ledger) Expired(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.clearEnds(identity)
}

func (l *Ledger) clearEnds(identity Identity) {
	for _, end := range l.ends {
		delete(end.suspects, identity)
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
