package load

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

const (
	// settleTime lets the servers end work whose callers have gone, before
	// their records are read.
	settleTime = 2 * time.Second
	// wayToNode is how long a request may take to a node: while that time runs,
	// it is left open whether the node had the request.
	wayToNode = 100 * time.Millisecond
)

// Verification is what the checker found in the records of a run.
type Verification struct {
	Violations uint64 `json:"violations"`
	// Promises by name.
	Promises map[string]PromiseReport `json:"promises"`
	// Tries are all requests to nodes, repetitions included. LostWithNode broke
	// because their node was killed.
	Tries        uint64 `json:"tries"`
	LostWithNode uint64 `json:"lost_with_node"`
	// ServedWithoutRun tries are in no server's record: the records are not
	// complete.
	ServedWithoutRun int `json:"served_without_run"`
	// MachinesLeaving were announced to leave; MaxDrainDelaySeconds is the
	// longest after which one of them got work.
	MachinesLeaving      uint64  `json:"machines_leaving"`
	MaxDrainDelaySeconds float64 `json:"max_drain_delay_s"`
}

// PromiseReport counts the checks of one promise.
type PromiseReport struct {
	Checks     uint64   `json:"checks"`
	Violations uint64   `json:"violations"`
	Examples   []string `json:"examples,omitempty"`
}

// moment is something to tell the checker in order of time.
type moment struct {
	at time.Time
	// rank orders what happened at the same time.
	rank int
	tell func(*checker.Checker)
}

// Ranks of moments: what changes the rules comes before what is checked.
const (
	rankTable = iota
	rankNode
	rankSent
	rankRecord
	rankEnded
)

// evidence is all that is known of a run from outside the nodes.
type evidence struct {
	tries  []tryRecord
	events []NodeEvent
	lives  nodeLives
	server []record.Event
	tables []acceptedTable
}

// gather reads the records of the sources.
func gather(ctx context.Context, sources RecordSources, tries []tryRecord, events []NodeEvent) (evidence, error) {
	slices.SortStableFunc(events, func(a, b NodeEvent) int { return a.At.Compare(b.At) })
	found := evidence{tries: tries, events: events, lives: newNodeLives(events)}
	var err error
	if found.server, err = sources.serverRecords(ctx); err != nil {
		return found, err
	}
	found.tables, err = sources.tables(ctx)
	return found, err
}

// verify hands everything to the checker in order of time.
func (e evidence) verify() Verification {
	limits := checker.DefaultLimits()
	limits.AnswerSlack = lateTolerance
	limits.ClientDelay = wayToNode
	judge := checker.New(limits)
	moments := e.moments()
	var last time.Time
	for _, next := range moments {
		next.tell(judge)
		last = next.at
	}
	// Whatever is due is due by then.
	verification := verificationOf(judge.Finish(last.Add(MaxDuration)))
	verification.ServedWithoutRun = e.servedWithoutRun()
	return verification
}

func (e evidence) moments() []moment {
	var moments []moment
	add := func(at time.Time, rank int, tell func(*checker.Checker)) {
		moments = append(moments, moment{at: at, rank: rank, tell: tell})
	}
	for _, accepted := range e.tables {
		add(accepted.at, rankTable, func(c *checker.Checker) { c.TableAccepted(accepted.snapshot.Rows(), accepted.at) })
	}
	for _, event := range e.events {
		add(event.At, rankNode, func(c *checker.Checker) { e.tellNodeEvent(c, event) })
	}
	for _, event := range e.server {
		event.Attempt = e.renameSender(event)
		event.RequestID = givenRequestID(event.RequestID)
		add(event.At, rankRecord, func(c *checker.Checker) { c.Observe(event) })
	}
	for _, try := range e.tries {
		e.addTry(try, add)
	}
	slices.SortStableFunc(moments, func(a, b moment) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.rank, b.rank))
	})
	return moments
}

// identity names one process of a node.
func (e evidence) identity(node string, at time.Time) string {
	return fmt.Sprintf("%s#%d", node, e.lives.generation(node, at))
}

// renameSender replaces the incarnation in an attempt's id by the number of the
// node's process, as the events of the nodes count it.
func (e evidence) renameSender(event record.Event) outside.AttemptID {
	sender, rest, found := strings.Cut(string(event.Attempt), "/")
	if !found {
		return event.Attempt
	}
	name, _, _ := strings.Cut(sender, "#")
	return outside.AttemptID(e.identity(name, event.At) + "/" + rest)
}

// givenRequestID cuts off what the node added to the id that its caller gave.
func givenRequestID(id string) string {
	given, _, _ := strings.Cut(id, ".")
	return given
}

// servedWithoutRun counts tries served with an answer of their own that no
// server's record shows. Any means that the records are not those of the run,
// so that checks of them prove nothing.
func (e evidence) servedWithoutRun() int {
	ran := map[string]bool{}
	for _, event := range e.server {
		if event.Kind == record.KindGenerationStarted || event.Kind == record.KindBackEndRun {
			ran[givenRequestID(event.RequestID)] = true
		}
	}
	count := 0
	for _, try := range e.tries {
		if try.outcome.kind == outcomeServed && !try.outcome.replayed && !ran[try.requestID] {
			count++
		}
	}
	return count
}

func (e evidence) tellNodeEvent(c *checker.Checker, event NodeEvent) {
	identity := e.identity(event.Node, event.At)
	switch event.Kind {
	case NodePaused:
		c.Paused(identity, event.At)
	case NodeResumed:
		c.Resumed(identity, event.At)
	case NodeStopping:
		c.PlannedStop(identity, event.At)
	}
}

// addTry tells of a try and its end. A try that reached no node because the
// node was down is none. One whose connection broke is lost with its node if
// that ended meanwhile; otherwise it has no end, which is a violation.
func (e evidence) addTry(try tryRecord, add func(time.Time, int, func(*checker.Checker))) {
	down := e.lives.wasDown(try.node, try.sentAt, try.endedAt)
	if down && try.outcome.reason == reasonDial {
		return
	}
	call := checker.Call{
		RequestID: try.requestID, Node: e.identity(try.node, try.sentAt), Key: try.key,
		SentAt: try.sentAt, Deadline: try.deadline,
	}
	add(try.sentAt, rankSent, func(c *checker.Checker) { c.Sent(call) })
	final, ended := finalOf(try, down)
	if ended {
		add(try.endedAt, rankEnded, func(c *checker.Checker) { c.Ended(try.requestID, final) })
	}
}

func finalOf(try tryRecord, down bool) (final checker.CallOutcome, ended bool) {
	final.At = try.endedAt
	switch try.outcome.kind {
	case outcomeServed:
		final.Served = true
		final.Matches = !try.outcome.mismatched
	case outcomeRefused:
		final.Refusal = result.Refusal{Code: try.outcome.code, Ran: ranOf(try.outcome.ran)}
	default:
		final.LostWithNode = true
		return final, down && try.outcome.reason != reasonTimeout
	}
	return final, true
}

// ranOf reads the word of an answer; any unknown word proves nothing.
func ranOf(word string) result.Ran {
	switch word {
	case result.RanNo.String():
		return result.RanNo
	case result.RanYes.String():
		return result.RanYes
	default:
		return result.RanUnknown
	}
}

func verificationOf(report checker.Report) Verification {
	found := Verification{
		Violations: report.Violations(), Promises: map[string]PromiseReport{},
		Tries: report.Requests, LostWithNode: report.LostWithNode,
		MachinesLeaving: report.MachinesLeaving, MaxDrainDelaySeconds: report.MaxDrainDelay,
	}
	for _, promise := range checker.Promises() {
		tally := report.Tallies[promise]
		found.Promises[promise.String()] = PromiseReport{
			Checks: tally.Checks, Violations: tally.Violations, Examples: tally.Examples,
		}
	}
	return found
}

// write gives the checks in lines of a table.
func (v *Verification) write(writeLine func(name string, values ...any)) {
	writeLine("tries", v.Tries)
	writeLine("lost with a killed node", v.LostWithNode)
	writeLine("served without a recorded run", v.ServedWithoutRun)
	for _, promise := range checker.Promises() {
		found := v.Promises[promise.String()]
		writeLine("promise "+promise.String(), fmt.Sprintf("%d checks  %d violations", found.Checks, found.Violations))
		for _, example := range found.Examples {
			writeLine("", example)
		}
	}
}
