package slopes

import (
	"strconv"
	"time"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/node"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
	"github.com/hatchplank/hatchplank/internal/table"
)

// restartPause is the time from a process's end to the next one's start.
const restartPause = 2 * time.Second

// HollowNode is one node of a World, over restarts.
type HollowNode struct {
	world *World
	index int
	name  string
	zone  zone

	// Node and Process of the present incarnation.
	Node        *node.Node
	Process     *simulation.Process
	incarnation int
	restarting  bool
}

func (n *HollowNode) member(incarnation int) membership.Member {
	return membership.Member{
		Name: n.name, Incarnation: strconv.Itoa(incarnation), Zone: n.zone.name, Region: n.zone.region,
		PeerAddress: n.name, CallerAddress: n.name,
	}
}

func (n *HollowNode) start() {
	w := n.world
	n.incarnation++
	n.restarting = false
	w.Distribution.Back(n.index)
	n.Process = simulation.NewProcess(w.Loop, n.name)
	process := n.Process
	built, err := node.New(node.Config{
		Self: n.member(n.incarnation), Settings: w.settings, Clock: process, Seed: w.random.Uint64(),
		KeyValues: &meteredKeyValues{
			KeyValueService: keyvalue.NewSimulated(w.Network, w.keyValueProcess, process, w.KeyValue), meter: w.Meter,
		},
		Engines: &meteredEngines{EngineService: w.fleet.Client(process), meter: w.Meter},
		BackEnds: backend.NewSimulated(w.Network, process, func(outside.ServerID) (backend.Host, bool) {
			return backend.Host{}, false
		}),
		Machines: &meteredMachines{
			service: machines.NewSimulated(w.Network, process, w.machinesProcess, w.Machines), meter: w.Meter,
		},
		Weights: &meteredWeights{
			service: &weights.Simulated{Network: w.Network, Client: process, Server: w.weightsProcess, Store: w.weights},
			meter:   w.Meter,
		},
		Transport:  &meteredTransport{Transport: w.peers.Transport(process), meter: w.Meter},
		Logger:     logger(),
		Mechanisms: applier.AllMechanisms(),
	})
	if err != nil {
		panic(err) // the settings are this package's own
	}
	n.Node = built
	built.Table.Subscribe(func(snapshot *table.Snapshot) {
		w.Distribution.InForce(n.index, snapshot.Revision(), w.Loop.Now())
	})
	built.Start()
}

// Kill ends the process; a new one starts after a pause.
func (n *HollowNode) Kill() {
	n.restarting = true
	n.Process.Kill()
	n.world.Distribution.Gone(n.index, n.world.Loop.Now())
	n.world.Loop.AfterFunc(restartPause, n.start)
}

// Restart drains the node and then replaces its process.
func (n *HollowNode) Restart() {
	if n.restarting {
		return
	}
	n.restarting = true
	stopping := n.Node
	n.Process.Run(func() {
		stopping.Drain(func() {
			if n.Node == stopping {
				n.Kill()
			}
		})
	})
}
