package membership

import (
	"slices"
	"sort"
	"sync"
)

// publisher tells a detector's members to its receiver, one call at a time and
// only when they changed.
type publisher struct {
	mutex     sync.Mutex
	published []Member
}

// publish calls onChange with what read returns; read reports whether the
// members are known at all. No lock that read needs may be held.
func (p *publisher) publish(read func() (members []Member, known bool), onChange func([]Member)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	members, known := read()
	if !known {
		return
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	if slices.Equal(members, p.published) {
		return
	}
	p.published = members
	onChange(members)
}
