package poison

import "time"

const (
	// maxReleased is the number of released identities that are kept.
	maxReleased = 1024
	// releaseRetention is how long a release is kept after it last grew: longer than an entry
	// that it voids can be in flight, and than the crashes count.
	releaseRetention = crashRetention
)

// releasedCrashes are the crashes that an identity was released from. They only grow until they
// are forgotten, so that entries and releases have the same result in whatever order they
// arrive, and each is forwarded once.
type releasedCrashes struct {
	servers map[string]bool
	until   time.Time
}

// Release removes an identity from the suspects of the servers' crashes, now and when they are
// reported later, and forgets its past quarantines. It reports whether the identity had not been
// released from all of them before.
func (l *CrashLog) Release(identity Identity, servers []string, now time.Time) (grew bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.expire(now)
	released := l.released[identity]
	if released == nil {
		released = &releasedCrashes{servers: map[string]bool{}}
		l.released[identity] = released
	}
	for _, server := range servers {
		if !released.servers[server] && len(released.servers) < maxCrashes {
			released.servers[server], grew = true, true
		}
		if crash := l.crashes[server]; crash != nil {
			delete(crash.suspects, identity)
		}
	}
	if grew {
		l.forgetPast(identity)
		released.until = now.Add(releaseRetention)
	}
	return grew
}

// forgetPast forgets how often an identity was quarantined. That the last quarantine was
// provisional is kept: a decision under way may still count it as quarantined.
func (l *CrashLog) forgetPast(identity Identity) {
	if past, known := l.past[identity]; known {
		past.times = 0
		l.past[identity] = past
	}
}

// IsReleased reports whether an identity was released from so many crashes of its entry that
// those left are below the threshold.
func (l *CrashLog) IsReleased(entry Entry) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	left := 0
	for _, server := range entry.Servers {
		if !l.isReleasedFrom(entry.Identity, server) {
			left++
		}
	}
	return left < len(entry.Servers) && left < crashThreshold
}

// isReleasedFrom reports whether an identity was released from a server's crash. The caller must
// hold the lock.
func (l *CrashLog) isReleasedFrom(identity Identity, server string) bool {
	released := l.released[identity]
	return released != nil && released.servers[server]
}

// CrashesOf returns the servers that crashed under an identity.
func (l *CrashLog) CrashesOf(identity Identity) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.serversOf(identity)
}

// ExplainedCrashes returns the servers that crashed under an identity and under another one whose
// quarantine is not provisional.
func (l *CrashLog) ExplainedCrashes(identity Identity, isQuarantined func(Identity) bool) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.newAttribution(isQuarantined).explainedCrashes(identity)
}

// expireReleases drops releases that are too old, and the oldest beyond the limit.
func (l *CrashLog) expireReleases(now time.Time) {
	for identity, released := range l.released {
		if now.After(released.until) {
			delete(l.released, identity)
		}
	}
	for len(l.released) > maxReleased {
		dropEarliest(l.released, func(released *releasedCrashes) time.Time { return released.until })
	}
}
