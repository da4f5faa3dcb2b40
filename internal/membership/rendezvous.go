package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// rendezvousHash returns the hash of a name for use in rendezvousScore.
func rendezvousHash(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousScore combines the hashes of a key and a member, by the finaliser of
// splitmix64. The member with the highest score wins the key.
func rendezvousScore(key, member uint64) uint64 {
	const (
		increment       = 0x9e3779b97f4a7c15
		firstMultiplier = 0xbf58476d1ce4e5b9
		lastMultiplier  = 0x94d049bb133111eb
	)
	value := key + member*increment
	value = (value ^ value>>30) * firstMultiplier
	value = (value ^ value>>27) * lastMultiplier
	return value ^ value>>31
}

// Rank returns the members in descending order of their rendezvous score for the
// key. Nodes with the same members compute the same order.
func Rank(key string, members []Member) []Member {
	keyHash := rendezvousHash(key)
	ranked := append([]Member(nil), members...)
	scores := make(map[string]uint64, len(members))
	for _, member := range members {
		scores[member.Name] = rendezvousScore(keyHash, rendezvousHash(member.Name))
	}
	sort.Slice(ranked, func(i, j int) bool {
		first, second := scores[ranked[i].Name], scores[ranked[j].Name]
		if first != second {
			return first > second
		}
		return ranked[i].Name < ranked[j].Name
	})
	return ranked
}

// candidate is a member that may own cells.
type candidate struct {
	member Member
	hash   uint64
}

// winner is the candidate with the highest score for a cell.
type winner struct {
	candidate *candidate
	score     uint64
}

// beatenBy reports whether a candidate with the score ranks above the winner. Ties
// are broken by name.
func (w winner) beatenBy(other *candidate, score uint64) bool {
	switch {
	case w.candidate == nil:
		return true
	case score != w.score:
		return score > w.score
	default:
		return other.member.Name < w.candidate.member.Name
	}
}

// candidates holds the members that may own cells, by name: all live members that
// are not draining.
type candidates struct {
	byName map[string]*candidate
}

// candidateChange describes a change of the candidates.
type candidateChange struct {
	added   []*candidate
	removed map[string]bool
}

// replace updates the candidates to the live members and returns what changed. A
// member of which only the incarnation or the addresses changed is updated in
// place.
func (c *candidates) replace(members []Member) candidateChange {
	change := candidateChange{removed: map[string]bool{}}
	present := make(map[string]bool, len(members))
	for _, member := range members {
		if member.Draining {
			continue
		}
		present[member.Name] = true
		if known := c.byName[member.Name]; known != nil {
			known.member = member
			continue
		}
		added := &candidate{member: member, hash: rendezvousHash(member.Name)}
		c.byName[member.Name] = added
		change.added = append(change.added, added)
	}
	for name := range c.byName {
		if !present[name] {
			change.removed[name] = true
			delete(c.byName, name)
		}
	}
	return change
}

// update returns the winner of a cell after a change. Only if the current winner
// was removed are all candidates compared; otherwise only the added ones.
func (c *candidates) update(current winner, cellHash uint64, eligible func(Member) bool, change candidateChange) winner {
	consider := func(other *candidate) {
		score := rendezvousScore(cellHash, other.hash)
		if current.beatenBy(other, score) && eligible(other.member) {
			current = winner{candidate: other, score: score}
		}
	}
	if current.candidate != nil && change.removed[current.candidate.member.Name] {
		current = winner{}
		for _, other := range c.byName {
			consider(other)
		}
		return current
	}
	for _, added := range change.added {
		consider(added)
	}
	return current
}
