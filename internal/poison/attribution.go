package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// likeliestCause returns the identity whose running time until the crash varies least between
// crashes: a poison request crashes a server a fixed time after its own start, while unrelated
// requests had started at arbitrary times before.
func (l *CrashLog) likeliestCause(identities []Identity) Identity {
	return slices.MinFunc(identities, func(a, b Identity) int {
		return cmp.Or(cmp.Compare(l.elapsedRange(a), l.elapsedRange(b)), a.compare(b))
	})
}

// elapsedRange is the difference between the longest and the shortest running time of the
// identity at its crashes, or the maximum duration if one of them is unknown.
func (l *CrashLog) elapsedRange(identity Identity) time.Duration {
	shortest, longest := time.Duration(math.MaxInt64), time.Duration(0)
	for _, crash := range l.crashes {
		elapsed, suspected := crash.suspects[identity]
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

// rivals returns, in order, the other identities that were running at every unexplained crash
// of an identity.
func (l *CrashLog) rivals(identity Identity, others []Identity, isQuarantined func(Identity) bool) []Identity {
	explained := func(crash *crashRecord) bool { return crash.explained(isQuarantined) }
	var found []Identity
	for _, other := range others {
		if other != identity && l.presentAtAllCrashesOf(other, identity, explained) {
			found = append(found, other)
		}
	}
	slices.SortFunc(found, Identity.compare)
	return found
}

// toRelease returns the quarantined identities that are left with fewer than crashThreshold
// crashes of their own: the other crashes are explained by another quarantined identity that
// was running there and has more crashes. Identities some of whose crashes have expired from
// the log are left out, since their count is incomplete.
func (l *CrashLog) toRelease(wasQuarantined, isQuarantined func(Identity) bool) []Identity {
	counts := l.count(wasQuarantined)
	own := map[Identity]int{}
	for _, crash := range l.crashes {
		maxCount := 0
		for identity := range crash.suspects {
			if isQuarantined(identity) {
				maxCount = max(maxCount, counts[identity].all)
			}
		}
		for identity := range crash.suspects {
			if counts[identity].all >= maxCount {
				own[identity]++
			}
		}
	}
	var found []Identity
	for identity, count := range counts {
		if wasQuarantined(identity) && count.all >= crashThreshold && own[identity] < crashThreshold {
			found = append(found, identity)
		}
	}
	slices.SortFunc(found, Identity.compare)
	return found
}

// presentAtAllCrashesOf reports whether one identity was running at all crashes of another,
// apart from the excepted ones.
func (l *CrashLog) presentAtAllCrashesOf(one, another Identity, excepted func(*crashRecord) bool) bool {
	for _, crash := range l.crashes {
		if crash.hasSuspect(another) && !excepted(crash) && !crash.hasSuspect(one) {
			return false
		}
	}
	return true
}
