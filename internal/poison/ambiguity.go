package poison

import (
	"cmp"
	"math"
	"slices"
	"time"
)

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

// explained returns the held identities that have fewer than endsToHold ends left of their
// own: at the others, one was under way that is held as well and has more ends. Those of which
// ends have been forgotten are left out.
func (l *Ledger) explained(held, heldNow func(Identity) bool) []Identity {
	counts := l.count(held)
	own := map[Identity]int{}
	for _, end := range l.ends {
		most := 0
		for identity := range end.suspects {
			if heldNow(identity) {
				most = max(most, counts[identity].all)
			}
		}
		for identity := range end.suspects {
			if counts[identity].all >= most {
				own[identity]++
			}
		}
	}
	var explained []Identity
	for identity, ends := range counts {
		if held(identity) && ends.all >= endsToHold && own[identity] < endsToHold {
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
