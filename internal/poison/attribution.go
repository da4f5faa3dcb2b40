package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxCoincidingCauses is the number of poison requests that may by coincidence run beside one
// unrelated request, so that it is at all of their crashes. A request whose crashes need more
// causes to be explained without it is their cause.
const maxCoincidingCauses = 3

// attribution decides once which requests crashed servers.
type attribution struct {
	log *CrashLog
	// wasQuarantined reports the identities that are quarantined already.
	wasQuarantined func(Identity) bool
	// found are the entries of this decision.
	found map[Identity]Entry
	// served are the identities that some node had seen served before a crash.
	served map[Identity]bool
}

// newAttribution returns the state of a decision. The caller must hold the lock of the log.
func (l *CrashLog) newAttribution(wasQuarantined func(Identity) bool) *attribution {
	a := &attribution{log: l, wasQuarantined: wasQuarantined, found: map[Identity]Entry{}, served: map[Identity]bool{}}
	for _, crash := range l.crashes {
		for identity := range crash.served {
			a.served[identity] = true
		}
	}
	return a
}

// isProvisional reports whether an identity is quarantined provisionally.
func (a *attribution) isProvisional(identity Identity) bool {
	if entry, found := a.found[identity]; found {
		return entry.provisional()
	}
	return a.wasQuarantined(identity) && a.log.past[identity].provisional
}

// isProved reports whether an identity is quarantined, and not provisionally.
func (a *attribution) isProved(identity Identity) bool {
	if entry, found := a.found[identity]; found {
		return !entry.provisional()
	}
	return a.wasQuarantined(identity) && !a.log.past[identity].provisional
}

// crashCount counts the crashes of one identity.
type crashCount struct {
	// all crashes; those that no proved identity explains; and of these the ones for which no
	// provisional quarantine has been over.
	all, unexplained, fresh int
}

// exceedsThreshold reports whether an identity with these crashes is to be quarantined. With
// more than crashThreshold crashes, or after an earlier quarantine, a single fresh one is
// enough: the others may have been explained by a false positive.
func (c crashCount) exceedsThreshold(quarantinedBefore bool) bool {
	return c.fresh >= crashThreshold || c.fresh > 0 && (quarantinedBefore || c.all > crashThreshold)
}

// count returns the number of crashes of each identity.
func (a *attribution) count() map[Identity]crashCount {
	counts := map[Identity]crashCount{}
	for _, crash := range a.log.crashes {
		explained := crash.explained(a.isProved)
		for identity := range crash.suspects {
			count := counts[identity]
			count.all++
			if !explained {
				count.unexplained++
				if !crash.spent[identity] {
					count.fresh++
				}
			}
			counts[identity] = count
		}
	}
	return counts
}

// candidates returns the identities to be quarantined next; of these, one is. Those that are
// proved come first, since they explain crashes of the others, then those with the most
// unexplained crashes. Where several have equally many, those that no node has seen served come
// first.
func (a *attribution) candidates() []Identity {
	counts := a.count()
	var found []Identity
	for identity, count := range counts {
		if a.exceeds(identity, count) {
			found = append(found, identity)
		}
	}
	found = preferred(found, func(identity Identity) bool { return len(a.rivals(identity)) == 0 })
	maxUnexplained := 0
	for _, identity := range found {
		maxUnexplained = max(maxUnexplained, counts[identity].unexplained)
	}
	found = preferred(found, func(identity Identity) bool { return counts[identity].unexplained == maxUnexplained })
	return preferred(found, func(identity Identity) bool { return !a.served[identity] })
}

// exceeds reports whether an identity is to be quarantined, or is quarantined provisionally and
// proved by now.
func (a *attribution) exceeds(identity Identity, count crashCount) bool {
	if a.isProvisional(identity) {
		return count.unexplained > 0 && len(a.rivals(identity)) == 0
	}
	return !a.isProved(identity) && count.exceedsThreshold(a.log.past[identity].times > 0) && !a.isSubsumed(identity)
}

// preferred returns the identities that satisfy the condition or, if none does, all of them.
func preferred(identities []Identity, condition func(Identity) bool) []Identity {
	if found := slices.DeleteFunc(slices.Clone(identities), func(identity Identity) bool { return !condition(identity) }); len(found) > 0 {
		return found
	}
	return identities
}

// isSubsumed reports whether a provisionally quarantined identity was running at all unexplained
// crashes of another, so that it would explain them as well. One that was not running at all of
// them explains none, since it may be a false positive.
func (a *attribution) isSubsumed(identity Identity) bool {
	explained := func(crash *crashRecord) bool { return crash.explained(a.isProved) }
	for other := range a.provisional() {
		if other != identity && a.log.presentAtAllCrashesOf(other, identity, explained) {
			return true
		}
	}
	return false
}

// provisional returns the suspects that are quarantined provisionally.
func (a *attribution) provisional() map[Identity]bool {
	found := map[Identity]bool{}
	for _, crash := range a.log.crashes {
		for identity := range crash.suspects {
			if a.isProvisional(identity) {
				found[identity] = true
			}
		}
	}
	return found
}

// rivals returns, in order, the identities that leave open whether another one is a cause: at the
// unexplained crash with the fewest of them, the other suspects. It returns none if that crash
// has no other suspect, or if too many causes would be needed to explain the crashes.
func (a *attribution) rivals(identity Identity) []Identity {
	var crashes [][]Identity
	for _, server := range a.log.serversOf(identity) {
		crash := a.log.crashes[server]
		if crash.explained(a.isProved) {
			continue
		}
		others := a.otherSuspects(crash, identity)
		if len(others) == 0 {
			return nil
		}
		crashes = append(crashes, others)
	}
	if len(crashes) == 0 || causesNeeded(crashes) > maxCoincidingCauses {
		return nil
	}
	return slices.MinFunc(crashes, func(a, b []Identity) int { return cmp.Compare(len(a), len(b)) })
}

// otherSuspects returns, in order, the suspects of a crash besides one. Those that were served
// before are left out, unless that one was as well.
func (a *attribution) otherSuspects(crash *crashRecord, identity Identity) []Identity {
	var others []Identity
	for other := range crash.suspects {
		if other != identity && (a.served[identity] || !a.served[other]) {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, Identity.compare)
	return others
}

// causesNeeded returns how many identities it takes to have one at each crash. It is found by
// taking the identity at the most remaining crashes each time, so it may be too high.
func causesNeeded(crashes [][]Identity) int {
	causes := 0
	for ; len(crashes) > 0; causes++ {
		counts := map[Identity]int{}
		var most Identity
		for _, suspects := range crashes {
			for _, identity := range suspects {
				counts[identity]++
				if counts[identity] > counts[most] || counts[identity] == counts[most] && identity.compare(most) < 0 {
					most = identity
				}
			}
		}
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(suspects []Identity) bool { return slices.Contains(suspects, most) })
	}
	return causes
}

// toRelease returns the quarantined identities that are left with fewer than crashThreshold
// crashes of their own, none of them with no other suspect. Identities some of whose crashes have
// expired from the log are left out, since their count is incomplete.
func (a *attribution) toRelease() []Identity {
	counts := a.count()
	own, alone := map[Identity]int{}, map[Identity]bool{}
	for _, crash := range a.log.crashes {
		for identity := range crash.suspects {
			if !a.explainsFor(crash, identity, counts) {
				own[identity]++
			}
			if len(a.otherSuspects(crash, identity)) == 0 {
				alone[identity] = true
			}
		}
	}
	var found []Identity
	for identity, count := range counts {
		_, decided := a.found[identity]
		if !decided && a.wasQuarantined(identity) && count.all >= crashThreshold && own[identity] < crashThreshold && !alone[identity] {
			found = append(found, identity)
		}
	}
	slices.SortFunc(found, Identity.compare)
	return found
}

// explainsFor reports whether a proved identity explains a crash of a quarantined one: any other
// if that one is provisional, else one with more crashes.
func (a *attribution) explainsFor(crash *crashRecord, identity Identity, counts map[Identity]crashCount) bool {
	provisional := a.isProvisional(identity)
	for other := range crash.suspects {
		if other != identity && a.isProved(other) && (provisional || counts[other].all > counts[identity].all) {
			return true
		}
	}
	return false
}

// explainedCrashes returns, in order, the servers that crashed under an identity and under another
// one that is proved.
func (a *attribution) explainedCrashes(identity Identity) []string {
	isOther := func(other Identity) bool { return other != identity && a.isProved(other) }
	return slices.DeleteFunc(a.log.serversOf(identity), func(server string) bool { return !a.log.crashes[server].explained(isOther) })
}

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
