package retrybudget

import "time"

// ShareLifetime is how long a node uses its share of the slack without being told the number of
// nodes again. Whoever tells it counts a node that is out of reach for longer than that.
const ShareLifetime = 30 * time.Second

const (
	// fullShare is the share of the limits that the nodes use whose processes have counted for a
	// window.
	fullShare = 0.75
	// startShare is the share of the limits that processes use which have not counted for a window.
	// The processes before them may have used all of fullShare in the same window. The rest of the
	// limits is for differences in how nodes and servers count.
	startShare = 0.2
	// cutOffShare is the share of the slack that is divided among the nodes for the time in
	// which they reach no quorum. Other nodes may use up fleetShare meanwhile.
	cutOffShare = 1 - fleetShare
)

// requestSpans is the number of spans in a window. Requests allow retries in each span by itself: each
// node's window ends at another time and callers move between nodes, so that retries of one window may be
// allowed by requests of that window and of the time before it that requests count. With a span, that is
// at most fullShare * (1 + 1/requestSpans) of what the window's requests allow.
const requestSpans = 4

// allowance is what this process may allow by itself: the retries that its requests allow in a span, and
// those of the slack in a window.
type allowance struct{ byRequests, slack float64 }

// total is the number of retries that may be allowed at once.
func (a allowance) total() float64 { return a.byRequests + a.slack }

// allowances are the allowances of this process in three cases: without any of the slack, with this
// node's share of all of it, and with its share of the part for nodes without a quorum.
type allowances struct{ byRequests, withEvenShare, withoutQuorum allowance }

// span returns the time over which requests, and the retries that they allow, are counted.
func (l Limits) span() time.Duration { return l.Window / requestSpans }

// isComplete reports whether the process knows all that its node counted in the window. The lock must
// be held.
func (b *Budget) isComplete(now time.Time) bool {
	return b.noEarlier || now.Sub(b.started) >= b.limits.Window
}

// sharingNodes returns the number of nodes that share the slack; 0 if it is not known, or was set too
// long ago. The lock must be held.
func (b *Budget) sharingNodes(now time.Time) int {
	if !b.nodesUntil.IsZero() && now.After(b.nodesUntil) {
		return 0
	}
	return b.nodes
}

// evenShare returns this node's share of the slack. The lock must be held.
func (b *Budget) evenShare(now time.Time) float64 {
	if nodes := b.sharingNodes(now); nodes > 0 {
		return b.limits.Slack / float64(nodes)
	}
	return 0
}

// allowances returns what the process may allow now. The lock must be held.
//
// A process does not know what earlier processes of its node allowed in the window. So until it has
// counted for a window, it allows startShare of what its own requests and its own time earn: all
// processes that start within a window have together no more requests and time than the window.
func (b *Budget) allowances(counts *pool, now time.Time) allowances {
	byRequests := b.limits.Ratio * counts.requests.Total(now)
	evenShare := b.evenShare(now)
	share, earned := fullShare, 1.0
	if !b.isComplete(now) {
		share, earned = startShare, max(now.Sub(b.started).Seconds()/b.limits.Window.Seconds(), 0)
	}
	// The slack that is not for nodes without a quorum is used up by votes, whatever restarts.
	withoutQuorum := cutOffShare * share / (fullShare + startShare)
	return allowances{
		byRequests:    allowance{byRequests: share * byRequests},
		withEvenShare: allowance{byRequests: share * byRequests, slack: share * earned * evenShare},
		withoutQuorum: allowance{byRequests: share * byRequests, slack: withoutQuorum * earned * evenShare},
	}
}
