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
	// maxSuspectedParts is the number of parts of prompts that are kept for each crash.
	maxSuspectedParts = 512
	// servedPartThreshold is the number of crashes at which a part of prompts is quarantined that
	// servers have served before. A part that many requests share is in each crash, and may have
	// had no time to be served since the first of several quick ones.
	servedPartThreshold = 5
	// maxPastQuarantines is the number of past quarantines that are kept, each for
	// pastQuarantineRetention after its end.
	maxPastQuarantines      = 1024
	pastQuarantineRetention = 2 * time.Hour
	// initialQuarantine is how long an identity is refused the first time. Each further time
	// takes twice as long.
	initialQuarantine = 10 * time.Minute
	// provisionalQuarantine is how long the likeliest of several requests at the same crashes
	// is refused before a trial: longer than a report takes to all reachable nodes, and short,
	// since the request may be a false positive.
	provisionalQuarantine = time.Second
	// provisionalTrials is the time in which a provisional entry admits trials, and trialWindow
	// that of a proved one.
	provisionalTrials, trialWindow = crashRetention, 24 * time.Hour
	// maxQuarantines is the number of quarantines after which there is no further trial, and
	// lastQuarantine the length of the last one, which an operator ends.
	maxQuarantines = 3
	lastQuarantine = 30 * 24 * time.Hour
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
	// provisional: the last quarantine was provisional.
	provisional bool
	// servers are the crashes that the last quarantine is for, and refusedUntil the time from which
	// it admitted trials.
	servers      []string
	refusedUntil time.Time
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
			crash = newCrashRecord(reported.Server, at)
			l.crashes[reported.Server] = crash
		}
		if at.Before(crash.at) {
			crash.at = at
		}
		for i, identity := range reported.Suspects {
			crash.addRequest(identity, reported.elapsedOf(i), reported.partsOf(i), reported.trialsOf(i), func(identity Identity) bool {
				return l.isReleasedFrom(identity, reported.Server)
			})
		}
		for _, identity := range reported.Served {
			if len(crash.served) < maxSuspects+maxSuspectedParts {
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
	attribution := l.newAttribution(wasQuarantined)
	for _, identity := range attribution.failedTrials() {
		entry := l.newEntry(Entry{Identity: identity}, now)
		entries = append(entries, entry)
		attribution.add(entry)
	}
	for candidates := attribution.candidates(); len(candidates) > 0; candidates = attribution.candidates() {
		identity := attribution.likeliestCause(candidates)
		entry := l.newEntry(Entry{Identity: identity, Rivals: attribution.rivals(identity), ServedBefore: attribution.served[identity]}, now)
		entries = append(entries, entry)
		attribution.add(entry)
	}
	if len(entries) > 0 {
		explained = attribution.toRelease()
	}
	return entries, explained
}

// Suspects returns the identities that were running at crashes, each with the time of its first.
func (l *CrashLog) Suspects() map[Identity]time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	first := map[Identity]time.Time{}
	for _, crash := range l.crashes {
		for identity := range crash.suspects {
			if at, known := first[identity]; !known || crash.at.Before(at) {
				first[identity] = crash.at
			}
		}
	}
	return first
}

// newEntry completes and remembers the entry of an identity. The caller must hold the lock.
func (l *CrashLog) newEntry(entry Entry, now time.Time) Entry {
	identity := entry.Identity
	entry.Times, entry.Until = l.past[identity].times, now.Add(provisionalQuarantine)
	entry.TrialsUntil = entry.Until.Add(provisionalTrials)
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
	e.Rivals, e.ServedBefore = nil, false
	e.Times++
	e.Until = now.Add(quarantineDuration(e.Times))
	e.TrialsUntil = e.Until
	if e.Times < maxQuarantines {
		e.TrialsUntil = e.Until.Add(trialWindow)
	}
	return e
}

// quarantineDuration is how long an identity is refused that is quarantined for the nth time.
func quarantineDuration(times int) time.Duration {
	if times >= maxQuarantines {
		return lastQuarantine
	}
	duration := initialQuarantine
	for range times - 1 {
		duration *= 2
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
	l.past[entry.Identity] = pastQuarantine{
		times: times, until: entry.expires().Add(pastQuarantineRetention),
		provisional: entry.provisional(), servers: entry.Servers, refusedUntil: entry.Until,
	}
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
	if l.past[identity].provisional {
		l.spendCrashes(identity)
		return
	}
	for _, crash := range l.crashes {
		if crash.hasSuspect(identity) {
			crash.settled = true
		}
	}
}

// spendCrashes records that a provisional quarantine is over without a proof. Its crashes alone
// quarantine neither the identity again nor another one that was as likely. They count for
// identities that had fewer, such as one of two poison requests.
func (l *CrashLog) spendCrashes(identity Identity) {
	none := func(*crashRecord) bool { return false }
	counts := map[Identity]int{}
	for _, crash := range l.crashes {
		for suspect := range crash.suspects {
			counts[suspect]++
		}
	}
	for suspect, count := range counts {
		if suspect != identity && (count < crashThreshold || !l.presentAtAllCrashesOf(identity, suspect, none)) {
			continue
		}
		for _, crash := range l.crashes {
			crash.spend(suspect)
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
