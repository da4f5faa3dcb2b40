package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// condemnedAfter ends of servers an identity is refused. One that ran beside the
	// guilty one at its first end, and again when its caller tried again, has two.
	condemnedAfter = 3
	// endMemory is how long an end counts.
	endMemory = 10 * time.Minute
	// mostEnds are remembered, mostSuspects of each: twice what a server works on at
	// once where most are used (64).
	mostEnds, mostSuspects = 1024, 128
	// mostConvictions are remembered, each for convictionMemory after its last hold.
	mostConvictions  = 1024
	convictionMemory = 2 * time.Hour
	// firstHold is how long an identity is refused at first. Each further time is
	// twice as long, up to longestHold.
	firstHold, longestHold = 10 * time.Minute, 2 * time.Hour
)

// ServerEnd is a server that ended, with what was under way there.
type ServerEnd struct {
	// Server is the ID of its incarnation.
	Server   string
	Suspects []Identity
	// Age of the end when this is told. Whether its suspects were served since depends on
	// the time of the end, not on that at which a node learns of it.
	Age time.Duration
}

// aged returns the ends as they are to be told at the time, each with when it was.
func aged(ends []timedEnd, now time.Time) []ServerEnd {
	told := make([]ServerEnd, len(ends))
	for i, end := range ends {
		told[i] = ServerEnd{Server: end.server, Suspects: end.suspects, Age: now.Sub(end.at)}
	}
	return told
}

// timedEnd is a server's end with its time on this node's steady clock.
type timedEnd struct {
	server   string
	suspects []Identity
	at       time.Time
}

// Ledger counts the ends of servers by what was under way there. An end at which a
// condemned identity was under way is explained by that one: else its neighbours, which
// callers send again as well, would follow it.
type Ledger struct {
	mutex sync.Mutex
	ends  map[string]*ledgerEnd
	// convictions by identity: how often it was condemned.
	convictions map[Identity]conviction
}

type ledgerEnd struct {
	at       time.Time
	suspects map[Identity]bool
}

// conviction is what is remembered of an identity after its hold.
type conviction struct {
	times int
	until time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ends: map[string]*ledgerEnd{}, convictions: map[Identity]conviction{}}
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
			end = &ledgerEnd{at: at, suspects: map[Identity]bool{}}
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
	}
}

// Judge returns the identities that are to be refused from now on.
func (l *Ledger) Judge(held func(Identity) bool, now time.Time) []Verdict {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.forget(now)
	condemned := map[Identity]bool{}
	isCondemned := func(identity Identity) bool { return condemned[identity] || held(identity) }
	var verdicts []Verdict
	for guilty := l.guiltiest(isCondemned); len(guilty) > 0; guilty = l.guiltiest(isCondemned) {
		for _, identity := range guilty {
			condemned[identity] = true
			verdicts = append(verdicts, l.condemn(identity, now))
		}
	}
	return verdicts
}

// tally counts the ends of one identity.
type tally struct {
	all, unexplained int
}

// guilty reports whether an identity with these ends is to be refused. One with more
// than condemnedAfter is so if a single one is unexplained: the others may have been
// explained by an innocent.
func (t tally) guilty(convicted bool) bool {
	return t.unexplained >= condemnedAfter || t.unexplained > 0 && (convicted || t.all > condemnedAfter)
}

// guiltiest returns, of the identities that are to be refused, those with the most ends
// that no condemned one explains, in order.
func (l *Ledger) guiltiest(condemned func(Identity) bool) []Identity {
	var found []Identity
	most := 0
	for identity, ends := range l.count(condemned) {
		if _, convicted := l.convictions[identity]; condemned(identity) || !ends.guilty(convicted) || ends.unexplained < most {
			continue
		}
		if ends.unexplained > most {
			most, found = ends.unexplained, nil
		}
		found = append(found, identity)
	}
	slices.SortFunc(found, func(a, b Identity) int { return slices.Compare(a[:], b[:]) })
	return found
}

// count returns the ends of each identity.
func (l *Ledger) count(condemned func(Identity) bool) map[Identity]tally {
	counts := map[Identity]tally{}
	for _, end := range l.ends {
		explained := end.explained(condemned)
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

func (e *ledgerEnd) explained(condemned func(Identity) bool) bool {
	for identity := range e.suspects {
		if condemned(identity) {
			return true
		}
	}
	return false
}

// condemn makes the verdict. It must be called with the lock held.
func (l *Ledger) condemn(identity Identity, now time.Time) Verdict {
	verdict := Verdict{Identity: identity, Times: l.convictions[identity].times + 1}
	first := now
	for server, end := range l.ends {
		if end.suspects[identity] {
			verdict.Servers = append(verdict.Servers, server)
			if end.at.Before(first) {
				first = end.at
			}
		}
	}
	slices.Sort(verdict.Servers)
	verdict.Since, verdict.Until = first, now.Add(holdOf(verdict.Times))
	l.remember(verdict)
	return verdict
}

// holdOf is how long an identity is refused that is condemned for the nth time.
func holdOf(times int) time.Duration {
	hold := firstHold
	for range times - 1 {
		hold = min(2*hold, longestHold)
	}
	return hold
}

// Convicted notes a verdict of another node.
func (l *Ledger) Convicted(verdict Verdict) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remember(verdict)
}

func (l *Ledger) remember(verdict Verdict) {
	times := max(verdict.Times, l.convictions[verdict.Identity].times)
	l.convictions[verdict.Identity] = conviction{times: times, until: verdict.Until.Add(convictionMemory)}
	for len(l.convictions) > mostConvictions {
		dropEarliest(l.convictions, func(c conviction) time.Time { return c.until })
	}
}

// Clear takes an identity out of all ends, and forgets that it was condemned.
func (l *Ledger) Clear(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.convictions, identity)
	l.clearEnds(identity)
}

// HoldOver notes that the hold of an identity is over: one more end condemns it again.
func (l *Ledger) HoldOver(identity Identity) {
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
	for identity, before := range l.convictions {
		if now.After(before.until) {
			delete(l.convictions, identity)
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
