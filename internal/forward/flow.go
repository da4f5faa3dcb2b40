package forward

import (
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/result"
)

// flow is the state of one request while it is served.
type flow struct {
	request *Request
	route   *fleet.Route
	pool    string
	// priority at the server and in the demand; 0 is the most urgent.
	priority int
	deadline time.Time
	prefixes []prefix
	// tried are the IDs of servers that are not tried again for now.
	tried map[string]bool
	// slotsAt are the times at which servers whose rate limits refused a slot have capacity
	// again, by ID. reservation is the slot that the request waits for, or nil.
	slotsAt     map[string]time.Time
	reservation *reservation
	// attempts counts the attempts that were sent, runs those that may have run.
	attempts, runs int
	ran            result.Ran
	// maySend: the next attempt needs no retry from the budget. It is the first one to reach a
	// server, or a retry was taken for one that did not.
	maySend bool
	// waitingSince is when the request last began to wait for its model or adapter, which no server held.
	waitingSince time.Time
	// capacityExpected is when a server was first expected to take the request, since it began to wait for one.
	capacityExpected time.Time
	// held is the time from acceptance to the first attempt.
	held time.Duration
	// attemptStarted is when the latest attempt was sent.
	attemptStarted time.Time
	firstByte      time.Duration
	server         string
	// latestServer is the server of the latest attempt, for other goroutines.
	latestServer *atomic.Pointer[fleet.Server]
	// cold: no server held the model when the request arrived.
	cold     bool
	decision Decision
	// stream is what of an event stream was passed on; headSent: the response head was, with headStatus, and
	// headOfStream: as that of an event stream.
	stream       eventStream
	headSent     bool
	headStatus   int
	headOfStream bool
	// version is the software version of the server that began the stream; nil inside until an event
	// is passed on. Copies of the flow share it.
	version *atomic.Pointer[string]
	// onAccepted is called with each part of the latest response that is accepted; nil before the first.
	onAccepted func()
	// onBegin is called with the server at which a stream that may be resumed begins; nil for others.
	onBegin func(server *fleet.Server)
	// lastPassedOn is when the caller last got events; nil inside until then. Copies of the flow share it.
	lastPassedOn *atomic.Pointer[time.Time]
	// begunAt is the server at which onBegin was called. Copies of the flow share it.
	begunAt *atomic.Pointer[fleet.Server]
	// hasVersion reports whether a server's record still names the version that it was chosen by.
	hasVersion func(server *fleet.Server) bool
	// trial is set where the request is quarantined and runs as a trial; trialSent: a server may
	// have read it, so that it is sent to no other one.
	trial     *poison.Trial
	trialSent bool
	gaps      eventGaps
	// runTime is the pool's average time from a response's beginning to its end, at the usual speed
	// of the servers.
	runTime time.Duration
	// aheadShare is the share of the requests that wait at a server that it starts before this one.
	aheadShare float64
}

// mayContinue reports whether another server's response can follow what was passed on.
func (fl *flow) mayContinue() bool { return !fl.headSent || fl.headOfStream && fl.stream.resumable() }

// continues reports whether a response can follow the head that was sent.
func (fl *flow) continues(reply *Reply) bool {
	return !fl.headSent || fl.headOfStream && reply.Events && reply.Status == fl.headStatus
}

// modelAndAdapter identifies the model and adapter that the request needs.
func (fl *flow) modelAndAdapter() string { return fl.request.Model + "/" + fl.request.Adapter }

// rank is the urgency of the request, from 0 (most urgent) to 1.
func (fl *flow) rank() float64 {
	return float64(min(fl.priority, lowestPriority)) / lowestPriority
}

func (fl *flow) demandKey() DemandKey {
	return DemandKey{Pool: fl.pool, Model: fl.request.Model, Adapter: fl.request.Adapter}
}

func (fl *flow) outcome(code result.Code, reason string) *Outcome {
	return &Outcome{
		Code: code, Reason: reason, Ran: fl.ran, HeadSent: fl.headSent, Attempts: fl.attempts, Server: fl.server,
		Route: fl.route.Name, Pool: fl.pool, Held: fl.held, FirstByte: fl.firstByte,
		Cold: fl.cold, Decision: fl.decision, LongestGap: fl.gaps.longest, Late: fl.lateness(),
	}
}

// refuse returns a refusal with the code, or OutcomeUnknown if the request may have run.
func (fl *flow) refuse(code result.Code, reason string) *Outcome {
	outcome := fl.outcome(code, reason)
	if fl.ran != result.RanNo {
		outcome.Code = result.OutcomeUnknown
	}
	return outcome
}

func (f *Forwarder) newFlow(request *Request, route *fleet.Route) *flow {
	deadline := request.Accepted.Add(route.Timeout)
	if request.Deadline.IsZero() {
		request.Deadline = deadline
	}
	if request.Deadline.Before(deadline) {
		deadline = request.Deadline.Add(-deadlineMargin)
	}
	flow := &flow{
		maySend: true,
		request: request, route: route, pool: route.Pick(f.sequence.Add(1)), deadline: deadline,
		prefixes: sharedPrefixes(request), tried: map[string]bool{}, slotsAt: map[string]time.Time{},
		stream: newEventStream(request, route), latestServer: new(atomic.Pointer[fleet.Server]), version: new(atomic.Pointer[string]),
		begunAt: new(atomic.Pointer[fleet.Server]), lastPassedOn: new(atomic.Pointer[time.Time]), hasVersion: f.hasVersion,
	}
	if route.Kind == fleet.KindStream && route.Resumable {
		flow.onBegin = func(server *fleet.Server) { f.recordOrigin(flow, server) }
	}
	return flow
}
