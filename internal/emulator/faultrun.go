package emulator

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/checker"
)

// Spans of a fault run.
const (
	// warmUp lets the nodes form and the table be imported.
	warmUp = 15 * time.Second
	// DefaultFaultSpan is the time of faults in one run.
	DefaultFaultSpan = 10 * time.Minute
	// coolDown lets every request reach its deadline after the last fault.
	coolDown = 90 * time.Second
	// faultPause is the mean time between two faults.
	faultPause = 6 * time.Second
	// editPause is the time between two table edits.
	editPause = 20 * time.Second
)

// FaultRun is the outcome of one seed.
type FaultRun struct {
	Seed     uint64
	Report   checker.Report
	Injected map[string]int
	// Trace digests everything seen; equal for equal seeds.
	Trace string
	// Events of the simulation.
	Events uint64
}

// RunFaults runs one seed: a workload and table edits while faults of every
// kind come at random moments.
func RunFaults(options Options, span time.Duration) FaultRun { return runPrepared(options, span, nil) }

// runPrepared calls prepare, if set, when the faults begin.
func runPrepared(options Options, span time.Duration, prepare func(*World)) FaultRun {
	options.Limits.ClientDelay = options.Deployment.ClientDelay
	w := NewWorld(options)
	w.Loop.RunFor(2 * time.Second)
	w.Import(nil)
	w.Loop.RunFor(warmUp - 2*time.Second)
	if prepare != nil {
		prepare(w)
	}
	end := w.Loop.Now().Add(span)
	w.StartWorkload(DefaultWorkload(), end)
	w.startEdits(end)
	injected := w.StartFaults(faultPause, end)
	w.Loop.RunUntil(end)
	w.Loop.RunFor(coolDown)
	return FaultRun{
		Seed: options.Seed, Report: w.Checker.Finish(w.Loop.Now()), Injected: injected,
		Trace: w.trace.String(), Events: w.Loop.Executed(),
	}
}

// startEdits lets operators change the table now and then.
func (w *World) startEdits(until time.Time) {
	w.Loop.AfterFunc(editPause, func() {
		if w.Loop.Now().After(until) {
			return
		}
		w.EditProbe()
		w.Loop.AfterFunc(editPause/2, w.EditLimit)
		w.startEdits(until)
	})
}
