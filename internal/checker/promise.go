// Package checker verifies the product's promises from outside: from what the
// platform's stand-ins recorded and what callers and operators received. It
// never uses the state of a node.
package checker

import "fmt"

// Promise is one invariant that the product guarantees.
type Promise uint8

// The promises, in the order in which the users list them.
const (
	// PromiseReplicas: no more replicas of a model are loaded than its row
	// allows.
	PromiseReplicas Promise = iota
	// PromiseMemory: no machine's accelerator memory is committed beyond its
	// capacity.
	PromiseMemory
	// PromiseAnswered: every request gets exactly one final answer, within its
	// limit.
	PromiseAnswered
	// PromiseOwnAnswer: a served request got its own answer, and completely.
	PromiseOwnAnswer
	// PromiseNotRun: a request refused as not run never ran.
	PromiseNotRun
	// PromiseOnce: a non-repeatable request ran at most once.
	PromiseOnce
	// PromiseLeaving: a leaving back end gets no new work after a few seconds
	// (Limits.LeavingGrace).
	PromiseLeaving
	// PromisePlannedStop: a planned shutdown or unload interrupts no request.
	PromisePlannedStop
	// PromiseTable: an accepted table change is applied on all nodes within
	// seconds (Limits.TableGrace) and never reverted.
	PromiseTable
	promiseCount
)

var promiseNames = [promiseCount]string{
	"replicas", "memory", "answered", "own_answer", "not_run", "once", "leaving", "planned_stop", "table",
}

// String returns the promise's name in reports.
func (p Promise) String() string { return promiseNames[p] }

// Promises returns all promises, in order.
func Promises() []Promise {
	all := make([]Promise, promiseCount)
	for i := range all {
		all[i] = Promise(i)
	}
	return all
}

// maxExamples is the number of violations of one promise that are described in
// a report.
const maxExamples = 5

// Tally counts the checks and violations of one promise.
type Tally struct {
	Checks     uint64
	Violations uint64
	// Examples describe the first violations.
	Examples []string
}

// check counts a check and, unless ok, a violation with its description.
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
	// Requests counts requests sent; Served, Refused and LostWithNode count
	// their outcomes; Unanswered counts those without any that were due.
	Requests, Served, Refused, LostWithNode, Unanswered uint64
	// RefusedByCode counts refusals by result code.
	RefusedByCode map[int]uint64
	// MachinesLeaving counts machines that were announced to leave.
	MachinesLeaving uint64
	// MaxConfigDelay and MaxDrainDelay are the longest times, in seconds, until
	// a table change was applied and until a leaving machine received its last
	// work, of those whose due time no pause or outage extended.
	MaxConfigDelay, MaxDrainDelay float64
	// Doubled, Mismatched, Overcommitted and OverReplicas count the violations
	// that the demonstration prints separately.
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

// Add adds another run's report to this one.
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
	capacity := max(0, maxExamples-len(t.Examples))
	t.Examples = append(t.Examples, other.Examples[:min(capacity, len(other.Examples))]...)
}
