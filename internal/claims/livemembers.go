package claims

import "github.com/hatchplank/hatchplank/internal/membership"

// liveMembers is an index of the members that may be acceptors. With it, a shard that needs no change
// is recognised without ranking all members.
type liveMembers struct {
	members []membership.Member
	// incarnations maps the names of members that are not draining to their incarnations.
	incarnations map[string]string
}

// update rebuilds the index from the members.
func (l *liveMembers) update(members []membership.Member) {
	l.members = members
	if l.incarnations == nil {
		l.incarnations = make(map[string]string, len(members))
	}
	clear(l.incarnations)
	for _, member := range members {
		if !member.Draining {
			l.incarnations[member.Name] = member.Incarnation
		}
	}
}

// retainsAcceptors reports whether chooseAcceptors would choose the current acceptors again: there are
// as many as wanted, and all are live and not draining.
func (l *liveMembers) retainsAcceptors(current Configuration) bool {
	if len(current.Acceptors) != acceptorCount(len(l.incarnations)) {
		return false
	}
	for _, acceptor := range current.Acceptors {
		incarnation, live := l.incarnations[acceptor.Name]
		if !live || incarnation != acceptor.Incarnation {
			return false
		}
	}
	return true
}
