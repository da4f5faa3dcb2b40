package emulator

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/node"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/backend"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// Options of a World.
type Options struct {
	Deployment Deployment
	Seed       uint64
	Nodes      int
	Mechanisms applier.Mechanisms
	WrapClaims func(claims.Claimer) claims.Claimer
	Disabled   node.Disabled
	Limits     checker.Limits
	Logger     zerolog.Logger
}

// World is one emulated deployment.
type World struct {
	Options Options
	Loop    *simulation.Loop
	Network *simulation.Network
	Peers   *simulation.PeerNetwork
	Record  *record.Log
	Checker *checker.Checker
	// Faults on the ways between nodes and platform, as conditions added to
	// the zones' delays.
	Faults NetworkFaults

	KeyValue *keyvalue.Store
	Weights  *weights.Store
	Machines *machines.List
	Fleet    *engine.Fleet
	BackEnds map[outside.ServerID]*backEndHost

	// Servers in order of name; Nodes in order of name.
	EngineServers, BackEndServers []outside.ServerID
	Nodes                         []*SimulatedNode

	// zones of processes by name.
	zones     map[string]string
	processes platformProcesses
	random    *rand.Rand
	calls     *callBook
	operator  *operator
	// rows durable in the key-value service.
	rows         *table.Snapshot
	recordedUpTo int64
	trace        traceHash
	// watchEdit, if set, is called with each edit of an operator and returns
	// what is called with its outcome.
	watchEdit func(tablestore.Edit) func(tablestore.Outcome)
	// observer sees every event of the stand-ins' record, if set.
	observer func(record.Event)
}

// platformProcesses are the processes of the platform's services.
type platformProcesses struct {
	keyValue, weights, machines, callers *simulation.Process
}

// backEndHost is a back-end server and its process.
type backEndHost struct {
	server  *backend.Server
	process *simulation.Process
}

// NetworkFaults are switched by the fault schedule.
type NetworkFaults struct {
	Loss, Duplication, Late float64
	LateDelay               time.Duration
	// Misrouted is the share of the pieces of answers that reach another
	// request of the same node as well.
	Misrouted float64
	// CutZone is cut off from the other zones; empty: none.
	CutZone string
}

// Names of the platform's processes on the network.
const (
	callersName  = "callers"
	keyValueName = "key-value"
	weightsName  = "weights"
	machinesName = "machines"
)

// recordPeriod is how often the key-value service's records are followed.
const recordPeriod = 20 * time.Millisecond

// NewWorld builds the platform and starts the nodes. Time stands at the epoch.
func NewWorld(options Options) *World {
	loop := simulation.NewLoop(options.Seed)
	network := simulation.NewNetwork(loop)
	w := &World{
		Options: options, Loop: loop, Network: network,
		Peers:    simulation.NewPeerNetwork(network),
		Checker:  checker.New(options.Limits),
		BackEnds: map[outside.ServerID]*backEndHost{},
		zones:    map[string]string{},
		random:   loop.Fork(),
		rows:     table.NewSnapshot(0, nil),
	}
	w.trace.reset()
	w.Record = record.NewStream(w.observe)
	network.ConditionsOf = w.conditions
	network.Cut = w.isCut
	w.calls = newCallBook(w)
	w.operator = newOperator(w)
	w.startPlatform()
	w.startMachines()
	for i := range options.Nodes {
		w.AddNode(fmt.Sprintf("node-%02d", i), options.Deployment.Zones[i%len(options.Deployment.Zones)])
	}
	return w
}

// observe hands a stand-in's event to the checker and into the trace.
func (w *World) observe(event record.Event) {
	w.trace.addEvent(event)
	w.Checker.Observe(event)
	if w.observer != nil {
		w.observer(event)
	}
}

func (w *World) startPlatform() {
	w.processes = platformProcesses{
		keyValue: simulation.NewProcess(w.Loop, keyValueName),
		weights:  simulation.NewProcess(w.Loop, weightsName),
		machines: simulation.NewProcess(w.Loop, machinesName),
		callers:  simulation.NewProcess(w.Loop, callersName),
	}
	w.KeyValue = keyvalue.NewStore(keyvalue.Options{
		Clock: w.processes.keyValue, Random: w.Loop.Fork(), RecordPrefixes: []string{"table/log/"},
	})
	w.Weights = weights.NewStore(w.processes.weights, w.Options.Deployment.Store)
	w.Machines = machines.NewList(w.processes.machines, w.Record, machines.Hooks{Leaving: w.leaving, Gone: w.reclaimed})
	w.Fleet = engine.NewFleet(w.Loop, w.Network)
	w.followRecords()
}

func (w *World) startMachines() {
	deployment := w.Options.Deployment
	for i := range deployment.Engines {
		server := outside.ServerID(fmt.Sprintf("%s-%02d", deployment.EnginePool, i))
		w.startEngine(server, deployment.Zones[i%len(deployment.Zones)])
		w.EngineServers = append(w.EngineServers, server)
	}
	for i := range deployment.BackEnds {
		server := outside.ServerID(fmt.Sprintf("%s-%02d", deployment.BackEndPool, i))
		w.startBackEnd(server, deployment.Zones[i%len(deployment.Zones)])
		w.BackEndServers = append(w.BackEndServers, server)
	}
	w.seedCheckpoints()
}

func (w *World) startEngine(server outside.ServerID, zone string) {
	w.zones[string(server)] = zone
	config := w.Options.Deployment.Engine
	config.Server = server
	config.Remote = w.Weights
	config.Record = w.Record
	w.Fleet.Start(config)
	w.Machines.Add(outside.Machine{
		Server: server, Address: string(server), Pool: w.Options.Deployment.EnginePool,
		Zone: zone, Region: w.Options.Deployment.Region, Phase: outside.MachineLive, Engine: true,
	})
}

func (w *World) startBackEnd(server outside.ServerID, zone string) {
	w.zones[string(server)] = zone
	process := simulation.NewProcess(w.Loop, string(server))
	w.BackEnds[server] = &backEndHost{
		process: process,
		server: backend.NewServer(process, backend.Config{
			Server: server, Concurrency: backend.DefaultConcurrency, QueueLimit: backend.DefaultQueueLimit,
			ServiceTime: backend.DefaultServiceTime, Seed: w.random.Uint64(),
		}, w.Record),
	}
	w.Machines.Add(outside.Machine{
		Server: server, Address: string(server), Pool: w.Options.Deployment.BackEndPool,
		Zone: zone, Region: w.Options.Deployment.Region, Phase: outside.MachineLive,
	})
}

// seedCheckpoints caches some models' checkpoints unevenly over the machines.
func (w *World) seedCheckpoints() {
	for _, row := range w.Options.Deployment.Rows {
		if row.Kind != table.KindModel {
			continue
		}
		draw := w.random.Float64()
		server := w.EngineServers[w.random.IntN(len(w.EngineServers))]
		host := w.Fleet.Host(server)
		switch {
		case draw < w.Options.Deployment.MemoryCheckpoints:
			host.Engine.SeedCheckpoint(row.Name, row.Version, outside.SourceMemory, row.WeightBytes)
		case draw < w.Options.Deployment.MemoryCheckpoints+w.Options.Deployment.DiskCheckpoints:
			host.Engine.SeedCheckpoint(row.Name, row.Version, outside.SourceDisk, row.WeightBytes)
		}
	}
}

// leaving tells an engine that its machine will be reclaimed.
func (w *World) leaving(server outside.ServerID, leavesAt time.Time) {
	if host := w.Fleet.Host(server); host != nil {
		host.Engine.SetLeaving(leavesAt)
	}
	if host, known := w.BackEnds[server]; known {
		host.server.SetLeaving(true)
	}
}

// reclaimed ends the server of a machine that is gone.
func (w *World) reclaimed(server outside.ServerID) {
	if host := w.Fleet.Host(server); host != nil {
		host.Vanish()
		return
	}
	if host, known := w.BackEnds[server]; known {
		host.server.Kill()
		host.process.Kill()
	}
}

func (w *World) zoneOf(process string) string { return w.zones[process] }

// conditions of a way: the zones' distance, and faults between machines.
func (w *World) conditions(from, to string) simulation.Conditions {
	if from == callersName || to == callersName {
		return simulation.Conditions{Delay: w.Options.Deployment.ClientDelay}
	}
	delay := w.Options.Deployment.ZoneDelay
	if zone := w.zoneOf(from); zone != "" && zone == w.zoneOf(to) {
		delay = localDelay
	}
	return simulation.Conditions{
		Delay: delay, Jitter: delay / 4,
		Loss: w.Faults.Loss, Duplication: w.Faults.Duplication,
		Late: w.Faults.Late, LateDelay: w.Faults.LateDelay,
	}
}

// isCut reports whether a partition between zones cuts a way. Callers and the
// platform's own services stay reachable.
func (w *World) isCut(from, to string) bool {
	if w.Faults.CutZone == "" {
		return false
	}
	fromZone, toZone := w.zoneOf(from), w.zoneOf(to)
	if fromZone == "" || toZone == "" || fromZone == toZone {
		return false
	}
	return fromZone == w.Faults.CutZone || toZone == w.Faults.CutZone
}

// followRecords tells the checker what became durable of the table.
func (w *World) followRecords() {
	for _, committed := range w.KeyValue.Records(w.recordedUpTo) {
		w.recordedUpTo = committed.Revision
		for _, event := range committed.Events {
			if !event.Deleted {
				w.follow(event.KeyValue, committed.Time)
			}
		}
	}
	w.Loop.AfterFunc(recordPeriod, w.followRecords)
}

func (w *World) follow(pair outside.KeyValue, at time.Time) {
	entry, isLog := tablestore.DecodeLogEntry(pair.Key, pair.Value)
	if !isLog {
		return
	}
	next, err := w.rows.Apply(entry.Delta)
	if err != nil {
		w.Checker.TableLogInvalid(err)
		return
	}
	w.rows = next
	w.trace.addText(entry.Token)
	w.Checker.Durable(entry.Revision, entry.Token)
	w.Checker.TableAccepted(next.Rows(), at)
	for _, row := range entry.Delta.Changed {
		if strings.HasPrefix(row.Name, probePrefix) {
			w.Checker.ChangeDurable(row.Name, entry.Token, at, w.readyNodes())
			w.probe(row.Name)
		}
	}
}
