package emulator

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// never is the end of operations whose effect may come at any time.
const never = math.MaxInt64

// history records operations on virtual time.
type history struct {
	world      *World
	operations []*porcupine.Operation
}

// begin notes a call; its end is noted by setting Output and Return.
func (h *history) begin(input any) *porcupine.Operation {
	operation := &porcupine.Operation{Input: input, Call: h.now(), Return: never}
	h.operations = append(h.operations, operation)
	return operation
}

func (h *history) now() int64 { return h.world.Loop.Now().UnixNano() }

func (h *history) all() []porcupine.Operation {
	all := make([]porcupine.Operation, 0, len(h.operations))
	for _, operation := range h.operations {
		all = append(all, *operation)
	}
	return all
}

// claimAction is what is done to a key.
type claimAction uint8

const (
	actionClaim claimAction = iota
	actionRecord
	actionRelease
)

// claimInput is one operation on a key.
type claimInput struct {
	key     claims.Key
	action  claimAction
	attempt outside.AttemptID
	outcome string
}

// claimOutput is a claim's result; nil outputs are of operations that did not
// return, or return nothing.
type claimOutput struct {
	verdict claims.Verdict
	outcome string
	replays bool
}

// keyState is who holds a key, and what is recorded of its run.
type keyState struct {
	holder   outside.AttemptID
	recorded bool
	outcome  string
}

// claimModel is a key that one attempt holds until it releases it. A claim that
// was not granted may hold the key nevertheless, since a minority may have
// voted for it; records and releases may be lost.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[claims.Key][]porcupine.Operation{}
		for _, operation := range operations {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Step: func(state, input, output any) []any {
		return stepKey(state.(keyState), input.(claimInput), output)
	},
	Equal: func(a, b any) bool { return a == b },
}

func stepKey(state keyState, input claimInput, output any) []any {
	switch input.action {
	case actionRecord:
		if state.holder != input.attempt {
			return []any{state}
		}
		return []any{state, keyState{holder: state.holder, recorded: true, outcome: input.outcome}}
	case actionRelease:
		if state.holder != input.attempt {
			return []any{state}
		}
		return []any{state, keyState{}}
	}
	claimed := keyState{holder: input.attempt}
	ended, returned := output.(claimOutput)
	switch {
	case returned && ended.verdict == claims.Granted:
		if state.holder != "" && state.holder != input.attempt {
			return nil
		}
		return []any{claimed}
	case returned && ended.replays:
		if !state.recorded || state.outcome != ended.outcome {
			return nil
		}
		return []any{state}
	case state.holder != "":
		return []any{state}
	default:
		return []any{state, claimed}
	}
}

// recordingClaimer notes all operations of one node's claimer.
type recordingClaimer struct {
	claims.Claimer
	history *history
}

// Claim implements claims.Claimer.
func (r recordingClaimer) Claim(key claims.Key, attempt outside.AttemptID, digest uint64, deadline time.Time, done func(claims.Result)) {
	operation := r.history.begin(claimInput{key: key, action: actionClaim, attempt: attempt})
	r.Claimer.Claim(key, attempt, digest, deadline, func(result claims.Result) {
		output := claimOutput{verdict: result.Verdict}
		if result.Outcome != nil {
			output.replays = true
			output.outcome = string(result.Outcome.Body)
		}
		operation.Output = output
		if result.Verdict == claims.Granted || output.replays {
			operation.Return = r.history.now()
		}
		done(result)
	})
}

// Record implements claims.Claimer.
func (r recordingClaimer) Record(key claims.Key, attempt outside.AttemptID, outcome claims.Outcome) {
	r.history.begin(claimInput{key: key, action: actionRecord, attempt: attempt, outcome: string(outcome.Body)})
	r.Claimer.Record(key, attempt, outcome)
}

// Release implements claims.Claimer.
func (r recordingClaimer) Release(key claims.Key, attempt outside.AttemptID) {
	r.history.begin(claimInput{key: key, action: actionRelease, attempt: attempt})
	r.Claimer.Release(key, attempt)
}

// editModel is a revision that an edit raises by one if it is the edit's base.
// Edits whose outcome is not known may have been applied or not.
func editModel(initial table.Revision) porcupine.NondeterministicModel {
	return porcupine.NondeterministicModel{
		Init: func() []any { return []any{initial} },
		Step: func(state, input, output any) []any {
			return stepRevision(state.(table.Revision), input.(tablestore.Edit).Base, output)
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

func stepRevision(present, base table.Revision, output any) []any {
	outcome, returned := output.(tablestore.Outcome)
	switch {
	case !returned || outcome.Code == result.WriteAmbiguous:
		if present == base {
			return []any{present, present + 1}
		}
		return []any{present}
	case outcome.Code == result.OK:
		if present != base || outcome.Revision > base+1 {
			return nil
		}
		return []any{outcome.Revision}
	case outcome.Code == result.RevisionConflict && present <= base:
		return nil
	default:
		return []any{present}
	}
}

// linearRun runs a seed and returns what was done to claims and to the table.
func linearRun(seed uint64, change func(*Options)) (keys, edits *history, initial table.Revision) {
	keys, edits = &history{}, &history{}
	options := miniatureOptions(seed)
	options.WrapClaims = func(claimer claims.Claimer) claims.Claimer { return recordingClaimer{claimer, keys} }
	change(&options)
	runPrepared(options, mutationSpan, func(w *World) {
		keys.world, edits.world = w, w
		initial = w.rows.Revision()
		w.watchEdit = func(edit tablestore.Edit) func(tablestore.Outcome) {
			operation := edits.begin(edit)
			return func(outcome tablestore.Outcome) {
				operation.Output = outcome
				if outcome.Code != result.WriteAmbiguous {
					operation.Return = edits.now()
				}
			}
		}
	})
	return keys, edits, initial
}

// checkLimit bounds one search of porcupine.
const checkLimit = 20 * time.Second

var _ = Describe("histories recorded under faults", func() {
	It("of claims and table edits are linearizable", func() {
		for seed := range uint64(6) {
			keys, edits, initial := linearRun(seed, func(*Options) {})
			Expect(len(keys.operations)).To(BeNumerically(">", 300))
			Expect(len(edits.operations)).To(BeNumerically(">", 8))
			Expect(porcupine.CheckOperationsTimeout(claimModel.ToModel(), keys.all(), checkLimit)).
				To(Equal(porcupine.Ok), "claims, seed %d", seed)
			model := editModel(initial)
			Expect(porcupine.CheckOperationsTimeout(model.ToModel(), edits.all(), checkLimit)).
				To(Equal(porcupine.Ok), "edits, seed %d", seed)
		}
	})

	It("of claims are not linearizable when every claim is granted", func() {
		keys, _, _ := linearRun(0, func(o *Options) {
			record := o.WrapClaims
			o.WrapClaims = func(claimer claims.Claimer) claims.Claimer { return record(grantAll{claimer}) }
		})
		Expect(porcupine.CheckOperationsTimeout(claimModel.ToModel(), keys.all(), checkLimit)).To(Equal(porcupine.Illegal))
	})

	It("of edits are not linearizable without the read-back", func() {
		for seed := range uint64(10) {
			_, edits, initial := linearRun(seed, func(o *Options) { o.Disabled.ReadBack = true })
			model := editModel(initial)
			if porcupine.CheckOperationsTimeout(model.ToModel(), edits.all(), checkLimit) == porcupine.Illegal {
				return
			}
		}
		Fail("every history was linearizable")
	})
})
