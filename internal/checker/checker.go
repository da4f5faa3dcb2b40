package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Limits are the spans that the promises leave open.
type Limits struct {
	// AnswerSlack is added to a deadline. The emulator needs none: callers see
	// answers at exact times.
	AnswerSlack time.Duration
	// ClientDelay is the one-way delay between callers and nodes.
	ClientDelay time.Duration
	// LeavingGrace is how long a machine that readers of the machine list can
	// see leaving may still get new work.
	LeavingGrace time.Duration
	// TableGrace is how long an accepted change may take to be in force.
	TableGrace time.Duration
}

// DefaultLimits are used by the experiments.
func DefaultLimits() Limits {
	return Limits{
		ClientDelay:  time.Millisecond,
		LeavingGrace: 5 * time.Second,
		TableGrace:   5 * time.Second,
	}
}

// Checker takes in everything that was seen of a run, in order of time, and
// counts breaches. It is not safe for concurrent use.
type Checker struct {
	limits Limits
	report Report

	calls    map[string]*callState
	replicas map[string]map[outside.ServerID]bool
	allowed  map[string][]allowance
	leaving  map[outside.ServerID]*departure
	keyRuns  map[string]int
	changes  map[string]*change
	// pauses by node identity or server, cutOff by node name.
	pauses, cutOff map[string]spans
	keyValueOut    spans
	// planned holds when nodes began a planned stop.
	planned map[string]time.Time

	listLag time.Duration
	// messageDelay in force, and the one before, which counts until delayedUntil.
	messageDelay, delayBefore time.Duration
	delayedUntil              time.Time

	durable      map[table.Revision]string
	acknowledged []acknowledgement
	rejected     []string
}

// New returns a checker.
func New(limits Limits) *Checker {
	return &Checker{
		limits:   limits,
		report:   Report{RefusedByCode: map[int]uint64{}},
		calls:    map[string]*callState{},
		replicas: map[string]map[outside.ServerID]bool{},
		allowed:  map[string][]allowance{},
		leaving:  map[outside.ServerID]*departure{},
		keyRuns:  map[string]int{},
		changes:  map[string]*change{},
		pauses:   map[string]spans{},
		cutOff:   map[string]spans{},
		planned:  map[string]time.Time{},
		durable:  map[table.Revision]string{},
	}
}

// Finish ends the run at a time and returns the report.
func (c *Checker) Finish(now time.Time) Report {
	for _, requestID := range slices.Sorted(maps.Keys(c.calls)) {
		c.finishCall(c.calls[requestID], now)
	}
	c.finishTable(now)
	c.finishEdits()
	return c.report
}

// Observe takes in one event of the stand-ins' record.
func (c *Checker) Observe(event record.Event) {
	switch event.Kind {
	case record.KindLoadStarted, record.KindLoadFailed, record.KindUnloadFinished, record.KindProcessDied, record.KindProcessStarted:
		c.observeReplica(event)
	case record.KindUnloadStarted:
		c.observeUnload()
	case record.KindMemory:
		c.observeMemory(event)
	case record.KindGenerationReceived, record.KindBackEndReceived:
		c.observeReceived(event)
	case record.KindGenerationStarted, record.KindBackEndRun:
		c.observeRun(event)
	case record.KindGenerationTruncated:
		c.observeTruncated(event)
	case record.KindMachinePhase:
		c.observeMachine(event)
	}
}

func (c *Checker) observeMemory(event record.Event) {
	c.report.Tallies[PromiseMemory].check(!event.Overcommitted, "%s committed %d of %d bytes at %s",
		event.Server, event.UsedBytes, event.CapacityBytes, event.At.Format(time.TimeOnly))
	if event.Overcommitted {
		c.report.Overcommitted++
	}
}
