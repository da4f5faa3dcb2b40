package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/hatchplank/hatchplank/internal/platform"
)

// removeEngine takes a server from those that faults may pick.
func (w *World) removeEngine(server platform.ServerID) {
	w.EngineServers = slices.DeleteFunc(w.EngineServers, func(s platform.ServerID) bool { return s == server })
}

// replaceEngine brings a new machine in place of one that was reclaimed.
func (w *World) replaceEngine(number int, zone string) {
	server := platform.ServerID(fmt.Sprintf("%s-new-%02d", w.Options.Deployment.EnginePool, number))
	if w.Fleet.Host(server) != nil {
		return
	}
	w.startEngine(server, zone)
	w.EngineServers = append(w.EngineServers, server)
}

// excuseZone ends a partition after a span. Nodes of the zone can't learn of
// changes meanwhile.
func (w *World) excuseZone(zone string, span time.Duration, i *injector) {
	now := w.Loop.Now()
	for _, n := range w.Nodes {
		if n.Zone == zone {
			w.Checker.ExcuseTable(n.identity(), now, now.Add(span+excuseMargin))
		}
	}
	i.after(span, func() { w.Faults.CutZone = "" })
}
