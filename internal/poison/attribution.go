package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// attribution decides once which requests crashed servers. The lock of the log is held meanwhile.
type attribution struct {
	log *CrashLog
	// wasQuarantined reports the identities that are quarantined already.
	wasQuarantined func(Identity) bool
	// found are the entries of this decision.
	found map[Identity]Entry
	// served are the identities that some node had seen served before a crash.
	served map[Identity]bool
	// crashesOf are the crashes of each identity, in order of server.
	crashesOf map[Identity][]*crashRecord
	// breadths are those of the parts of prompts.
	breadths map[Identity]breadth
	// explained are the crashes that a proved identity explains, and provisional the identities
	// that are quarantined provisionally, both by the entries found so far.
	explained   map[*crashRecord]bool
	provisional []Identity
}

// breadth tells how many requests refer to a part of prompts.
type breadth struct {
	// requests with the part at its crashes, and its largest position in a prompt.
	requests, position int
}

// newAttribution returns the state of a decision. The caller must hold the lock of the log.
func (l *CrashLog) newAttribution(wasQuarantined func(Identity) bool) *attribution {
	a := &attribution{
		log: l, wasQuarantined: wasQuarantined, found: map[Identity]Entry{}, served: map[Identity]bool{}, crashesOf: map[Identity][]*crashRecord{}, breadths: map[Identity]breadth{},
	}
	for _, server := range slices.Sorted(maps.Keys(l.crashes)) {
		crash := l.crashes[server]
		for identity := range crash.suspects {
			a.crashesOf[identity] = append(a.crashesOf[identity], crash)
			if part, isPart := crash.parts[identity]; isPart {
				known := a.breadths[identity]
				a.breadths[identity] = breadth{known.requests + part.requests, max(known.position, part.position)}
			}
		}
		for identity := range crash.served {
			a.served[identity] = true
		}
	}
	a.update()
	return a
}

// add adds an entry to those found.
func (a *attribution) add(entry Entry) {
	a.found[entry.Identity] = entry
	a.update()
}

// update determines which crashes are explained, and which identities are quarantined
// provisionally.
func (a *attribution) update() {
	a.explained, a.provisional = map[*crashRecord]bool{}, nil
	for _, crash := range a.log.crashes {
		if crash.explained(a.isProved) {
			a.explained[crash] = true
		}
	}
	for identity := range a.crashesOf {
		if a.isProvisional(identity) {
			a.provisional = append(a.provisional, identity)
		}
	}
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
	// threshold is the number of crashes at which the identity is quarantined.
	threshold int
	// frequent: it is a part that may be in most requests, and so at most crashes of others.
	frequent bool
}

// exceedsThreshold reports whether an identity with these crashes is to be quarantined. With
// more crashes than the threshold, or after an earlier quarantine, a single fresh one is
// enough: the others may have been explained by a false positive. Not so for a part that most
// requests share: it is at the crashes that others explain whatever causes them.
func (c crashCount) exceedsThreshold(quarantinedBefore bool) bool {
	return c.fresh >= c.threshold || c.fresh > 0 && (quarantinedBefore || !c.frequent && c.all > c.threshold)
}

// count returns the number of crashes of an identity.
func (a *attribution) count(identity Identity) crashCount {
	count := crashCount{threshold: crashThreshold}
	if a.isPart(identity) && a.served[identity] {
		count.threshold, count.frequent = servedPartThreshold, true
	}
	for _, crash := range a.crashesOf[identity] {
		count.all++
		if a.explained[crash] {
			continue
		}
		count.unexplained++
		if !crash.spent[identity] {
			count.fresh++
		}
	}
	return count
}

// isPart reports whether an identity is that of a part of prompts.
func (a *attribution) isPart(identity Identity) bool {
	_, isPart := a.breadths[identity]
	return isPart
}

// breadthOf returns the breadth of an identity. A request is narrower than each of its parts.
func (a *attribution) breadthOf(identity Identity) breadth {
	if part, isPart := a.breadths[identity]; isPart {
		return part
	}
	return breadth{requests: len(a.crashesOf[identity]), position: math.MaxInt}
}

// isBroader reports whether a part of prompts was running at all crashes of another identity, in
// more requests. That identity explains its crashes as well, and fewer requests are refused for it.
func (a *attribution) isBroader(part, identity Identity) bool {
	if !a.isPart(part) || len(a.crashesOf[part]) < len(a.crashesOf[identity]) {
		return false
	}
	one, other := a.breadthOf(part), a.breadthOf(identity)
	if one.requests < other.requests || one.requests == other.requests && one.position >= other.position {
		return false
	}
	return !slices.ContainsFunc(a.crashesOf[identity], func(crash *crashRecord) bool { return !crash.hasSuspect(part) })
}

// candidates returns the identities to be quarantined next; of these, one is. Parts that are broader
// than another candidate are left out. Those that were alone at a crash come first, since they explain
// crashes of the others, then those with the most unexplained crashes. Where several have equally many, those that no node has seen served come
// first.
func (a *attribution) candidates() []Identity {
	counts := map[Identity]crashCount{}
	var found []Identity
	for identity := range a.crashesOf {
		counts[identity] = a.count(identity)
		if a.exceeds(identity, counts[identity]) {
			found = append(found, identity)
		}
	}
	found = preferred(found, func(identity Identity) bool {
		return !slices.ContainsFunc(found, func(other Identity) bool { return a.isBroader(identity, other) })
	})
	found = preferred(found, a.wasAlone)
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
		return a.wasAlone(identity) && !a.served[identity]
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
	return slices.ContainsFunc(a.provisional, func(other Identity) bool {
		return other != identity && !slices.ContainsFunc(a.crashesOf[identity], func(crash *crashRecord) bool {
			return !a.explained[crash] && !crash.hasSuspect(other)
		})
	})
}

// wasAlone reports whether an identity was the only suspect of an unexplained crash.
func (a *attribution) wasAlone(identity Identity) bool {
	return slices.ContainsFunc(a.crashesOf[identity], func(crash *crashRecord) bool {
		return !a.explained[crash] && a.countOthers(crash, identity) == 0
	})
}

// rivals returns, in order, the identities that leave open whether another one is a cause: at the
// unexplained crash with the fewest of them, the other suspects.
func (a *attribution) rivals(identity Identity) []Identity {
	isExplained := func(crash *crashRecord) bool { return a.explained[crash] }
	crashes := slices.DeleteFunc(slices.Clone(a.crashesOf[identity]), isExplained)
	if len(crashes) == 0 {
		return nil
	}
	fewest := slices.MinFunc(crashes, func(one, other *crashRecord) int {
		return cmp.Compare(a.countOthers(one, identity), a.countOthers(other, identity))
	})
	var rivals []Identity
	for other := range fewest.suspects {
		if a.isOther(other, identity) {
			rivals = append(rivals, other)
		}
	}
	slices.SortFunc(rivals, Identity.compare)
	return rivals
}

// isOther reports whether a suspect may be the cause in place of an identity. Those that were served
// before are left out, unless that identity was as well.
func (a *attribution) isOther(suspect, identity Identity) bool {
	return suspect != identity && (a.served[identity] || !a.served[suspect])
}

// countOthers returns how many suspects of a crash may be the cause in place of an identity.
func (a *attribution) countOthers(crash *crashRecord, identity Identity) int {
	count := 0
	for suspect := range crash.suspects {
		if a.isOther(suspect, identity) {
			count++
		}
	}
	return count
}

// toRelease returns the quarantined identities that are left with fewer than crashThreshold
// crashes of their own, none of them with no other suspect. Identities some of whose crashes have
// expired from the log are left out, since their count is incomplete.
func (a *attribution) toRelease() []Identity {
	var found []Identity
	for identity, crashes := range a.crashesOf {
		if _, decided := a.found[identity]; decided || !a.wasQuarantined(identity) || len(crashes) < crashThreshold {
			continue
		}
		isExplained := func(crash *crashRecord) bool { return a.explainsFor(crash, identity) }
		isAlone := func(crash *crashRecord) bool { return a.countOthers(crash, identity) == 0 }
		own := slices.DeleteFunc(slices.Clone(crashes), isExplained)
		if len(own) < crashThreshold && !slices.ContainsFunc(crashes, isAlone) {
			found = append(found, identity)
		}
	}
	slices.SortFunc(found, Identity.compare)
	return found
}

// explainsFor reports whether a proved identity explains a crash of a quarantined one: any other
// if that one is provisional, else one with more crashes.
func (a *attribution) explainsFor(crash *crashRecord, identity Identity) bool {
	provisional := a.isProvisional(identity)
	for other := range crash.suspects {
		if other != identity && a.isProved(other) && (provisional || len(a.crashesOf[other]) > len(a.crashesOf[identity])) {
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
func (a *attribution) likeliestCause(identities []Identity) Identity {
	return slices.MinFunc(identities, func(one, other Identity) int {
		return cmp.Or(
			cmp.Compare(a.log.elapsedRange(one), a.log.elapsedRange(other)),
			cmp.Compare(a.breadthOf(other).position, a.breadthOf(one).position), one.compare(other),
		)
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
