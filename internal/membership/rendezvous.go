package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// rendezvousHash is the hash of a name as used by rendezvousScore.
func rendezvousHash(name string) uint64 { return xxhash.Sum64String(name) }

// rendezvousScore combines two hashes; for one key, the member with the
// highest score wins. It is the finaliser of splitmix64.
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

// Rank returns the members in order of their rendezvous score for the key,
// highest first. Nodes that know the same members agree on the order.
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

// beats reports whether a candidate with the score comes before the winner.
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

// candidates are all members that may own cells, by name.
type candidates struct {
	byName map[string]*candidate
}

// candidateChange tells how the candidates changed.
type candidateChange struct {
	added   []*candidate
	removed map[string]bool
}

// replace takes the live members and tells what changed. A member that only
// changed its incarnation or addresses is updated in place.
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

// update returns the winner for a cell after a change. Only a cell whose
// winner was removed is compared with all candidates.
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
