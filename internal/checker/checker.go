package checker

import (
	"maps"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Limits are the durations that the promises don't fix.
type Limits struct {
	// AnswerSlack is added to a deadline. The emulator needs none, since its
	// callers receive answers at exact virtual times.
	AnswerSlack time.Duration
	// ClientDelay is the one-way delay between callers and nodes.
	ClientDelay time.Duration
	// LeavingGrace is how long a machine may still receive new work once the
	// machine list shows readers that it is leaving.
	LeavingGrace time.Duration
	// TableGrace is how long an accepted table change may take to be applied on
	// all nodes.
	TableGrace time.Duration
}

// DefaultLimits returns the limits that the experiments use.
func DefaultLimits() Limits {
	return Limits{
		ClientDelay:  time.Millisecond,
		LeavingGrace: 5 * time.Second,
		TableGrace:   5 * time.Second,
	}
}

// Checker receives all observations of a run in order of time and counts
// violations of the promises. It is not safe for concurrent use.
type Checker struct {
	limits Limits
	report Report

	calls         map[string]*callState
	replicas      map[string]map[outside.ServerID]bool
	replicaLimits map[string][]replicaLimit
	leaving       map[outside.ServerID]*leavingMachine
	runsByKey     map[string]int
	changes       map[string]*change
	// pauses is keyed by node identity or server, partitions by node name.
	pauses, partitions map[string]outages
	keyValueOutages    outages
	// plannedStops maps the identities of nodes to the start of their planned
	// shutdown.
	plannedStops map[string]time.Time

	listLag time.Duration
	// messageDelay is the present additional delay. Messages sent under
	// previousDelay may still arrive until previousDelayUntil.
	messageDelay, previousDelay time.Duration
	previousDelayUntil          time.Time

	durableTokens map[table.Revision]string
	acknowledged  []acknowledgement
	rejected      []string
}

// New returns a checker without observations.
func New(limits Limits) *Checker {
	return &Checker{
		limits:        limits,
		report:        Report{RefusedByCode: map[int]uint64{}},
		calls:         map[string]*callState{},
		replicas:      map[string]map[outside.ServerID]bool{},
		replicaLimits: map[string][]replicaLimit{},
		leaving:       map[outside.ServerID]*leavingMachine{},
		runsByKey:     map[string]int{},
		changes:       map[string]*change{},
		pauses:        map[string]outages{},
		partitions:    map[string]outages{},
		plannedStops:  map[string]time.Time{},
		durableTokens: map[table.Revision]string{},
	}
}

// Finish runs the checks that are due at the end of the run and returns the
// report.
func (c *Checker) Finish(now time.Time) Report {
	for _, requestID := range slices.Sorted(maps.Keys(c.calls)) {
		c.finishCall(c.calls[requestID], now)
	}
	c.finishTable(now)
	c.finishEdits()
	return c.report
}

// Observe processes one event of the stand-ins' record.
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
