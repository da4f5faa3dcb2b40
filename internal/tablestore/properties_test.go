package tablestore

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/table"
)

// editModel models the table as a compare-and-swap register whose state is the
// revision.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{table.Revision(0)} },
	Step: func(state, input, output any) []any {
		revision, base, outcome := state.(table.Revision), input.(table.Revision), output.(Outcome)
		switch outcome.Code {
		case result.OK:
			if revision != base || outcome.Revision != base+1 {
				return nil
			}
			return []any{base + 1}
		case result.RevisionConflict:
			if revision == base {
				return nil
			}
			return []any{revision}
		case result.StoreUnavailable:
			return []any{revision}
		case result.WriteAmbiguous:
			if revision == base {
				return []any{revision, base + 1}
			}
			return []any{revision}
		}
		return nil
	},
}

// neverReturned is the return time of an operation whose outcome is unknown: it
// may take effect at any later time.
const neverReturned = math.MaxInt64

// recorder records the proposed edits and the outcomes that callers received.
type recorder struct {
	cluster    *cluster
	operations []*porcupine.Operation
	outcomes   map[string]Outcome
}

func (r *recorder) propose(index int, base table.Revision, weight int) {
	operation := &porcupine.Operation{
		ClientId: index, Input: base, Call: r.cluster.loop.Now().UnixNano(),
		Output: Outcome{Code: result.WriteAmbiguous}, Return: neverReturned,
	}
	r.operations = append(r.operations, operation)
	edit := Edit{Base: base, Changed: []table.Row{row(fmt.Sprint(weight%5), weight)}}
	r.cluster.nodes[index].store.Propose(edit, func(outcome Outcome) {
		r.outcomes[outcome.Token] = outcome
		operation.Output = outcome
		if outcome.Code != result.WriteAmbiguous {
			operation.Return = r.cluster.loop.Now().UnixNano()
		}
	})
}

func (r *recorder) history() []porcupine.Operation {
	history := make([]porcupine.Operation, 0, len(r.operations))
	for _, operation := range r.operations {
		history = append(history, *operation)
	}
	return history
}

var possibleFaults = []keyvalue.Faults{
	{},
	{Outage: true},
	{LostReplies: 0.5},
	{LostReplies: 0.9, Delay: time.Second},
	{Delay: 3 * time.Second},
	{OperationsPerSecond: 2},
	{WatchGaps: 0.5, WatchGapDelay: time.Second},
}

func drawConditions(t *rapid.T) simulation.Conditions {
	return simulation.Conditions{
		Delay:       time.Millisecond,
		Jitter:      time.Duration(rapid.IntRange(0, 300).Draw(t, "jitter")) * time.Millisecond,
		Loss:        rapid.Float64Range(0, 0.5).Draw(t, "loss"),
		Duplication: rapid.Float64Range(0, 0.5).Draw(t, "duplication"),
		Late:        rapid.Float64Range(0, 0.2).Draw(t, "late"),
		LateDelay:   10 * time.Second,
	}
}

// checkEdits runs random edits under random faults, then compares the outcomes
// that callers received and the nodes' tables with the service's own records.
func checkEdits(t *rapid.T) {
	recentEntries := rapid.SampledFrom([]int{1, 2, DefaultOptions().RecentEntries}).Draw(t, "recent entries")
	c := newCluster(rapid.Uint64().Draw(t, "seed"), 2, 3, recentEntries)
	r := &recorder{cluster: c, outcomes: map[string]Outcome{}}
	for step := range rapid.IntRange(5, 30).Draw(t, "steps") {
		index := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
		switch rapid.IntRange(0, 9).Draw(t, "action") {
		case 0:
			c.kv.SetFaults(rapid.SampledFrom(possibleFaults).Draw(t, "faults"))
		case 1:
			c.conditions = drawConditions(t)
		case 2:
			c.start(index)
		case 3:
			c.nodes[index].process.Pause()
		case 4:
			c.nodes[index].process.Resume()
		default:
			stale := table.Revision(rapid.IntRange(0, 1).Draw(t, "stale"))
			r.propose(index, max(0, c.nodes[index].store.Revision()-stale), step+1)
		}
		c.loop.RunFor(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
	}
	c.kv.SetFaults(keyvalue.Faults{})
	c.conditions = simulation.Conditions{Delay: time.Millisecond}
	for _, n := range c.nodes {
		n.process.Resume()
	}
	c.loop.RunFor(2 * time.Minute)
	checkHistory(t, c, r)
}

func checkHistory(t *rapid.T, c *cluster, r *recorder) {
	if len(c.regressions) > 0 {
		t.Fatalf("revision regressions: %v", c.regressions)
	}
	if divergence := c.divergence(); divergence != "" {
		t.Fatal(divergence)
	}
	entries, err := c.heads()
	if err != nil {
		t.Fatal(err)
	}
	written := map[string]table.Revision{}
	for _, entry := range entries {
		written[entry.Token] = entry.Revision
	}
	for token, outcome := range r.outcomes {
		revision, applied := written[token]
		if applied != (outcome.Code == result.OK) && outcome.Code != result.WriteAmbiguous {
			t.Fatalf("outcome %s, applied: %t", outcome.Code.Name(), applied)
		}
		if applied && revision != outcome.Revision {
			t.Fatalf("outcome has revision %d, the log has %d", outcome.Revision, revision)
		}
	}
	if !porcupine.CheckOperations(editModel.ToModel(), r.history()) {
		t.Fatalf("not linearizable: %+v", r.history())
	}
}

var _ = Describe("Edits and distribution", func() {
	It("are linearizable and converge under random faults", func() { rapid.Check(GinkgoT(), checkEdits) })

	It("are checked with a model that rejects two accepted edits of the same base", func() {
		accepted := Outcome{Code: result.OK, Revision: 1}
		history := []porcupine.Operation{
			{ClientId: 0, Input: table.Revision(0), Call: 0, Output: accepted, Return: 10},
			{ClientId: 1, Input: table.Revision(0), Call: 5, Output: accepted, Return: 15},
		}
		Expect(porcupine.CheckOperations(editModel.ToModel(), history)).To(BeFalse())
	})
})

func FuzzDecodeRecord(f *testing.F) {
	valid, err := encodeRecord(LogEntry{Revision: 1, Delta: table.Delta{To: 1, Changed: []table.Row{row("a", 1)}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, value []byte) {
		entry, err := decodeRecord[LogEntry](value)
		if err != nil {
			return
		}
		encoded, err := encodeRecord(entry)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeRecord[LogEntry](encoded); err != nil {
			t.Fatal(err)
		}
	})
}
