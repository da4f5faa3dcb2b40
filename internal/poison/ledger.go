package poison

import (
	"cmp"
	"math"
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

// ServerEnd is a server that ended, with what was under way there.
type ServerEnd struct {
	// Server is the ID of its incarnation.
	Server   string
	Suspects []Identity
	// Elapsed is how long each of them had run, in the same order. Earlier builds send none.
	Elapsed []time.Duration
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
		told[i] = ServerEnd{Server: end.server, Suspects: identitiesOf(end.suspects), Served: end.served, Age: now.Sub(end.at)}
		for _, suspect := range end.suspects {
			told[i].Elapsed = append(told[i].Elapsed, suspect.elapsed)
		}
	}
	return told
}

// unknownElapsed is that of a suspect whose node did not report how long it had run.
const unknownElapsed = time.Duration(-1)

func (e ServerEnd) elapsedOf(index int) time.Duration {
	if index < len(e.Elapsed) {
		return e.Elapsed[index]
	}
	return unknownElapsed
}

// timedEnd is a server's end with its time on this node's steady clock.
type timedEnd struct {
	server   string
	suspects []suspect
	served   []Identity
	at       time.Time
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
	// suspects, and how long each had run.
	suspects map[Identity]time.Duration
	// served are those of them that were served before, as some node tells.
	served map[Identity]bool
	// settled: the identity that explains this end was held for it, and is no longer.
	settled bool
}

// suspect notes an identity. Of several attempts the longest one counts: the first of them
// ended the server, if they did.
func (e *ledgerEnd) suspect(identity Identity, elapsed time.Duration) {
	if before, known := e.suspects[identity]; known {
		elapsed = max(elapsed, before)
	}
	e.suspects[identity] = elapsed
}

func (e *ledgerEnd) has(identity Identity) bool {
	_, suspected := e.suspects[identity]
	return suspected
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
			end = &ledgerEnd{at: at, suspects: map[Identity]time.Duration{}, served: map[Identity]bool{}}
			l.ends[told.Server] = end
		}
		if at.Before(end.at) {
			end.at = at
		}
		for i, identity := range told.Suspects {
			if len(end.suspects) < mostSuspects {
				end.suspect(identity, told.elapsedOf(i))
			}
		}
		for _, identity := range told.Served {
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
	for _, entry := range entries {
		explained = append(explained, l.explainedBy(entry.Identity, held)...)
	}
	return entries, explained
}

// likeliest returns the identity whose time from its start to the end of its server varies
// least: what ends a server does so after its own time, while others were begun at any time
// before.
func (l *Ledger) likeliest(identities []Identity) Identity {
	return slices.MinFunc(identities, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(l.spread(a), l.spread(b)), a.compare(b))
	})
}

// spread is the difference between the longest and the shortest time that the identity had
// run at the ends; the longest time there is if one of them is not known.
func (l *Ledger) spread(identity Identity) time.Duration {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, end := range l.ends {
		elapsed, suspected := end.suspects[identity]
		if !suspected {
			continue
		}
		if elapsed == unknownElapsed {
			return math.MaxInt64
		}
		shortest, longest = min(shortest, elapsed), max(longest, elapsed)
	}
	return longest - shortest
}

// rivals returns those of the others that were at all unexplained ends of an identity.
func (l *Ledger) rivals(identity Identity, others []Identity, held func(Identity) bool) []Identity {
	explained := func(end *ledgerEnd) bool { return end.explained(held) }
	var found []Identity
	for _, other := range others {
		if other != identity && l.atAllEndsOf(other, identity, explained) {
			found = append(found, other)
		}
	}
	slices.SortFunc(found, Identity.compare)
	return found
}

// explainedBy returns the held identities all of whose ends, and at least one more, the
// other one was at. Those of which ends have been forgotten are left out.
func (l *Ledger) explainedBy(other Identity, held func(Identity) bool) []Identity {
	counts := l.count(held)
	noException := func(*ledgerEnd) bool { return false }
	var explained []Identity
	for identity, ends := range counts {
		complete := held(identity) && ends.all >= endsToHold
		if complete && counts[other].all > ends.all && l.atAllEndsOf(other, identity, noException) {
			explained = append(explained, identity)
		}
	}
	slices.SortFunc(explained, Identity.compare)
	return explained
}

// atAllEndsOf reports whether one identity was at all ends of another but the excepted.
func (l *Ledger) atAllEndsOf(one, another Identity, excepted func(*ledgerEnd) bool) bool {
	for _, end := range l.ends {
		if end.has(another) && !excepted(end) && !end.has(one) {
			return false
		}
	}
	return true
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
	if e.settled {
		return true
	}
	for identity := range e.suspects {
		if held(identity) {
			return true
		}
	}
	return false
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
