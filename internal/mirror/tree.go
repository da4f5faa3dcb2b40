package mirror

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/peer"
)

// fanOut is the maximum number of nodes that the relay pushes to itself; those push to the others.
// If it pushed to 985 nodes every 0.6 s, it would send 1,600 messages a second and delay everything
// else that it does. With 64 it sends 107, whatever the number of nodes; two levels reach 4,160
// nodes.
const fanOut = 64

// Redirect is the reply of a relay that has enough subscribers; it names the node to subscribe to
// instead.
type Redirect struct{ Address string }

// treePosition is a node's position in the tree of nodes that pass on the relay's updates. An inner
// node's updates carry the age of the relay's state, so nodes below one that is partitioned, or
// part of a cycle, stop relying on it once the updates are too old, and ask the relay for another
// parent or read the store.
type treePosition struct {
	// root is the relay that named the parent.
	root, parent string
	// avoid is the last parent that did not answer or could not provide updates.
	avoid string
}

// parent returns the address of the node to subscribe to; empty if there is no relay, or if it is
// this node.
func (m *Mirror) parent() string {
	relay := m.config.Relay()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.tree.root != relay {
		m.tree = treePosition{root: relay}
	}
	if m.tree.parent != "" {
		return m.tree.parent
	}
	return relay
}

// handleRefusal processes a reply to a subscription that is not an update, or its absence. The node
// subscribes where a redirect points to. If its parent does not answer or has no fresh state, it
// goes back to the relay.
func (m *Mirror) handleRefusal(reply peer.Message, from string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if redirect, redirected := reply.(Redirect); redirected && from == m.tree.root {
		m.tree.parent = redirect.Address
		signal(m.resubscribe)
		return
	}
	if from == m.tree.parent {
		// The next check for another relay subscribes there.
		m.tree.parent, m.tree.avoid = "", from
	}
}

// redirect returns the inner node that the subscriber should subscribe to, if this node has enough
// subscribers: one of the subscriber's zone, if there is any, since traffic between zones is
// charged (1.0 GB a day of a fleet if any node may be named, five sixths of which can stay within
// the zones). The choice is the highest hash, so that the same node is named as long as it is
// subscribed. It must be called with the lock held.
func (m *Mirror) redirect(request Subscribe, now time.Time) (string, bool) {
	if _, subscribed := m.subscribers[request.Address]; subscribed || m.following || len(m.subscribers) < fanOut {
		return "", false
	}
	var best string
	var highest uint64
	bestInZone := false
	for _, inner := range m.liveSubscribers(now) {
		if inner == request.Avoid || inner == request.Address {
			continue
		}
		weight, sameZone := xxhash.Sum64String(request.Address+" "+inner), m.subscribers[inner].zone == request.Zone
		if best == "" || sameZone && !bestInZone || sameZone == bestInZone && weight > highest {
			best, highest, bestInZone = inner, weight, sameZone
		}
	}
	return best, best != ""
}
