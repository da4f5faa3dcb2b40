package emulator

import (
	"fmt"
	"slices"

	"github.com/hatchplank/hatchplank/internal/outside"
)

// removeEngine takes a server from those that faults may pick.
func (w *World) removeEngine(server outside.ServerID) {
	w.EngineServers = slices.DeleteFunc(w.EngineServers, func(s outside.ServerID) bool { return s == server })
}

// replaceEngine brings a new machine in place of one that was reclaimed.
func (w *World) replaceEngine(number int, zone string) {
	server := outside.ServerID(fmt.Sprintf("%s-new-%02d", w.Options.Deployment.EnginePool, number))
	if w.Fleet.Host(server) != nil {
		return
	}
	w.startEngine(server, zone)
	w.EngineServers = append(w.EngineServers, server)
}

// removeBackEnd takes a server from those that faults may pick.
func (w *World) removeBackEnd(server outside.ServerID) {
	w.BackEndServers = slices.DeleteFunc(w.BackEndServers, func(s outside.ServerID) bool { return s == server })
}

// replaceBackEnd brings a new machine in place of one that was reclaimed.
func (w *World) replaceBackEnd(number int, zone string) {
	server := outside.ServerID(fmt.Sprintf("%s-new-%02d", w.Options.Deployment.BackEndPool, number))
	w.startBackEnd(server, zone)
	w.BackEndServers = append(w.BackEndServers, server)
}
