package checker

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Call is a request as its caller sent it.
type Call struct {
	RequestID string
	// Node that received it, as name and incarnation.
	Node string
	// Key of a non-repeatable request; empty otherwise.
	Key      string
	SentAt   time.Time
	Deadline time.Time
}

// CallOutcome is the end of a call as its caller saw it.
type CallOutcome struct {
	At     time.Time
	Served bool
	// Matches is set for served calls: the text is the complete expected one.
	Matches bool
	// Refusal of a call that was not served.
	Refusal result.Refusal
	// LostWithNode: the connection broke because the node died.
	LostWithNode bool
}

type callState struct {
	call  Call
	final *CallOutcome
	ran   bool
	ranOn outside.ServerID
}

// Sent notes a call.
func (c *Checker) Sent(call Call) {
	c.report.Requests++
	c.calls[call.RequestID] = &callState{call: call}
}

// Ended notes the end of a call; a second end of the same call is a breach.
func (c *Checker) Ended(requestID string, final CallOutcome) {
	state, known := c.calls[requestID]
	if !known {
		return
	}
	if state.final != nil {
		c.report.Tallies[PromiseAnswered].check(false, "request %s was answered twice", requestID)
		return
	}
	state.final = &final
	c.checkPlannedStop(state)
	switch {
	case final.LostWithNode:
		c.report.LostWithNode++
		return
	case final.Served:
		c.served(state)
	default:
		c.report.Refused++
		c.report.RefusedByCode[int(final.Refusal.Code)]++
	}
	c.checkInTime(state)
}

func (c *Checker) served(state *callState) {
	c.report.Served++
	c.report.Tallies[PromiseOwnAnswer].check(state.final.Matches, "request %s got another or an incomplete answer", state.call.RequestID)
	if !state.final.Matches {
		c.report.Mismatched++
	}
}

func (c *Checker) checkInTime(state *callState) {
	due, open := c.due(state.call)
	late := state.final.At.Sub(due)
	c.report.Tallies[PromiseAnswered].check(open || late <= 0, "request %s was answered %s too late by %s (code %d)",
		state.call.RequestID, late, state.call.Node, state.final.Refusal.Code)
}

// due returns when a call must have ended. A node that was paused when the
// request arrived counts the limit from its resumption, since it can't know how
// long the request had lain there; one that was paused later must answer at
// resumption. Open tells that the node is still paused.
func (c *Checker) due(call Call) (due time.Time, open bool) {
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PlannedStop notes that a node began a planned stop.
func (c *Checker) PlannedStop(node string, at time.Time) { c.planned[node] = at }

// checkPlannedStop: a call to a node that stops as planned must not be lost,
// and none that had arrived before may be refused on account of the stop.
func (c *Checker) checkPlannedStop(state *callState) {
	stoppedAt, planned := c.planned[state.call.Node]
	if !planned {
		return
	}
	tally := &c.report.Tallies[PromisePlannedStop]
	tally.check(!state.final.LostWithNode, "request %s was cut off by the planned stop of %s", state.call.RequestID, state.call.Node)
	if !state.call.SentAt.Add(c.limits.ClientDelay).Before(stoppedAt) {
		return
	}
	turnedAway := !state.final.Served && state.final.Refusal.Code == result.NodeDraining
	tally.check(!turnedAway, "request %s was accepted before the planned stop of %s but turned away by it",
		state.call.RequestID, state.call.Node)
}

// finishCall checks, at the end of the run, what may still change after a
// call's end, and that it has one.
func (c *Checker) finishCall(state *callState, now time.Time) {
	if state.final == nil {
		due, open := c.due(state.call)
		if !open && now.After(due) {
			c.report.Unanswered++
			c.report.Tallies[PromiseAnswered].check(false, "request %s to %s was never answered", state.call.RequestID, state.call.Node)
		}
		return
	}
	final := state.final
	if final.Served || final.LostWithNode || final.Refusal.Ran != result.RanNo {
		return
	}
	c.report.Tallies[PromiseNotRun].check(!state.ran, "request %s was refused as not run (code %d) but ran on %s",
		state.call.RequestID, final.Refusal.Code, state.ranOn)
}

func (c *Checker) observeRun(event record.Event) {
	if state, known := c.calls[event.RequestID]; known {
		state.ran = true
		state.ranOn = event.Server
	}
	if event.Key == "" {
		return
	}
	c.keyRuns[event.Key]++
	doubled := c.keyRuns[event.Key] > 1
	c.report.Tallies[PromiseOnce].check(!doubled, "key %s ran %d times, last on %s for request %s",
		event.Key, c.keyRuns[event.Key], event.Server, event.RequestID)
	if doubled {
		c.report.Doubled++
	}
}

// reasonUnloaded is the stand-in's word for a stream cut by a planned unload.
const reasonUnloaded = "unloaded"

func (c *Checker) observeTruncated(event record.Event) {
	if event.Reason != reasonUnloaded {
		return
	}
	c.report.Tallies[PromisePlannedStop].check(false, "request %s was cut off by the unload of %s on %s",
		event.RequestID, event.Model, event.Server)
}

// observeUnload counts a planned unload; requests that it cuts off are breaches
// seen by observeTruncated.
func (c *Checker) observeUnload() { c.report.Tallies[PromisePlannedStop].Checks++ }
