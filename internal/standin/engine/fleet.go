package engine

import (
	"time"

	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// DefaultResetDelay is how long after a process died its connections are reset
// by its machine.
const DefaultResetDelay = 20 * time.Millisecond

// Fleet is the set of engines of one simulation, each in a process of its own.
type Fleet struct {
	loop    *simulation.Loop
	network *simulation.Network
	hosts   map[outside.ServerID]*Host
	// ResetDelay of connections after a death.
	ResetDelay time.Duration
}

// NewFleet returns an empty fleet.
func NewFleet(loop *simulation.Loop, network *simulation.Network) *Fleet {
	return &Fleet{loop: loop, network: network, hosts: map[outside.ServerID]*Host{}, ResetDelay: DefaultResetDelay}
}

// Host is a machine with one engine's process. The name of its processes on
// the network is the server's.
type Host struct {
	fleet  *Fleet
	Engine *Engine
	// Process of the engine; another after each Restart. It may be paused.
	Process *simulation.Process
	// stack is the machine's operating system: it accepts connections for a
	// paused process and refuses them for a dead one.
	stack *simulation.Process
	// gone: the machine itself vanished and answers nothing.
	gone bool
	// connections in order of arrival, to be reset when the process dies.
	connections []*connection
}

// Start adds a machine with a running engine.
func (f *Fleet) Start(config Config) *Host {
	name := string(config.Server)
	host := &Host{
		fleet:   f,
		Process: simulation.NewProcess(f.loop, name),
		stack:   simulation.NewProcess(f.loop, name),
	}
	if config.Remote != nil {
		config.Remote = processFetcher{host: host, fetcher: config.Remote}
	}
	host.Engine = New(host.Process, f.loop.Fork(), config)
	f.hosts[config.Server] = host
	return host
}

// Host returns the machine of a server, or nil.
func (f *Fleet) Host(server outside.ServerID) *Host { return f.hosts[server] }

// Kill ends the engine's process. The machine resets its connections after
// Fleet.ResetDelay and refuses new ones.
func (h *Host) Kill() {
	if h.Process.Killed() {
		return
	}
	h.Engine.Kill()
	h.Process.Kill()
	open := h.connections
	h.connections = nil
	h.stack.AfterFunc(h.fleet.ResetDelay, func() {
		for _, connection := range open {
			connection.reset()
		}
	})
}

// Vanish ends the machine: from now on nothing answers, resets or refuses.
func (h *Host) Vanish() {
	h.gone = true
	h.Engine.Kill()
	h.Process.Kill()
	h.stack.Kill()
	h.connections = nil
}

// Restart starts the engine's process again, killing it if it still runs.
func (h *Host) Restart(keepDisk bool) {
	h.Kill()
	if h.gone {
		h.gone = false
		h.stack = simulation.NewProcess(h.fleet.loop, h.stack.Name)
	}
	h.Process = simulation.NewProcess(h.fleet.loop, h.stack.Name)
	h.Engine.Restart(RestartOptions{Clock: h.Process, KeepDisk: keepDisk})
}

// processFetcher tells of the end of a fetch inside the engine's process, so
// that a paused one learns of it later.
type processFetcher struct {
	host    *Host
	fetcher weights.Fetcher
}

// Fetch implements weights.Fetcher.
func (p processFetcher) Fetch(bytes int64, done func(error)) weights.Transfer {
	process := p.host.Process
	return p.fetcher.Fetch(bytes, func(err error) {
		process.Run(func() { done(err) })
	})
}
