package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
)

// drawsPerProber is how many members are drawn at random per indirect prober that
// is wanted, since some of them are unusable.
const drawsPerProber = 4

// minNeighbours is the minimum number of members of other zones that a node probes,
// if there are as many.
const minNeighbours = 8

// probeTargets are the members that this node probes: those of its zone, and those
// of the next zone or zones in order of name, so that the failure of a whole zone
// is detected too.
type probeTargets struct {
	zone, neighbours probeCycle
	// all holds all members except this node, in order of name.
	all []Member
}

// probeCycle iterates over members in a random order that is shuffled after each
// pass. This bounds the time between two probes of a member, as in SWIM.
type probeCycle struct {
	members []Member
	next    int
}

// replace updates the targets to the members that are now registered.
func (t *probeTargets) replace(self Member, members []Member, random *rand.Rand) {
	neighbours := neighbourZones(self.Zone, members)
	var inZone, inNeighbour []Member
	t.all = make([]Member, 0, len(members))
	for _, member := range members {
		if member.Name == self.Name {
			continue
		}
		t.all = append(t.all, member)
		switch {
		case member.Zone == self.Zone:
			inZone = append(inZone, member)
		case neighbours[member.Zone]:
			inNeighbour = append(inNeighbour, member)
		}
	}
	sort.Slice(t.all, func(i, j int) bool { return t.all[i].Name < t.all[j].Name })
	t.zone.replace(inZone, random)
	t.neighbours.replace(inNeighbour, random)
}

// neighbourZones returns the zones after the given one in the ring of all zones in
// order of name: one, or more until they have minNeighbours members together, so
// that the failure of a member is also detected from other zones where zones are
// small.
func neighbourZones(zone string, members []Member) map[string]bool {
	sizes := map[string]int{}
	for _, member := range members {
		sizes[member.Zone]++
	}
	delete(sizes, zone)
	ring := slices.Sorted(maps.Keys(sizes))
	start, _ := slices.BinarySearch(ring, zone)
	neighbours := map[string]bool{}
	count := 0
	for i := range ring {
		if count >= minNeighbours {
			break
		}
		next := ring[(start+i)%len(ring)]
		neighbours[next] = true
		count += sizes[next]
	}
	return neighbours
}

// replace updates the members and preserves the order of the current pass:
// remaining members are neither skipped nor probed twice, and new ones are inserted
// at random positions of the rest of the pass.
func (c *probeCycle) replace(members []Member, random *rand.Rand) {
	byName := make(map[string]Member, len(members))
	for _, member := range members {
		byName[member.Name] = member
	}
	kept := make([]Member, 0, len(members))
	next := 0
	for i, member := range c.members {
		current, present := byName[member.Name]
		if !present {
			continue
		}
		if i < c.next {
			next++
		}
		kept = append(kept, current)
		delete(byName, member.Name)
	}
	c.members, c.next = kept, next
	for _, member := range sortedMembers(byName) {
		at := c.next + random.IntN(len(c.members)-c.next+1)
		c.members = slices.Insert(c.members, at, member)
	}
}

// sortedMembers returns the members in order of name.
func sortedMembers(byName map[string]Member) []Member {
	members := make([]Member, 0, len(byName))
	for _, member := range byName {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// nextMember returns the next member to probe; false if there is none.
func (c *probeCycle) nextMember(random *rand.Rand) (Member, bool) {
	if len(c.members) == 0 {
		return Member{}, false
	}
	if c.next >= len(c.members) {
		random.Shuffle(len(c.members), func(i, j int) {
			c.members[i], c.members[j] = c.members[j], c.members[i]
		})
		c.next = 0
	}
	member := c.members[c.next]
	c.next++
	return member, true
}

// drawIndirectProbers draws up to count members that probe the target on behalf of
// this node: usable members other than the target, first from the own zone.
func (t *probeTargets) drawIndirectProbers(target Member, count int, usable func(Member) bool, random *rand.Rand) []Member {
	chosen := make([]Member, 0, count)
	consider := func(candidate Member) {
		if len(chosen) < count && candidate.Name != target.Name && usable(candidate) && !slices.Contains(chosen, candidate) {
			chosen = append(chosen, candidate)
		}
	}
	for _, index := range random.Perm(len(t.zone.members)) {
		consider(t.zone.members[index])
	}
	for range min(count*drawsPerProber, len(t.all)*drawsPerProber) {
		consider(t.all[random.IntN(len(t.all))])
	}
	return chosen
}
