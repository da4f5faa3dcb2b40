package checker

import (
	"slices"
	"time"
)

// change is one accepted table change, seen through requests for a row that it
// added.
type change struct {
	acceptedAt time.Time
	// nodes that lived when the change was accepted and have not been seen to
	// act on it.
	missing map[string]bool
	// inForce nodes have acted on it.
	inForce map[string]bool
}

// ChangeAccepted notes a change that adds the named row; the nodes are those
// that live. Requests for the row show which nodes act on it.
func (c *Checker) ChangeAccepted(row string, at time.Time, nodes []string) {
	missing := map[string]bool{}
	for _, node := range nodes {
		missing[node] = true
	}
	c.changes[row] = &change{acceptedAt: at, missing: missing, inForce: map[string]bool{}}
}

// Probed notes whether a node acted on the change that added a row.
func (c *Checker) Probed(row, node string, acts bool, at time.Time) {
	state, known := c.changes[row]
	if !known {
		return
	}
	if !acts {
		c.report.Tallies[PromiseTable].check(!state.inForce[node], "%s went back behind the change that added %s", node, row)
		return
	}
	if !state.missing[node] {
		return
	}
	delete(state.missing, node)
	state.inForce[node] = true
	c.checkDelay(row, node, state, at)
}

func (c *Checker) checkDelay(row, node string, state *change, at time.Time) {
	if c.excused(node, state.acceptedAt, at) {
		return
	}
	delay := at.Sub(state.acceptedAt)
	c.report.MaxConfigDelay = max(c.report.MaxConfigDelay, delay.Seconds())
	c.report.Tallies[PromiseTable].check(delay <= c.limits.TableGrace,
		"the change that added %s was in force at %s only after %s", row, node, delay)
}

// NodeGone notes that a node ended; it need not act on changes any more.
func (c *Checker) NodeGone(node string) {
	for _, state := range c.changes {
		delete(state.missing, node)
		delete(state.inForce, node)
	}
}

// finishTable checks that no change stayed without force.
func (c *Checker) finishTable(now time.Time) {
	for row, state := range c.changes {
		nodes := make([]string, 0, len(state.missing))
		for node := range state.missing {
			nodes = append(nodes, node)
		}
		slices.Sort(nodes)
		for _, node := range nodes {
			c.checkDelay(row, node, state, now)
		}
	}
}
