package membership

import (
	"slices"
	"sort"
	"sync"
)

// publisher passes a detector's members to its callback, one call at a time and
// only when they changed.
type publisher struct {
	mutex     sync.Mutex
	published []Member
}

// publish calls onChange with the members that read returns, sorted by name, unless
// read reports that they are not ready or they are unchanged. The caller must not
// hold a lock that read needs.
func (p *publisher) publish(read func() (members []Member, ready bool), onChange func([]Member)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	members, ready := read()
	if !ready {
		return
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	if slices.Equal(members, p.published) {
		return
	}
	p.published = members
	onChange(members)
}
