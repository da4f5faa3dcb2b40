package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// acknowledgement is an accepted edit as its operator was told.
type acknowledgement struct {
	base, revision table.Revision
	token          string
}

// change is one accepted table change, seen through requests for a row that it
// added.
type change struct {
	// token of the edit, durableAt when it took effect, and toldAt when its
	// operator heard that it was accepted; zero: not yet.
	token             string
	durableAt, toldAt time.Time
	// nodes that lived when the change was accepted and have not been seen to
	// act on it.
	missing map[string]bool
	// inForce nodes have acted on it.
	inForce map[string]bool
}

// ChangeDurable notes that the edit with a token, which adds the named row,
// took effect in the key-value service; the nodes are those that are ready.
// Requests for the row show which nodes act on it.
func (c *Checker) ChangeDurable(row, token string, at time.Time, nodes []string) {
	missing := map[string]bool{}
	for _, node := range nodes {
		missing[node] = true
	}
	c.changes[row] = &change{token: token, durableAt: at, missing: missing, inForce: map[string]bool{}}
}

// Probed notes whether a node acted on the change that added a row.
func (c *Checker) Probed(row, node string, acts bool, at time.Time) {
	state, known := c.changes[row]
	if !known {
		return
	}
	tally := &c.report.Tallies[PromiseTable]
	if state.inForce[node] {
		tally.check(acts, "%s went back behind the change that added %s", node, row)
		return
	}
	if !acts || !state.missing[node] {
		return
	}
	delete(state.missing, node)
	state.inForce[node] = true
	c.checkDelay(row, node, state, at)
}

// checkDelay checks that a node acts on a change in time: within the grace of
// its acceptance, or of the end of what kept the node from hearing of it. A
// change whose operator has not been told is known to the key-value service
// alone, so that it counts from the end of that service's outage.
func (c *Checker) checkDelay(row, node string, state *change, at time.Time) {
	accepted, outages := state.toldAt, spans(nil)
	if state.toldAt.IsZero() {
		accepted, outages = state.durableAt, c.keyValueOut
	}
	usual := accepted.Add(c.limits.TableGrace)
	due, open := extendAll(accepted, usual, c.limits.TableGrace, c.pauses[node], c.cutOff[nameOf(node)], outages)
	if open {
		return
	}
	delay := at.Sub(accepted)
	if due.Equal(usual) {
		c.report.MaxConfigDelay = max(c.report.MaxConfigDelay, delay.Seconds())
	}
	c.report.Tallies[PromiseTable].check(!at.After(due),
		"the change that added %s was not in force at %s after %s", row, node, delay)
}

// NodeStopped notes that a node ended; it need not act on changes any more.
func (c *Checker) NodeStopped(node string) {
	for _, state := range c.changes {
		delete(state.missing, node)
		delete(state.inForce, node)
	}
}

// finishTable checks that no change stayed without force.
func (c *Checker) finishTable(now time.Time) {
	for _, row := range slices.Sorted(maps.Keys(c.changes)) {
		c.FinishChange(row, now)
	}
}

// FinishChange ends the checks of a change, before the row that it added is removed.
// Nodes that do not act on it yet are late if their grace is over.
func (c *Checker) FinishChange(row string, at time.Time) {
	state, known := c.changes[row]
	if !known {
		return
	}
	delete(c.changes, row)
	if !at.After(state.durableAt.Add(c.limits.TableGrace)) {
		return
	}
	for _, node := range slices.Sorted(maps.Keys(state.missing)) {
		c.checkDelay(row, node, state, at)
	}
}

// TableLogInvalid notes a durable edit that does not follow from the one before.
func (c *Checker) TableLogInvalid(err error) {
	c.report.Tallies[PromiseTable].check(false, "the table's log is broken: %v", err)
}

// Durable notes the token of the edit that became a revision.
func (c *Checker) Durable(revision table.Revision, token string) { c.durable[revision] = token }

// Acknowledged notes that an operator was told of an accepted edit, which was
// based on a revision.
func (c *Checker) Acknowledged(base, revision table.Revision, token string, at time.Time) {
	for _, state := range c.changes {
		if state.token == token {
			state.toldAt = at
		}
	}
	c.acknowledged = append(c.acknowledged, acknowledgement{base: base, revision: revision, token: token})
}

// Rejected notes that an operator was told that an edit was not accepted.
func (c *Checker) Rejected(token string) { c.rejected = append(c.rejected, token) }

// finishEdits checks that each acknowledged edit is durable, that no two of
// them had the same base, and that no rejected one is durable.
func (c *Checker) finishEdits() {
	tally := &c.report.Tallies[PromiseTable]
	bases := map[table.Revision]string{}
	for _, edit := range c.acknowledged {
		tally.check(c.durable[edit.revision] == edit.token, "edit %s was acknowledged as revision %d but is not durable",
			edit.token, edit.revision)
		other, taken := bases[edit.base]
		tally.check(!taken, "edits %s and %s were both accepted on revision %d", other, edit.token, edit.base)
		bases[edit.base] = edit.token
	}
	revisions := make(map[string]table.Revision, len(c.durable))
	for revision, token := range c.durable {
		revisions[token] = revision
	}
	for _, token := range c.rejected {
		revision, durable := revisions[token]
		tally.check(!durable, "edit %s was rejected but is durable as revision %d", token, revision)
	}
}
