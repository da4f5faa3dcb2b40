package mirror

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// fanOut is how many nodes the relay tells itself; the others are told by those. With 985
// nodes told each 0.6 s by one, that one sends 1,600 messages a second, and is late with
// all else that it does. With 64 it sends 107, whatever the number of nodes, up to 4,160
// nodes in two steps.
const fanOut = 64

// Redirect is the answer of a relay that tells enough nodes: ask this one.
type Redirect struct{ Address string }

// place is where a node stands in the tree of those that pass on what the relay tells.
// What an inner node tells is as old as what it was told, so one that is cut off, or in a
// circle, loses the trust of those below it, which then ask the relay for another or read
// the store.
type place struct {
	// root is the relay that named the parent.
	root, parent string
	// avoid is the last parent that was asked in vain.
	avoid string
}

// parent is the node that this one asks; empty if there is no relay, or if it is this
// node.
func (m *Mirror) parent() string {
	relay := m.config.Relay()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.tree.root != relay {
		m.tree = place{root: relay}
	}
	if m.tree.parent != "" {
		return m.tree.parent
	}
	return relay
}

// takeRefusal takes over where else to ask. From a parent that does not answer, or has no
// fresh word, the way is back to the relay.
func (m *Mirror) takeRefusal(reply peer.Message, from string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if redirected, elsewhere := reply.(Redirect); elsewhere && from == m.tree.root {
		m.tree.parent = redirected.Address
		signal(m.missed)
		return
	}
	if from == m.tree.parent {
		// The next look for another relay asks there.
		m.tree.parent, m.tree.avoid = "", from
	}
}

// redirect names the inner node that should tell the asking one, if this node tells
// enough: one of its own zone, if there is any, since what passes between zones is paid
// for (1.0 GB of a fleet's day at any node, of which five sixths need not pass). The same
// one is named as long as it subscribes, by the highest hash. It must be called with the
// lock held.
func (m *Mirror) redirect(asked Subscribe, now time.Time) (string, bool) {
	if _, subscribed := m.subscribers[asked.Address]; subscribed || m.through || len(m.subscribers) < fanOut {
		return "", false
	}
	var best string
	var highest uint64
	near := false
	for _, inner := range m.liveSubscribers(now) {
		if inner == asked.Avoid || inner == asked.Address {
			continue
		}
		weight, sameZone := xxhash.Sum64String(asked.Address+" "+inner), m.subscribers[inner].zone == asked.Zone
		if best == "" || sameZone && !near || sameZone == near && weight > highest {
			best, highest, near = inner, weight, sameZone
		}
	}
	return best, best != ""
}
