package checker

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// leavingMachine is a machine that was announced to leave.
type leavingMachine struct {
	announcedAt time.Time
	// visibleAt is when the machine list shows the departure to readers.
	visibleAt time.Time
}

// listReadPeriod is how often a node reads the machine list. A node may have
// missed an entry that the list showed for a shorter time before its lag grew.
const listReadPeriod = time.Second

// MachineListLag records that readers of the machine list receive a state that
// is lag old from now on.
func (c *Checker) MachineListLag(lag time.Duration, at time.Time) {
	c.listLag = lag
	for _, leaving := range c.leaving {
		if leaving.visibleAt.Add(listReadPeriod).Before(at) {
			continue
		}
		leaving.visibleAt = leaving.announcedAt.Add(lag)
		if leaving.visibleAt.Before(at) {
			leaving.visibleAt = at
		}
	}
}

// MessageDelay records that messages sent from now on may take longer by delay
// than usual.
func (c *Checker) MessageDelay(delay time.Duration, at time.Time) {
	if delay < c.messageDelay {
		c.previousDelayUntil = at.Add(c.messageDelay)
		c.previousDelay = c.messageDelay
	}
	c.messageDelay = delay
}

// maxTransitDelay returns the largest delay, beyond the usual one, that a message
// arriving at a time may have had.
func (c *Checker) maxTransitDelay(at time.Time) time.Duration {
	if at.After(c.previousDelayUntil) {
		return c.messageDelay
	}
	return max(c.messageDelay, c.previousDelay)
}

func (c *Checker) observeMachine(event record.Event) {
	if outside.MachinePhase(event.Phase) != outside.MachineLeaving {
		delete(c.leaving, event.Server)
		return
	}
	c.report.MachinesLeaving++
	c.leaving[event.Server] = &leavingMachine{announcedAt: event.At, visibleAt: event.At.Add(c.listLag)}
}

// observeReceived checks that a leaving machine receives no new work once
// LeavingGrace has passed since the machine list showed the departure. If the
// node or the machine was paused meanwhile, the grace period starts at its
// resumption.
func (c *Checker) observeReceived(event record.Event) {
	leaving, found := c.leaving[event.Server]
	if !found {
		return
	}
	sent := event.At.Add(-c.maxTransitDelay(event.At))
	delay := sent.Sub(leaving.visibleAt)
	unextended := leaving.visibleAt.Add(c.limits.LeavingGrace)
	due, ongoing := extendAll(leaving.visibleAt, unextended, c.limits.LeavingGrace,
		c.pauses[senderOf(event.Attempt)], c.pauses[string(event.Server)])
	if !ongoing && due.Equal(unextended) {
		c.report.MaxDrainDelay = max(c.report.MaxDrainDelay, delay.Seconds())
	}
	c.report.Tallies[PromiseLeaving].check(ongoing || !sent.After(due),
		"%s got new work (request %s) %s after readers could see it leave", event.Server, event.RequestID, delay)
}

// senderOf returns the node identity that is the prefix of an attempt's ID, or
// an empty string if there is none.
func senderOf(attempt outside.AttemptID) string {
	for position := range attempt {
		if attempt[position] == '/' {
			return string(attempt[:position])
		}
	}
	return ""
}
