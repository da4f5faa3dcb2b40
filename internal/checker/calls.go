package checker

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Call is a request as the caller sent it.
type Call struct {
	RequestID string
	// Node is the identity, name and incarnation, of the node that it was sent to.
	Node string
	// Key is the key of a non-repeatable request; empty otherwise.
	Key      string
	SentAt   time.Time
	Deadline time.Time
}

// CallOutcome is the end of a call as its caller observed it.
type CallOutcome struct {
	At     time.Time
	Served bool
	// Matches reports, for served calls, that the complete expected text was
	// received.
	Matches bool
	// Refusal is the refusal of a call that was not served.
	Refusal result.Refusal
	// LostWithNode reports that the connection broke because the node crashed.
	LostWithNode bool
}

type callState struct {
	call    Call
	outcome *CallOutcome
	ran     bool
	ranOn   outside.ServerID
}

// Sent records that a call was sent.
func (c *Checker) Sent(call Call) {
	c.report.Requests++
	c.calls[call.RequestID] = &callState{call: call}
}

// Ended records the outcome of a call. A second outcome of the same call is a
// violation; outcomes of calls that were not recorded by Sent are ignored.
func (c *Checker) Ended(requestID string, outcome CallOutcome) {
	state, found := c.calls[requestID]
	if !found {
		return
	}
	if state.outcome != nil {
		c.report.Tallies[PromiseAnswered].check(false, "request %s was answered twice", requestID)
		return
	}
	state.outcome = &outcome
	c.checkPlannedStop(state)
	switch {
	case outcome.LostWithNode:
		c.report.LostWithNode++
		return
	case outcome.Served:
		c.recordServed(state)
	default:
		c.report.Refused++
		c.report.RefusedByCode[int(outcome.Refusal.Code)]++
	}
	c.checkDeadline(state)
}

func (c *Checker) recordServed(state *callState) {
	c.report.Served++
	c.report.Tallies[PromiseOwnAnswer].check(state.outcome.Matches, "request %s got another or an incomplete answer", state.call.RequestID)
	if !state.outcome.Matches {
		c.report.Mismatched++
	}
}

func (c *Checker) checkDeadline(state *callState) {
	due, ongoing := c.due(state.call)
	late := state.outcome.At.Sub(due)
	c.report.Tallies[PromiseAnswered].check(ongoing || late <= 0, "request %s was answered %s too late by %s (code %d)",
		state.call.RequestID, late, state.call.Node, state.outcome.Refusal.Code)
}

// due returns the time by which a call must have ended. A node that was paused
// when the request arrived measures the limit from its resumption, since it
// can't determine how long the request had been buffered; one that was paused
// later must answer at resumption. If ongoing is true, the node is still paused
// and nothing is due yet.
func (c *Checker) due(call Call) (due time.Time, ongoing bool) {
	due = call.Deadline.Add(c.limits.AnswerSlack)
	arrival := call.SentAt.Add(c.limits.ClientDelay)
	for _, pause := range c.pauses[call.Node] {
		switch {
		case pause.from.After(due) || pause.endsBefore(arrival):
		case pause.to.IsZero():
			return due, true
		case !pause.from.After(arrival):
			due = pause.to.Add(call.Deadline.Sub(call.SentAt) + c.limits.AnswerSlack)
		default:
			due = later(due, pause.to.Add(c.limits.ClientDelay+c.limits.AnswerSlack))
		}
	}
	return due, false
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PlannedStop records that a node began a planned shutdown.
func (c *Checker) PlannedStop(node string, at time.Time) { c.plannedStops[node] = at }

// checkPlannedStop checks that a call to a node in a planned shutdown was not
// lost and, if it arrived before the shutdown began, was not refused because of
// it.
func (c *Checker) checkPlannedStop(state *callState) {
	stoppedAt, found := c.plannedStops[state.call.Node]
	if !found {
		return
	}
	tally := &c.report.Tallies[PromisePlannedStop]
	tally.check(!state.outcome.LostWithNode, "request %s was cut off by the planned stop of %s", state.call.RequestID, state.call.Node)
	if !state.call.SentAt.Add(c.limits.ClientDelay).Before(stoppedAt) {
		return
	}
	refusedByStop := !state.outcome.Served && state.outcome.Refusal.Code == result.NodeDraining
	tally.check(!refusedByStop, "request %s was accepted before the planned stop of %s but refused because of it",
		state.call.RequestID, state.call.Node)
}

// finishCall checks, at the end of the run, that a call has an outcome, and that
// a call refused as not run did not run, even after its refusal.
func (c *Checker) finishCall(state *callState, now time.Time) {
	if state.outcome == nil {
		due, ongoing := c.due(state.call)
		if !ongoing && now.After(due) {
			c.report.Unanswered++
			c.report.Tallies[PromiseAnswered].check(false, "request %s to %s was never answered", state.call.RequestID, state.call.Node)
		}
		return
	}
	outcome := state.outcome
	if outcome.Served || outcome.LostWithNode || outcome.Refusal.Ran != result.RanNo {
		return
	}
	c.report.Tallies[PromiseNotRun].check(!state.ran, "request %s was refused as not run (code %d) but ran on %s",
		state.call.RequestID, outcome.Refusal.Code, state.ranOn)
}

func (c *Checker) observeRun(event record.Event) {
	if state, found := c.calls[event.RequestID]; found {
		state.ran = true
		state.ranOn = event.Server
	}
	if event.Key == "" {
		return
	}
	c.runsByKey[event.Key]++
	repeated := c.runsByKey[event.Key] > 1
	c.report.Tallies[PromiseOnce].check(!repeated, "key %s ran %d times, last on %s for request %s",
		event.Key, c.runsByKey[event.Key], event.Server, event.RequestID)
	if repeated {
		c.report.Doubled++
	}
}

// reasonUnloaded is the reason that the stand-in engine records for a stream
// truncated by a planned unload.
const reasonUnloaded = "unloaded"

func (c *Checker) observeTruncated(event record.Event) {
	if event.Reason != reasonUnloaded {
		return
	}
	c.report.Tallies[PromisePlannedStop].check(false, "request %s was cut off by the unload of %s on %s",
		event.RequestID, event.Model, event.Server)
}

// observeUnload counts a planned unload as a check; observeTruncated counts the
// requests that it truncates as violations.
func (c *Checker) observeUnload() { c.report.Tallies[PromisePlannedStop].Checks++ }
