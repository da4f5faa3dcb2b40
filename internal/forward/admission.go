package forward

import (
	"context"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

const (
	// loadOverhead is the time that a model load takes besides the load itself: reporting
	// the demand, sending the order and confirming it.
	loadOverhead = 250 * time.Millisecond
	// takeoverDelay is the expected time until orders are given while no order holder
	// is known: somewhat more than half of the longest time that an unreachable holder's
	// lease and the handover period after it take on the users' platform (5.3 s).
	takeoverDelay = 3 * time.Second
	// baseDelay is the shortest expected delay of a request that lacks only a free slot or
	// a connection. It is also added to the time at which a planned load is ready.
	baseDelay = 150 * time.Millisecond
	// minReadyDelay is the shortest Retry-After of a node that has not read the
	// configuration yet.
	minReadyDelay = 300 * time.Millisecond
	// planWaitLimit is how long a request waits for the holder's plan for the model that
	// it needs before the delay is estimated without one. Within it the demand is reported
	// to the holder, which plans and replies.
	planWaitLimit = pollPeriod
	// planPollPeriod is the time between checks for that plan.
	planPollPeriod = 20 * time.Millisecond
	// pollPeriod is the longest time between two evaluations of a held request.
	pollPeriod = 100 * time.Millisecond
	// deadlineMargin is left before a deadline for the refusal to reach the caller.
	deadlineMargin = 20 * time.Millisecond
)

// acquire waits until a server can take the request. It returns nil and a refusal as soon as
// none is expected to serve the request in the time that its caller has left.
func (f *Forwarder) acquire(ctx context.Context, flow *flow) (*candidate, *Outcome) {
	waiting := false
	flow.capacityExpected = time.Time{}
	// woken: the request has waited, like others that choose now.
	woken := false
	// check is the check of a suspected server that the request waits for.
	var check <-chan struct{}
	defer f.dropReservation(flow)
	defer func() {
		if waiting {
			f.demand.removeWaiting(flow.demandKey())
		}
	}()
	for {
		if refusal := f.refuseNewlyQuarantined(flow); refusal != nil {
			return nil, refusal
		}
		changed, freed := f.view.Changed(), f.tracker.freedChannel()
		now := time.Now()
		snapshot := f.view.Load()
		if target := f.dueReservation(flow, now); target != nil {
			return target, nil
		}
		found := f.chooseInTurn(flow, woken, snapshot, now)
		if found.best != nil {
			if f.takeSlot(ctx, flow, found.best, f.maxSlotWait(f.latestStart(flow), now)) {
				return found.best, nil
			}
			continue
		}
		if refusal := f.refuseWithoutVersion(flow, found); refusal != nil {
			return nil, refusal
		}
		if refusal := f.refuseWithoutRetry(flow, now); refusal != nil {
			return nil, refusal
		}
		if found.check != nil {
			check = found.check
		}
		if check != nil && flow.decision.Suspected > 0 {
			if f.waitForChange(ctx, flow, changed, freed, check) != nil {
				return nil, f.cancellationOutcome(ctx, flow)
			}
			if hasEnded(check) {
				check = nil
			}
			woken = true
			continue
		}
		if found.eligible == 0 && !waiting && flow.request.Model != "" {
			waiting, flow.cold, flow.waitingSince = true, true, now
			f.demand.addWaiting(flow.demandKey(), flow.priority)
		}
		if flow.reservation == nil {
			if refusal := f.holdOrRefuse(flow, snapshot, found, now); refusal != nil {
				return nil, refusal
			}
		}
		if f.waitForChange(ctx, flow, changed, freed, nil) != nil {
			return nil, f.cancellationOutcome(ctx, flow)
		}
		woken = true
	}
}

// chooseInTurn chooses a server for the request. If it was woken with others, those that come before it choose first.
func (f *Forwarder) chooseInTurn(flow *flow, woken bool, snapshot *fleet.Snapshot, now time.Time) choice {
	if woken {
		defer f.turns.await(flow.pool, flow.priority, f.latestStart(flow))()
	}
	return f.choose(flow, snapshot, now)
}

// stopsBefore reports whether the node is stopping and sends no requests at the time any more.
func (f *Forwarder) stopsBefore(at time.Time) bool {
	until := f.drainUntil.Load()
	return until != nil && at.After(*until)
}

// waitForChange waits until the view changes, a slot becomes free, a check ends or the poll period
// is over; a nil check never ends. It returns the context's error once the request is cancelled or
// past its deadline.
func (f *Forwarder) waitForChange(ctx context.Context, flow *flow, changed, freed, check <-chan struct{}) error {
	period := pollPeriod
	if time.Since(flow.waitingSince) < planWaitLimit {
		period = planPollPeriod
	}
	fullPeriod := period == pollPeriod
	if flow.reservation != nil {
		period = min(period, time.Until(flow.reservation.notBefore))
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-freed:
	case <-check:
	case <-timer.C:
		if fullPeriod {
			// Servers that were tried may be tried again after a poll period.
			clear(flow.tried)
		}
	}
	return nil
}

// holdOrRefuse decides whether a request that can't be sent now is held. It returns nil to
// hold the request: if a server is expected to begin with it in time for its caller. Otherwise
// it refuses at once, with the time at which the request can be served.
func (f *Forwarder) holdOrRefuse(flow *flow, snapshot *fleet.Snapshot, found choice, now time.Time) *Outcome {
	eligible := found.eligible > 0
	delay := max(baseDelay, flow.decision.QueueWait, flow.overdue(now))
	switch {
	case !eligible:
		delay = f.expectedDelay(flow, snapshot, now)
	case found.checking:
		// A server that was suspected by mistake accepts the check's connection within
		// a round trip.
		delay = flow.decision.QueueWait
	case found.unreachable == found.eligible:
		delay = max(delay, found.reachableIn)
	}
	flow.decision.Delay = delay
	flow.expectCapacity(now.Add(delay))
	if f.stopsBefore(now.Add(delay)) {
		return f.giveUp(flow, "the node is stopping", result.NodeDraining)
	}
	// No server can serve the request in time if none has a rate-limit slot for it.
	noSlot := eligible && found.withoutSlot == found.eligible && flow.ran == result.RanNo
	if !noSlot && now.Add(delay).Before(f.latestStart(flow)) {
		return nil
	}
	code, reason := result.NoBackEnd, "no server in time"
	switch {
	case eligible && found.unreachable == found.eligible:
		code, reason = result.BackEndUnreachable, "no server that holds the model is reached"
	case eligible:
		code = result.QueueFull
	}
	outcome := flow.refuse(code, reason)
	outcome.RetryAfter = f.withJitter(flow, delay, now)
	if !eligible {
		f.demand.expectRetry(flow.demandKey(), flow.priority, now.Add(outcome.RetryAfter+retryGrace))
	}
	return outcome
}
