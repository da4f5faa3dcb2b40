package emulator

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// Call is what was measured of one arrival of the measured span.
type Call struct {
	// Row called and Base model that serves it.
	Row, Base string
	// First: the row was not called for FirstRequestSilence before.
	First bool
	// SentAt, UpAt, StartedAt and EndedAt are seconds from the start of the
	// run. UpAt is when the row could first be served at or after SentAt, and
	// StartedAt when the request began to run; negative: not within the run.
	SentAt, UpAt, StartedAt, EndedAt float64
	// FirstToken is the time from sending to the first piece of the answer.
	FirstToken float64
	Served     bool
}

// FirstRequestSilence makes the call after it a first request.
const FirstRequestSilence = 10 * time.Minute

// notYet marks a time that has not come.
const notYet = -1

// Wait is how long the call waited for its model: until it ran, or if it never
// did, until the row could be served. End is the end of the run.
func (c *Call) Wait(end float64) float64 {
	switch {
	case c.StartedAt >= 0:
		return c.StartedAt - c.SentAt
	case c.UpAt >= 0:
		return max(c.UpAt, c.EndedAt) - c.SentAt
	}
	return end - c.SentAt
}

// lateness is how long the call's row was not loaded after it was sent.
func (c *Call) lateness(end float64) float64 {
	if c.UpAt < 0 {
		return end - c.SentAt
	}
	return c.UpAt - c.SentAt
}

// policyObserver measures a policy run from what callers and stand-ins saw.
type policyObserver struct {
	world    *World
	presence *presence
	calls    []*Call
	// byRequest of calls that have not begun to run, pending by row of those
	// whose row is not up.
	byRequest map[string]*Call
	pending   map[string][]*Call
	// loads by source word, since the span began.
	loads map[string]int
	inRun bool
}

func newPolicyObserver(world *World) *policyObserver {
	observer := &policyObserver{
		world: world, byRequest: map[string]*Call{}, pending: map[string][]*Call{}, loads: map[string]int{},
	}
	observer.presence = newPresence(observer.rowUp)
	return observer
}

func (o *policyObserver) now() float64 { return secondsOf(o.world.Loop.Now()) }

// observe takes in one event of the stand-ins' record.
func (o *policyObserver) observe(event record.Event) {
	o.presence.observe(&event)
	switch event.Kind {
	case record.KindLoadStarted:
		if o.inRun {
			o.loads[event.Source]++
		}
	case record.KindGenerationStarted:
		if call, waiting := o.byRequest[event.RequestID]; waiting {
			call.StartedAt = o.now()
			delete(o.byRequest, event.RequestID)
		}
	}
}

func (o *policyObserver) rowUp(row string) {
	for _, call := range o.pending[row] {
		call.UpAt = o.now()
	}
	delete(o.pending, row)
}

// sent notes a call of the measured span.
func (o *policyObserver) sent(requestID string, call *Call) {
	call.SentAt, call.UpAt, call.StartedAt, call.EndedAt = o.now(), notYet, notYet, notYet
	o.calls = append(o.calls, call)
	o.byRequest[requestID] = call
	if o.presence.isUp(call.Row) {
		call.UpAt = call.SentAt
		return
	}
	o.pending[call.Row] = append(o.pending[call.Row], call)
}

// ended notes a call's end.
func (o *policyObserver) ended(call *Call, ended EndedCall) {
	delete(o.byRequest, ended.Request.ID)
	call.EndedAt = o.now()
	call.Served = ended.Served
	if !ended.FirstAt.IsZero() {
		call.FirstToken = ended.FirstAt.Sub(ended.SentAt).Seconds()
	}
}
