package checker

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// departure is a machine that leaves.
type departure struct {
	announced time.Time
	// visible is when readers of the machine list can see it.
	visible time.Time
}

// listReadPeriod is how often a node reads the machine list. What the list showed
// for a shorter time before its lag grew, a node need not have seen.
const listReadPeriod = time.Second

// MachineListLag notes that readers see the list as it was a time ago from now
// on.
func (c *Checker) MachineListLag(lag time.Duration, at time.Time) {
	c.listLag = lag
	for _, leaving := range c.leaving {
		if leaving.visible.Add(listReadPeriod).Before(at) {
			continue
		}
		leaving.visible = leaving.announced.Add(lag)
		if leaving.visible.Before(at) {
			leaving.visible = at
		}
	}
}

// MessageDelay notes that messages may take longer by a delay from now on, and
// so may arrive later by it than they were sent.
func (c *Checker) MessageDelay(delay time.Duration, at time.Time) {
	if delay < c.messageDelay {
		c.delayedUntil = at.Add(c.messageDelay)
		c.delayBefore = c.messageDelay
	}
	c.messageDelay = delay
}

// onTheWay is the longest that a message arriving now may have been on its way,
// beyond the usual.
func (c *Checker) onTheWay(at time.Time) time.Duration {
	if at.After(c.delayedUntil) {
		return c.messageDelay
	}
	return max(c.messageDelay, c.delayBefore)
}

func (c *Checker) observeMachine(event record.Event) {
	if outside.MachinePhase(event.Phase) != outside.MachineLeaving {
		delete(c.leaving, event.Server)
		return
	}
	c.report.MachinesLeaving++
	c.leaving[event.Server] = &departure{announced: event.At, visible: event.At.Add(c.listLag)}
}

// observeReceived checks that no work comes to a machine that has been seen
// leaving for long. A node or machine that was paused meanwhile may first act
// on it a grace after its resumption.
func (c *Checker) observeReceived(event record.Event) {
	leaving, leaves := c.leaving[event.Server]
	if !leaves {
		return
	}
	sent := event.At.Add(-c.onTheWay(event.At))
	delay := sent.Sub(leaving.visible)
	usual := leaving.visible.Add(c.limits.LeavingGrace)
	due, open := extendAll(leaving.visible, usual, c.limits.LeavingGrace,
		c.pauses[senderOf(event.Attempt)], c.pauses[string(event.Server)])
	if !open && due.Equal(usual) {
		c.report.MaxDrainDelay = max(c.report.MaxDrainDelay, delay.Seconds())
	}
	c.report.Tallies[PromiseLeaving].check(open || !sent.After(due),
		"%s got new work (request %s) %s after readers could see it leave", event.Server, event.RequestID, delay)
}

// senderOf returns the node that an attempt's id begins with.
func senderOf(attempt outside.AttemptID) string {
	for position := range attempt {
		if attempt[position] == '/' {
			return string(attempt[:position])
		}
	}
	return ""
}
