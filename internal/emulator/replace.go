package emulator

import (
	"fmt"
	"slices"

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

// removeBackEnd takes a server from those that faults may pick.
func (w *World) removeBackEnd(server platform.ServerID) {
	w.BackEndServers = slices.DeleteFunc(w.BackEndServers, func(s platform.ServerID) bool { return s == server })
}

// replaceBackEnd brings a new machine in place of one that was reclaimed.
func (w *World) replaceBackEnd(number int, zone string) {
	server := platform.ServerID(fmt.Sprintf("%s-new-%02d", w.Options.Deployment.BackEndPool, number))
	w.startBackEnd(server, zone)
	w.BackEndServers = append(w.BackEndServers, server)
}
