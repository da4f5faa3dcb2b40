package emulator

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
)

// pause stops a process for a span. The checker learns the exact times, since
// what falls due meanwhile is due afterwards.
func (w *World) pause(name string, process *simulation.Process, span time.Duration) {
	process.Pause()
	w.Checker.Paused(name, w.Loop.Now())
	w.Loop.AfterFunc(span, func() {
		w.Checker.Resumed(name, w.Loop.Now())
		process.Resume()
	})
}

// cutZone cuts a zone off from the others, and joins the one that was cut off
// before; an empty zone cuts off none. Callers and the platform's own services
// stay reachable.
func (w *World) cutZone(zone string) {
	now := w.Loop.Now()
	for _, n := range w.Nodes {
		if n.Zone == w.Faults.CutZone {
			w.Checker.Reconnected(n.Name, now)
		}
	}
	w.Faults.CutZone = zone
	for _, n := range w.Nodes {
		if n.Zone == zone {
			w.Checker.Partitioned(n.Name, now)
		}
	}
}

// setMachineListLag makes readers see the machine list as it was a time ago.
func (w *World) setMachineListLag(lag time.Duration) {
	w.Machines.SetFaults(machines.Faults{Lag: lag})
	w.Checker.MachineListLag(lag, w.Loop.Now())
}

// setLateness makes a share of the messages take longer by a delay.
func (w *World) setLateness(share float64, delay time.Duration) {
	w.Faults.Late = share
	w.Faults.LateDelay = delay
	w.Checker.MessageDelay(delay, w.Loop.Now())
}
