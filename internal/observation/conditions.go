package observation

import "time"

const (
	// minUpdatePeriod is the minimum time between a node's messages with loads to the order
	// holder, and between those to a node. updatePeriodPerNode times the number of nodes is
	// the minimum with many nodes, so that the holder's work stays constant: 400 messages per
	// second in each direction.
	minUpdatePeriod     = 250 * time.Millisecond
	updatePeriodPerNode = 2500 * time.Microsecond
	// maxNodesWithoutSuspicions is the number of nodes up to which each discovers a crash
	// alone, which costs fewer attempts than telling costs messages.
	maxNodesWithoutSuspicions = 16
	// nodeCountTime is longer than all nodes take to report to a new order holder, up to 300 nodes.
	nodeCountTime = 5 * time.Second
)

// UpdatePeriod is the minimum time between messages with loads that a node sends or receives.
func UpdatePeriod(nodes int) time.Duration {
	return max(minUpdatePeriod, time.Duration(nodes)*updatePeriodPerNode)
}

// SharesLoads reports whether nodes tell each other the loads of servers with the slots: there are
// fewer slots than nodes, so that a node's own requests can't show the load. It is false while the
// number of either is not known.
func SharesLoads(slots, nodes int) bool { return slots > 0 && slots < nodes }

// SharesSuspicions reports whether nodes tell each other which servers are unreachable.
func SharesSuspicions(nodes int) bool { return nodes > maxNodesWithoutSuspicions }

// SetNodes sets the number of nodes of the system, which decides what is shared. A lower number
// takes effect if no higher one is set for nodeCountTime: a new order holder counts up from one.
func (t *Table) SetNodes(nodes int, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if nodes < t.Nodes() && now.Sub(t.nodesSetAt) < nodeCountTime {
		return
	}
	t.nodes.Store(int64(nodes))
	t.nodesSetAt = now
}

// Nodes returns the number of nodes of the system; 0 if not known.
func (t *Table) Nodes() int { return int(t.nodes.Load()) }

// SharesLoads reports whether nodes tell each other the loads of servers with the slots.
func (t *Table) SharesLoads(slots int) bool { return SharesLoads(slots, t.Nodes()) }

// UpdatePeriod is the minimum time between messages with loads that this node receives.
func (t *Table) UpdatePeriod() time.Duration { return UpdatePeriod(t.Nodes()) }
