package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/table"
)

// acknowledgement is the acceptance of an edit as reported to its operator.
type acknowledgement struct {
	base, revision table.Revision
	token          string
}

// change is one accepted table change that adds a row. Probe requests for the
// row show which nodes have applied it.
type change struct {
	// token identifies the edit, which became durable at durableAt and was
	// acknowledged to its operator at acknowledgedAt; zero means not yet.
	token                     string
	durableAt, acknowledgedAt time.Time
	// pending nodes were ready when the change became durable and have not been
	// observed to apply it.
	pending map[string]bool
	// applied nodes have been observed to apply it.
	applied map[string]bool
}

// ChangeDurable records that the edit with a token, which adds the named row,
// became durable in the key-value service while the given nodes were ready.
// Results of requests for the row are reported by Probed.
func (c *Checker) ChangeDurable(row, token string, at time.Time, nodes []string) {
	pending := map[string]bool{}
	for _, node := range nodes {
		pending[node] = true
	}
	c.changes[row] = &change{token: token, durableAt: at, pending: pending, applied: map[string]bool{}}
}

// Probed records whether a node applied the change that added a row.
func (c *Checker) Probed(row, node string, applies bool, at time.Time) {
	state, found := c.changes[row]
	if !found {
		return
	}
	tally := &c.report.Tallies[PromiseTable]
	if state.applied[node] {
		tally.check(applies, "%s reverted the change that added %s", node, row)
		return
	}
	if !applies || !state.pending[node] {
		return
	}
	delete(state.pending, node)
	state.applied[node] = true
	c.checkDelay(row, node, state, at)
}

// checkDelay checks that a node applied a change in time: within TableGrace of
// its acceptance, or of the end of the pause or partition that kept the node
// from receiving it. A change that has not been acknowledged to its operator may
// exist only in the key-value service, so outages of that service extend its
// due time too.
func (c *Checker) checkDelay(row, node string, state *change, at time.Time) {
	accepted, serviceOutages := state.acknowledgedAt, outages(nil)
	if state.acknowledgedAt.IsZero() {
		accepted, serviceOutages = state.durableAt, c.keyValueOutages
	}
	unextended := accepted.Add(c.limits.TableGrace)
	due, ongoing := extendAll(accepted, unextended, c.limits.TableGrace, c.pauses[node], c.partitions[nodeNameOf(node)], serviceOutages)
	if ongoing {
		return
	}
	delay := at.Sub(accepted)
	if due.Equal(unextended) {
		c.report.MaxConfigDelay = max(c.report.MaxConfigDelay, delay.Seconds())
	}
	c.report.Tallies[PromiseTable].check(!at.After(due),
		"the change that added %s was not in force at %s after %s", row, node, delay)
}

// NodeStopped records that a node crashed or began a planned shutdown, in which
// it refuses probe requests. It is no longer checked for changes.
func (c *Checker) NodeStopped(node string) {
	for _, state := range c.changes {
		delete(state.pending, node)
		delete(state.applied, node)
	}
}

// finishTable runs the last checks of all changes.
func (c *Checker) finishTable(now time.Time) {
	for _, row := range slices.Sorted(maps.Keys(c.changes)) {
		c.FinishChange(row, now)
	}
}

// FinishChange runs the last checks of a change, before the row that it added is
// removed. Nodes that have not applied it are late if their due time has passed.
func (c *Checker) FinishChange(row string, at time.Time) {
	state, found := c.changes[row]
	if !found {
		return
	}
	delete(c.changes, row)
	if !at.After(state.durableAt.Add(c.limits.TableGrace)) {
		return
	}
	for _, node := range slices.Sorted(maps.Keys(state.pending)) {
		c.checkDelay(row, node, state, at)
	}
}

// TableLogInvalid records that a durable edit does not follow from the one
// before it.
func (c *Checker) TableLogInvalid(err error) {
	c.report.Tallies[PromiseTable].check(false, "invalid table log: %v", err)
}

// Durable records the token of the edit that became a revision.
func (c *Checker) Durable(revision table.Revision, token string) { c.durableTokens[revision] = token }

// Acknowledged records that an operator received the acceptance of an edit that
// was based on the revision base.
func (c *Checker) Acknowledged(base, revision table.Revision, token string, at time.Time) {
	for _, state := range c.changes {
		if state.token == token {
			state.acknowledgedAt = at
		}
	}
	c.acknowledged = append(c.acknowledged, acknowledgement{base: base, revision: revision, token: token})
}

// Rejected records that an operator received the rejection of an edit.
func (c *Checker) Rejected(token string) { c.rejected = append(c.rejected, token) }

// finishEdits checks that each acknowledged edit is durable, that no two of
// them had the same base, and that no rejected one is durable.
func (c *Checker) finishEdits() {
	tally := &c.report.Tallies[PromiseTable]
	bases := map[table.Revision]string{}
	for _, edit := range c.acknowledged {
		tally.check(c.durableTokens[edit.revision] == edit.token, "edit %s was acknowledged as revision %d but is not durable",
			edit.token, edit.revision)
		other, duplicate := bases[edit.base]
		tally.check(!duplicate, "edits %s and %s were both accepted on revision %d", other, edit.token, edit.base)
		bases[edit.base] = edit.token
	}
	revisions := make(map[string]table.Revision, len(c.durableTokens))
	for revision, token := range c.durableTokens {
		revisions[token] = revision
	}
	for _, token := range c.rejected {
		revision, found := revisions[token]
		tally.check(!found, "edit %s was rejected but is durable as revision %d", token, revision)
	}
}
