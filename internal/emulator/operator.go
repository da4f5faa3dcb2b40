package emulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// Rows whose name begins with probePrefix allow no replica. A node that acts on
// the change which added one refuses requests for it as disabled, any other as
// unknown: so it shows from outside which changes are in force.
const probePrefix = "probe-"

// Periods of probing.
const (
	probePeriod = 250 * time.Millisecond
	probeLimit  = time.Second
)

// editRetry is the pause before an edit that was not accepted is made again.
const editRetry = 500 * time.Millisecond

// operator edits the table through the nodes.
type operator struct {
	world  *World
	random *rand.Rand
	edits  int
	// probed is the row that is being asked for.
	probed string
	// Accepted and Conflicts count outcomes.
	accepted, conflicts int
}

func newOperator(world *World) *operator {
	return &operator{world: world, random: world.Loop.Fork()}
}

// Import writes the deployment's table until it is accepted; done may be nil.
func (w *World) Import(done func()) {
	target := w.pickNode()
	if target == nil {
		w.Loop.AfterFunc(editRetry, func() { w.Import(done) })
		return
	}
	edit := tablestore.Edit{Changed: w.Options.Deployment.Rows, Author: "operator"}
	w.propose(target, edit, func(outcome tablestore.Outcome) {
		if outcome.Code != result.OK && w.rows.Revision() == 0 {
			w.Loop.AfterFunc(editRetry, func() { w.Import(done) })
			return
		}
		if done != nil {
			done()
		}
	})
}

// propose lets an operator at a node make an edit, and notes what was told.
func (w *World) propose(target *SimulatedNode, edit tablestore.Edit, done func(tablestore.Outcome)) {
	ended := func(tablestore.Outcome) {}
	if w.watchEdit != nil {
		ended = w.watchEdit(edit)
	}
	w.Network.Deliver(w.processes.callers, target.Process, func() {
		target.Node.Table.Propose(edit, func(outcome tablestore.Outcome) {
			w.Network.Deliver(target.Process, w.processes.callers, func() {
				w.noteOutcome(edit, outcome)
				ended(outcome)
				done(outcome)
			})
		})
	})
}

func (w *World) noteOutcome(edit tablestore.Edit, outcome tablestore.Outcome) {
	switch outcome.Code {
	case result.OK:
		if outcome.Revision > edit.Base {
			w.Checker.Acknowledged(edit.Base, outcome.Revision, outcome.Token, w.Loop.Now())
		}
	case result.RevisionConflict, result.InvalidTable, result.StoreUnavailable:
		w.Checker.Rejected(outcome.Token)
	}
}

// pickNode returns a random node that a load balancer would send callers to:
// one that serves and has told that it is ready; or nil.
func (w *World) pickNode() *SimulatedNode {
	var serving []*SimulatedNode
	for _, n := range w.Nodes {
		if n.Ready() && !n.Process.Paused() {
			serving = append(serving, n)
		}
	}
	if len(serving) == 0 {
		return nil
	}
	return serving[w.random.IntN(len(serving))]
}

// EditProbe replaces the probe row by a new one.
func (w *World) EditProbe() {
	target := w.pickNode()
	if target == nil {
		return
	}
	o := w.operator
	o.edits++
	edit := tablestore.Edit{
		Base: w.rows.Revision(), Author: "operator",
		Changed: []table.Row{o.probeRow(fmt.Sprintf("%s%04d", probePrefix, o.edits))},
	}
	for _, row := range w.rows.Rows() {
		if strings.HasPrefix(row.Name, probePrefix) {
			edit.Removed = append(edit.Removed, row.Name)
			w.Checker.FinishChange(row.Name, w.Loop.Now())
		}
	}
	o.probed = ""
	w.propose(target, edit, o.count)
}

func (o *operator) count(outcome tablestore.Outcome) {
	switch outcome.Code {
	case result.OK:
		o.accepted++
	case result.RevisionConflict:
		o.conflicts++
	}
}

// probeRow is a copy of a model's row under another name, without replicas.
func (o *operator) probeRow(name string) table.Row {
	row := o.world.Options.Deployment.Rows[0]
	for _, candidate := range o.world.Options.Deployment.Rows {
		if candidate.Kind == table.KindModel {
			row = candidate
			break
		}
	}
	row.Name = name
	row.MinReplicas = 0
	row.MaxReplicas = 0
	return row
}

// EditLimit changes a model's largest number of replicas.
func (w *World) EditLimit() {
	target := w.pickNode()
	if target == nil {
		return
	}
	row, found := w.operator.randomModel()
	if !found {
		return
	}
	row.MaxReplicas = max(row.MinReplicas, w.operator.random.IntN(4))
	edit := tablestore.Edit{Base: w.rows.Revision(), Changed: []table.Row{row}, Author: "operator"}
	w.propose(target, edit, w.operator.count)
}

// EditRace lets two operators at two nodes edit the same row at the same time.
func (w *World) EditRace() {
	first, second := w.pickNode(), w.pickNode()
	row, found := w.operator.randomModel()
	if first == nil || second == nil || !found {
		return
	}
	base := w.rows.Revision()
	for i, target := range []*SimulatedNode{first, second} {
		edited := row
		edited.Weight = 1 + w.operator.random.IntN(500) + 500*i
		edit := tablestore.Edit{Base: base, Changed: []table.Row{edited}, Author: fmt.Sprintf("operator-%d", i)}
		w.propose(target, edit, w.operator.count)
	}
}

func (o *operator) randomModel() (table.Row, bool) {
	var models []table.Row
	for _, row := range o.world.rows.Rows() {
		if row.Kind == table.KindModel && !strings.HasPrefix(row.Name, probePrefix) {
			models = append(models, row)
		}
	}
	if len(models) == 0 {
		return table.Row{}, false
	}
	return models[o.random.IntN(len(models))], true
}

// probe asks all nodes for the row, again and again, while it is the newest.
func (w *World) probe(row string) {
	w.operator.probed = row
	w.probeOnce(row)
}

func (w *World) probeOnce(row string) {
	if w.operator.probed != row {
		return
	}
	for _, n := range w.Nodes {
		if n.Serving() {
			w.askProbe(n, row)
		}
	}
	w.Loop.AfterFunc(probePeriod, func() { w.probeOnce(row) })
}

func (w *World) askProbe(n *SimulatedNode, row string) {
	present, tenant := n.Node, w.operator.probeRow(row).Tenant
	identity := n.identity()
	process := n.Process
	w.Network.Deliver(w.processes.callers, process, func() {
		now := process.Now()
		present.Gateway.Submit(gateway.Request{
			ID: row + "@" + identity, Tenant: tenant, Model: row, Path: "/v1/completions",
			Body: []byte(`{}`), Accepted: now, Deadline: now.Add(probeLimit), Repeatable: true,
		}, &probeResponder{world: w, row: row, identity: identity, process: n})
	})
}

// probeResponder turns a node's refusal of a probe row into a finding.
type probeResponder struct {
	world    *World
	row      string
	identity string
	process  *SimulatedNode
}

// Chunk implements gateway.Responder; a row without replicas sends none.
func (*probeResponder) Chunk(outside.Chunk) {}

// Finish implements gateway.Responder; a row without replicas never answers.
func (*probeResponder) Finish(gateway.Answer) {}

// Refuse implements gateway.Responder.
func (r *probeResponder) Refuse(refusal result.Refusal) {
	w := r.world
	at := w.Loop.Now()
	switch refusal.Code {
	case result.ModelDisabled:
		w.Checker.Probed(r.row, r.identity, true, at)
	case result.UnknownModel:
		w.Checker.Probed(r.row, r.identity, false, at)
	}
}
