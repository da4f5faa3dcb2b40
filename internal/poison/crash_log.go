package poison

import (
	"slices"
	"sync"
	"time"
)

const (
	// crashThreshold is the number of crashes at which an identity is quarantined. An unrelated
	// request that ran beside a poison request at its first crash, and again when its caller
	// retried, has two and must not be quarantined.
	crashThreshold = 3
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// maxCrashes is the number of crashes that are kept, maxSuspects that of the suspects of
	// each: twice the number of requests that the largest servers run concurrently (64).
	maxCrashes, maxSuspects = 1024, 128
	// maxPastQuarantines is the number of past quarantines that are kept, each for
	// pastQuarantineRetention after its end.
	maxPastQuarantines      = 1024
	pastQuarantineRetention = 2 * time.Hour
	// initialQuarantine is how long an identity is refused the first time. Each further time
	// takes twice as long, up to maxQuarantine.
	initialQuarantine, maxQuarantine = 10 * time.Minute, 2 * time.Hour
	// provisionalQuarantine is how long the likeliest of several requests at the same crashes
	// is refused: longer than a report takes to all reachable nodes, and short, since the
	// request may be a false positive.
	provisionalQuarantine = 5 * time.Second
)

// CrashLog counts the crashes of servers by the requests that were running there. A crash at
// which a quarantined identity was running is explained by that identity. Otherwise the
// requests beside it, which their callers retry as well, would be quarantined after it.
type CrashLog struct {
	mutex   sync.Mutex
	crashes map[string]*crashRecord
	// past quarantines by identity.
	past map[Identity]pastQuarantine
	// released are the crashes that identities were released from.
	released map[Identity]*releasedCrashes
}

// pastQuarantine is what is kept of an identity that was quarantined.
type pastQuarantine struct {
	times int
	until time.Time
}

// NewCrashLog returns an empty log.
func NewCrashLog() *CrashLog {
	return &CrashLog{
		crashes: map[string]*crashRecord{}, past: map[Identity]pastQuarantine{}, released: map[Identity]*releasedCrashes{},
	}
}

// Add records what one node reports as running at servers that crashed.
func (l *CrashLog) Add(crashes []Crash, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	for _, reported := range crashes {
		at := now.Add(-reported.Age)
		crash := l.crashes[reported.Server]
		if crash == nil {
			crash = &crashRecord{at: at, suspects: map[Identity]time.Duration{}, served: map[Identity]bool{}}
			l.crashes[reported.Server] = crash
		}
		if at.Before(crash.at) {
			crash.at = at
		}
		for i, identity := range reported.Suspects {
			if len(crash.suspects) < maxSuspects && !l.isReleasedFrom(identity, reported.Server) {
				crash.addSuspect(identity, reported.elapsedOf(i))
			}
		}
		for _, identity := range reported.Served {
			if len(crash.served) < maxSuspects {
				crash.served[identity] = true
			}
		}
	}
}

// Decide returns the entries of the identities that are to be quarantined from now on, and the
// quarantined identities that are to be released because one of these explains their crashes.
func (l *CrashLog) Decide(wasQuarantined func(Identity) bool, now time.Time) (entries []Entry, explained []Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	found := map[Identity]bool{}
	isQuarantined := func(identity Identity) bool { return found[identity] || wasQuarantined(identity) }
	for candidates := l.topSuspects(isQuarantined); len(candidates) > 0; candidates = l.topSuspects(isQuarantined) {
		identity := l.likeliestCause(candidates)
		entries = append(entries, l.newEntry(identity, l.rivals(identity, candidates, isQuarantined), now))
		found[identity] = true
	}
	if len(entries) > 0 {
		explained = l.toRelease(wasQuarantined, isQuarantined)
	}
	return entries, explained
}

// crashCount counts the crashes of one identity.
type crashCount struct {
	all, unexplained int
}

// exceedsThreshold reports whether an identity with these crashes is to be quarantined. With
// more than crashThreshold crashes, or after an earlier quarantine, a single unexplained one is
// enough: the others may have been explained by a false positive.
func (c crashCount) exceedsThreshold(quarantinedBefore bool) bool {
	return c.unexplained >= crashThreshold || c.unexplained > 0 && (quarantinedBefore || c.all > crashThreshold)
}

// topSuspects returns, of the identities that exceed the threshold, those with the most
// unexplained crashes. Where several have equally many, those that no node has seen served come
// first, since the crashes that they explain no longer count against any other.
func (l *CrashLog) topSuspects(isQuarantined func(Identity) bool) []Identity {
	var found []Identity
	maxUnexplained := 0
	for identity, count := range l.count(isQuarantined) {
		if _, quarantinedBefore := l.past[identity]; isQuarantined(identity) || !count.exceedsThreshold(quarantinedBefore) || count.unexplained < maxUnexplained {
			continue
		}
		if count.unexplained > maxUnexplained {
			maxUnexplained, found = count.unexplained, nil
		}
		found = append(found, identity)
	}
	if unseen := slices.DeleteFunc(slices.Clone(found), l.wasServed); len(unseen) > 0 {
		found = unseen
	}
	return found
}

// wasServed reports whether some node has seen an identity served before a crash at which it
// was running.
func (l *CrashLog) wasServed(identity Identity) bool {
	for _, crash := range l.crashes {
		if crash.served[identity] {
			return true
		}
	}
	return false
}

// count returns the number of crashes of each identity.
func (l *CrashLog) count(isQuarantined func(Identity) bool) map[Identity]crashCount {
	counts := map[Identity]crashCount{}
	for _, crash := range l.crashes {
		explained := crash.explained(isQuarantined)
		for identity := range crash.suspects {
			count := counts[identity]
			count.all++
			if !explained {
				count.unexplained++
			}
			counts[identity] = count
		}
	}
	return counts
}

// newEntry makes and remembers the entry of an identity. The caller must hold the lock.
func (l *CrashLog) newEntry(identity Identity, rivals []Identity, now time.Time) Entry {
	entry := Entry{Identity: identity, Times: l.past[identity].times, Rivals: rivals, Until: now.Add(provisionalQuarantine)}
	if !entry.provisional() {
		entry = entry.confirmed(now)
	}
	entry.Servers, entry.Since = l.serversOf(identity), now
	for _, server := range entry.Servers {
		if at := l.crashes[server].at; at.Before(entry.Since) {
			entry.Since = at
		}
	}
	l.remember(entry)
	return entry
}

// serversOf returns, in order, the servers that crashed under an identity. The caller must hold
// the lock.
func (l *CrashLog) serversOf(identity Identity) []string {
	var servers []string
	for server, crash := range l.crashes {
		if crash.hasSuspect(identity) {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// confirmed returns the entry as it is once only its identity explains the crashes.
func (e Entry) confirmed(now time.Time) Entry {
	e.Rivals = nil
	e.Times++
	e.Until = now.Add(quarantineDuration(e.Times))
	return e
}

// quarantineDuration is how long an identity is refused that is quarantined for the nth time.
func quarantineDuration(times int) time.Duration {
	duration := initialQuarantine
	for range times - 1 {
		duration = min(2*duration, maxQuarantine)
	}
	return duration
}

// RememberEntry records an entry that another node made.
func (l *CrashLog) RememberEntry(entry Entry) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.remember(entry)
}

func (l *CrashLog) remember(entry Entry) {
	times := max(entry.Times, l.past[entry.Identity].times)
	l.past[entry.Identity] = pastQuarantine{times: times, until: entry.Until.Add(pastQuarantineRetention)}
	for len(l.past) > maxPastQuarantines {
		dropEarliest(l.past, func(past pastQuarantine) time.Time { return past.until })
	}
}

// QuarantineExpired records that the quarantine of an identity is over: one more crash
// quarantines it again. The crashes that it was quarantined for count against no other
// identity.
func (l *CrashLog) QuarantineExpired(identity Identity) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, crash := range l.crashes {
		if crash.hasSuspect(identity) {
			crash.settled = true
		}
	}
}

// expire drops what is too old, and the oldest crashes and quarantines beyond the limits.
func (l *CrashLog) expire(now time.Time) {
	for server, crash := range l.crashes {
		if now.Sub(crash.at) > crashRetention {
			delete(l.crashes, server)
		}
	}
	for len(l.crashes) > maxCrashes {
		dropEarliest(l.crashes, func(crash *crashRecord) time.Time { return crash.at })
	}
	for identity, past := range l.past {
		if now.After(past.until) {
			delete(l.past, identity)
		}
	}
	l.expireReleases(now)
}

// dropEarliest removes the value with the earliest time.
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
