package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
)

// helperDraws is how often a helper is drawn from all members for each that is
// wanted, since some are no use.
const helperDraws = 4

// minNeighbours is how many members of other zones a node probes, if there are.
const minNeighbours = 8

// probeTargets are the members that this node probes: those of its zone, and
// those of the next zone or zones in order of name, so that the loss of a whole
// zone is found out too.
type probeTargets struct {
	zone, neighbours probeCycle
	// all members but this node, in order of name.
	all []Member
}

// probeCycle goes through members in a random order, drawn anew after each
// pass. So the time between two probes of a member is bounded.
type probeCycle struct {
	members []Member
	next    int
}

// replace takes the members now registered.
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

// neighbourZones returns the zones after the given one in the ring of all zones
// in order of name: one, or more where they are small, so that a member has
// several zones' members to find out its death.
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

// replace keeps the order of the present pass where it can: members that stay
// are neither skipped nor probed twice, and new ones come in at random.
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

func sortedMembers(byName map[string]Member) []Member {
	members := make([]Member, 0, len(byName))
	for _, member := range byName {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// take returns the next member to probe.
func (c *probeCycle) take(random *rand.Rand) (Member, bool) {
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

// helpers draws members other than the target that may probe it, from the own
// zone first.
func (t *probeTargets) helpers(target Member, count int, usable func(Member) bool, random *rand.Rand) []Member {
	chosen := make([]Member, 0, count)
	consider := func(candidate Member) {
		if len(chosen) < count && candidate.Name != target.Name && usable(candidate) && !slices.Contains(chosen, candidate) {
			chosen = append(chosen, candidate)
		}
	}
	for _, index := range random.Perm(len(t.zone.members)) {
		consider(t.zone.members[index])
	}
	for range min(count*helperDraws, len(t.all)*helperDraws) {
		consider(t.all[random.IntN(len(t.all))])
	}
	return chosen
}
