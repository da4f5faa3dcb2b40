package emulator

import (
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/node"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
)

// SimulatedNode is one hatchplank process, and those that follow it under the
// same name.
type SimulatedNode struct {
	world *World
	Name  string
	Zone  string
	// Node and Process of the present incarnation.
	Node    *node.Node
	Process *simulation.Process

	incarnation int
	stopping    bool
	// down: no process runs under the name.
	down bool
	// driftRate and driftOffset of the next incarnations' clocks.
	driftRate   float64
	driftOffset time.Duration
}

// AddNode starts a new node in a zone.
func (w *World) AddNode(name, zone string) *SimulatedNode {
	w.zones[name] = zone
	n := &SimulatedNode{world: w, Name: name, Zone: zone}
	w.Nodes = append(w.Nodes, n)
	n.Start()
	return n
}

// Start starts a fresh process under the node's name.
func (n *SimulatedNode) Start() {
	w := n.world
	n.incarnation++
	n.down = false
	n.stopping = false
	n.Process = simulation.NewProcess(w.Loop, n.Name)
	n.Process.SetDrift(n.driftRate, n.driftOffset)
	self := membership.Member{
		Name: n.Name, Incarnation: strconv.Itoa(n.incarnation), Zone: n.Zone,
		Region: w.Options.Deployment.Region, PeerAddress: n.Name, CallerAddress: n.Name,
	}
	built, err := node.New(node.Config{
		Self: self, Settings: w.Options.Deployment.Settings, Clock: n.Process, Seed: w.random.Uint64(),
		KeyValues:  keyvalue.NewSimulated(w.Network, w.processes.keyValue, n.Process, w.KeyValue),
		Engines:    newMisrouter(w, w.Fleet.Client(n.Process)),
		BackEnds:   backend.NewSimulated(w.Network, n.Process, w.lookupBackEnd),
		Machines:   machines.NewSimulated(w.Network, n.Process, w.processes.machines, w.Machines),
		Weights:    &weights.Simulated{Network: w.Network, Client: n.Process, Server: w.processes.weights, Store: w.Weights},
		Transport:  w.Peers.Transport(n.Process),
		Logger:     w.Options.Logger.With().Str("node", self.ID()).Logger(),
		Mechanisms: w.Options.Mechanisms, WrapClaims: w.Options.WrapClaims, Disabled: w.Options.Disabled,
	})
	if err != nil {
		panic(err) // the deployment's settings were checked before
	}
	n.Node = built
	built.Start()
}

func (w *World) lookupBackEnd(server outside.ServerID) (backend.Host, bool) {
	host, known := w.BackEnds[server]
	if !known {
		return backend.Host{}, false
	}
	return backend.Host{Server: host.server, Process: host.process}, true
}

// Kill ends the node's process at once.
func (n *SimulatedNode) Kill() {
	if n.down {
		return
	}
	n.down = true
	n.Process.Kill()
	n.world.Checker.NodeStopped(n.identity())
	n.world.calls.nodeDied(n)
}

// Stop begins a planned stop; the process ends when it is drained.
func (n *SimulatedNode) Stop() {
	if n.down || n.stopping {
		return
	}
	n.stopping = true
	n.world.Checker.PlannedStop(n.identity(), n.world.Loop.Now())
	// It turns probes away from now on, so that they show nothing any more.
	n.world.Checker.NodeStopped(n.identity())
	stopping := n.Node
	n.Process.Run(func() {
		stopping.Drain(func() {
			if n.Node == stopping {
				n.exit()
			}
		})
	})
}

func (n *SimulatedNode) exit() { n.Kill() }

// identity tells the incarnations of a node apart.
func (n *SimulatedNode) identity() string { return n.Name + "#" + strconv.Itoa(n.incarnation) }

// Serving reports whether callers would pick the node.
func (n *SimulatedNode) Serving() bool { return !n.down && !n.stopping }

// Ready reports whether the node serves and says that it is ready, as on its
// readiness endpoint.
func (n *SimulatedNode) Ready() bool { return n.Serving() && n.Node.Ready() == "" }

// readyNodes returns the identities of the ready nodes. One that is not ready
// gets no calls and acts on no table yet.
func (w *World) readyNodes() []string {
	var names []string
	for _, n := range w.Nodes {
		if n.Ready() {
			names = append(names, n.identity())
		}
	}
	return names
}

func (w *World) livingNodes() []string {
	var names []string
	for _, n := range w.Nodes {
		if n.Serving() {
			names = append(names, n.identity())
		}
	}
	return names
}
