package forward

import (
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// flow is a request on its way.
type flow struct {
	request *Request
	route   *fleet.Route
	pool    string
	// priority at the server and among what waits; 0 is the most urgent.
	priority int
	deadline time.Time
	prefixes []prefix
	// cameBack: the caller was refused before.
	cameBack bool
	// tried servers of this request.
	tried map[string]bool
	// turns are when it is the request's turn at servers whose limits had no room in time, by
	// ID, and reserved is the turn that it waits for.
	turns    map[string]time.Time
	reserved *reservation
	// sent counts attempts, runs those that may have run.
	sent, runs int
	ran        result.Ran
	held       time.Duration
	// attemptBegan is when the newest attempt was sent.
	attemptBegan time.Time
	firstByte    time.Duration
	server       string
	// newest is the server of the newest attempt, for other goroutines.
	newest *atomic.Pointer[fleet.Server]
	cold   bool
	belief Decision
	// lastEvent passed on, and whether the head was.
	lastEvent string
	begun     bool
	pauses    pauses
	// runTime is the pool's usual time of an answer.
	runTime time.Duration
}

// answerBy is until when an answer must begin for the caller to be there.
func (fl *flow) answerBy() time.Time {
	if fl.route.CallerWaitLimit <= 0 {
		return fl.deadline
	}
	leaves := fl.request.Accepted.Add(fl.route.CallerWaitLimit - finalMargin)
	if leaves.Before(fl.deadline) {
		return leaves
	}
	return fl.deadline
}

// startBy is until when a server may begin with the request: in time for the
// objective, or for a late answer where a refusal is worth no more.
func (fl *flow) startBy(now time.Time) time.Time {
	objective := fl.request.Accepted.Add(fl.route.LatencyObjective)
	early := fl.request.Accepted.Add(time.Duration(refusalShare * float64(fl.route.LatencyObjective)))
	if fl.cameBack || fl.ran != result.RanNo || now.After(early) {
		return fl.answerBy()
	}
	return objective
}

func (fl *flow) need() string { return fl.request.Model + "/" + fl.request.Adapter }

func (fl *flow) key() DemandKey {
	return DemandKey{Pool: fl.pool, Model: fl.request.Model, Adapter: fl.request.Adapter}
}

func (fl *flow) outcome(code result.Code, reason string) *Outcome {
	return &Outcome{
		Code: code, Reason: reason, Ran: fl.ran, HeadSent: fl.begun, Attempts: fl.sent, Server: fl.server,
		Route: fl.route.Name, Pool: fl.pool, Held: fl.held, FirstByte: fl.firstByte,
		Cold: fl.cold, Decision: fl.belief, LongestGap: fl.pauses.longest, ClientRetry: fl.cameBack,
		Late: fl.lateness(),
	}
}

// refuse ends a request that has not run with certainty, or says that it may.
func (fl *flow) refuse(code result.Code, reason string) *Outcome {
	outcome := fl.outcome(code, reason)
	if fl.ran != result.RanNo {
		outcome.Code = result.OutcomeUnknown
	}
	return outcome
}

// retryAfter is the delay, or as much of it as callers wait.
func (fl *flow) retryAfter(delay time.Duration, now time.Time) time.Duration {
	left := fl.request.Deadline.Sub(now)
	return min(delay, time.Duration(retryShare*float64(left)))
}

func (f *Forwarder) newFlow(request *Request, route *fleet.Route) *flow {
	deadline := request.Accepted.Add(route.Timeout)
	if request.Deadline.IsZero() {
		request.Deadline = deadline
	}
	if request.Deadline.Before(deadline) {
		deadline = request.Deadline.Add(-finalMargin)
	}
	return &flow{
		request: request, route: route, pool: route.Pick(f.numbers.Add(1)), deadline: deadline,
		prefixes: sharedPrefixes(request), cameBack: f.cameBack(request, route), tried: map[string]bool{}, turns: map[string]time.Time{},
		lastEvent: request.ResumeAfter, newest: new(atomic.Pointer[fleet.Server]),
	}
}

// mostPatience is how many routes are remembered; routes come and go with the
// configurations.
const mostPatience = 4096

// cameBack tells by the time left whether the caller was refused before.
func (f *Forwarder) cameBack(request *Request, route *fleet.Route) bool {
	left := request.Deadline.Sub(request.Accepted)
	f.patienceMutex.Lock()
	defer f.patienceMutex.Unlock()
	longest := f.patience[route.Prefix]
	if len(f.patience) > mostPatience {
		clear(f.patience)
	}
	if left > longest {
		f.patience[route.Prefix] = left
	}
	return float64(left) < cameBackShare*float64(longest)
}
