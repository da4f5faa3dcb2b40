// Package checker verifies the product's promises from outside: from what the
// platform's stand-ins recorded and what callers and operators received. It
// never asks a node what it believes.
package checker

import "fmt"

// Promise is one thing that must always hold.
type Promise uint8

// The promises, in the order in which the users name them.
const (
	// PromiseReplicas: no more replicas of a model are loaded than its row
	// allows.
	PromiseReplicas Promise = iota
	// PromiseMemory: no machine's accelerator memory is committed beyond what
	// it has.
	PromiseMemory
	// PromiseAnswered: every request gets its final answer within its limit.
	PromiseAnswered
	// PromiseOwnAnswer: a served request got the complete answer to itself.
	PromiseOwnAnswer
	// PromiseNotRun: a request refused as not run never ran.
	PromiseNotRun
	// PromiseOnce: a non-repeatable request ran at most once.
	PromiseOnce
	// PromiseLeaving: a leaving back end gets no new work after a few seconds.
	PromiseLeaving
	// PromisePlannedStop: a planned stop cuts off no request.
	PromisePlannedStop
	// PromiseTable: an accepted table change is in force everywhere within
	// seconds and never reverts.
	PromiseTable
	promiseCount
)

var promiseNames = [promiseCount]string{
	"replicas", "memory", "answered", "own_answer", "not_run", "once", "leaving", "planned_stop", "table",
}

// String returns the promise's word.
func (p Promise) String() string { return promiseNames[p] }

// Promises returns all promises in order.
func Promises() []Promise {
	all := make([]Promise, promiseCount)
	for i := range all {
		all[i] = Promise(i)
	}
	return all
}

// maxExamples is how many violations of one promise are kept as text.
const maxExamples = 5

// Tally counts the checks of one promise.
type Tally struct {
	Checks     uint64
	Violations uint64
	// Examples are the first violations in words.
	Examples []string
}

func (t *Tally) check(ok bool, format string, arguments ...any) {
	t.Checks++
	if ok {
		return
	}
	t.Violations++
	if len(t.Examples) < maxExamples {
		t.Examples = append(t.Examples, fmt.Sprintf(format, arguments...))
	}
}

// Report is the outcome of a run's checks.
type Report struct {
	Tallies [promiseCount]Tally
	// Requests sent; Served, Refused and LostWithNode of them; Unanswered by a
	// node that lived.
	Requests, Served, Refused, LostWithNode, Unanswered uint64
	// RefusedByCode counts refusals by result code.
	RefusedByCode map[int]uint64
	// MachinesLeaving counts machines that were announced to leave.
	MachinesLeaving uint64
	// MaxConfigDelay and MaxDrainDelay in seconds, of those not moved by a pause
	// or a partition.
	MaxConfigDelay, MaxDrainDelay float64
	// Doubled, Mismatched, Overcommitted and OverReplicas single out the
	// violations that the demonstration prints.
	Doubled, Mismatched, Overcommitted, OverReplicas uint64
}

// Violations returns the number of violations of all promises.
func (r Report) Violations() uint64 {
	var total uint64
	for _, tally := range r.Tallies {
		total += tally.Violations
	}
	return total
}

// Add sums up another run's report into this one.
func (r *Report) Add(other Report) {
	for promise := range r.Tallies {
		r.Tallies[promise].add(other.Tallies[promise])
	}
	r.Requests += other.Requests
	r.Served += other.Served
	r.Refused += other.Refused
	r.LostWithNode += other.LostWithNode
	r.Unanswered += other.Unanswered
	r.MachinesLeaving += other.MachinesLeaving
	r.Doubled += other.Doubled
	r.Mismatched += other.Mismatched
	r.Overcommitted += other.Overcommitted
	r.OverReplicas += other.OverReplicas
	r.MaxConfigDelay = max(r.MaxConfigDelay, other.MaxConfigDelay)
	r.MaxDrainDelay = max(r.MaxDrainDelay, other.MaxDrainDelay)
	if r.RefusedByCode == nil {
		r.RefusedByCode = map[int]uint64{}
	}
	for code, count := range other.RefusedByCode {
		r.RefusedByCode[code] += count
	}
}

func (t *Tally) add(other Tally) {
	t.Checks += other.Checks
	t.Violations += other.Violations
	room := max(0, maxExamples-len(t.Examples))
	t.Examples = append(t.Examples, other.Examples[:min(room, len(other.Examples))]...)
}
