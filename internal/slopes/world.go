package slopes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
	"github.com/hatchplank/hatchplank/internal/standin/machines"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Names of the platform's processes, which belong to no zone.
const (
	keyValueName = "key-value"
	machinesName = "machines"
	weightsName  = "weights"
)

// One-way delays of the network.
const (
	delayInZone       = 200 * time.Microsecond
	delayInRegion     = 1500 * time.Microsecond
	delayOfRegions    = 15 * time.Millisecond
	delayOfPlatform   = 2 * time.Millisecond
	initialTimeToLive = 30 * time.Second
)

// enginePool is the only pool of the hollow servers.
const enginePool = "engines"

// zone is where a process runs.
type zone struct {
	name, region string
}

// World is a hollow deployment in virtual time.
type World struct {
	Size    Size
	Loop    *simulation.Loop
	Network *simulation.Network
	Meter   *Meter
	// KeyValue and Machines may be given faults.
	KeyValue *keyvalue.Store
	Machines *machines.List
	Nodes    []*HollowNode
	// Distribution follows the table's revisions.
	Distribution *Distribution
	// Loss of messages between nodes.
	Loss float64
	// CutRegions are separated from each other and from the platform's
	// services, which are in the region of zone 0.
	CutRegion string

	peers    *simulation.PeerNetwork
	fleet    *engine.Fleet
	weights  *weights.Store
	settings settings.Settings
	zones    []zone
	zoneOf   map[string]zone
	rows     []table.Row
	random   *rand.Rand
	// processes of the platform's services.
	keyValueProcess, machinesProcess, weightsProcess *simulation.Process
	replaced                                         int
	requests                                         requestCounts
}

// NewWorld builds the platform and starts the nodes, which find each other
// registered and the table empty.
func NewWorld(size Size, seed uint64) *World {
	loop := simulation.NewLoop(seed)
	w := &World{
		Size: size, Loop: loop, Network: simulation.NewNetwork(loop), Meter: NewMeter(),
		zoneOf: map[string]zone{}, random: loop.Fork(),
		Distribution: NewDistribution(size.Nodes),
	}
	w.Network.ConditionsOf = w.conditions
	w.Network.Cut = w.isCut
	w.peers = simulation.NewPeerNetwork(w.Network)
	w.buildZones()
	w.settings = settingsOf(size, w.zones)
	w.rows = rowsOf(size)
	w.startPlatform()
	w.startServers()
	w.startNodes()
	return w
}

func (w *World) buildZones() {
	for i := range w.Size.Zones {
		w.zones = append(w.zones, zone{name: fmt.Sprintf("zone-%02d", i), region: fmt.Sprintf("region-%d", i%w.Size.Regions)})
	}
}

func (w *World) startPlatform() {
	w.keyValueProcess = simulation.NewProcess(w.Loop, keyValueName)
	w.machinesProcess = simulation.NewProcess(w.Loop, machinesName)
	w.weightsProcess = simulation.NewProcess(w.Loop, weightsName)
	w.KeyValue = keyvalue.NewStore(keyvalue.Options{Clock: w.keyValueProcess, Random: w.Loop.Fork()})
	w.Machines = machines.NewList(w.machinesProcess, nil, machines.Hooks{})
	w.weights = weights.NewStore(w.weightsProcess, weights.Config{
		LoadsPerSecond: float64(w.Size.Servers), FullSpeedLoads: w.Size.Servers,
	})
	w.fleet = engine.NewFleet(w.Loop, w.Network)
}

func (w *World) startServers() {
	for i := range w.Size.Servers {
		w.startServer(fmt.Sprintf("server-%05d", i), w.zones[i%len(w.zones)])
	}
}

func (w *World) startServer(name string, at zone) {
	w.zoneOf[name] = at
	w.fleet.Start(engine.Config{
		Server: outside.ServerID(name), Accelerators: acceleratorsPerServer, MemoryBytes: memoryPerServer,
		Remote: w.weights, TokensPerChunk: tokensPerChunk,
	})
	w.Machines.Add(outside.Machine{
		Server: outside.ServerID(name), Address: "10.200.100.100:8000", Pool: enginePool,
		Zone: at.name, Region: at.region, Phase: outside.MachineLive, Engine: true,
	})
}

// startNodes starts the nodes with all of them registered, as if the
// deployment had been running; the joining of so many at once is no steady
// state.
func (w *World) startNodes() {
	for i := range w.Size.Nodes {
		at := w.zones[i%len(w.zones)]
		node := &HollowNode{world: w, index: i, name: fmt.Sprintf("node-%04d", i), zone: at}
		w.zoneOf[node.name] = at
		w.Nodes = append(w.Nodes, node)
		w.register(node.member(1))
	}
	for _, node := range w.Nodes {
		node.start()
	}
}

// register writes a member's record as an earlier lease would have left it.
func (w *World) register(member membership.Member) {
	lease, err := w.KeyValue.GrantLease(initialTimeToLive)
	if err != nil {
		panic(err)
	}
	value, err := json.Marshal(member)
	if err != nil {
		panic(err)
	}
	_, err = w.KeyValue.Transact(outside.Transaction{Operations: []outside.Operation{{
		Key: membership.MemberPrefix + member.Name, Value: value, Lease: lease,
	}}})
	if err != nil {
		panic(err)
	}
}

// conditions of the way between two processes.
func (w *World) conditions(from, to string) simulation.Conditions {
	fromZone, fromKnown := w.zoneOf[from]
	toZone, toKnown := w.zoneOf[to]
	conditions := simulation.Conditions{Loss: w.Loss}
	switch {
	case !fromKnown || !toKnown:
		return simulation.Conditions{Delay: delayOfPlatform, Jitter: delayOfPlatform / 4}
	case fromZone == toZone:
		conditions.Delay = delayInZone
	case fromZone.region == toZone.region:
		conditions.Delay = delayInRegion
	default:
		conditions.Delay = delayOfRegions
	}
	conditions.Jitter = conditions.Delay / 4
	return conditions
}

func (w *World) isCut(from, to string) bool {
	if w.CutRegion == "" {
		return false
	}
	return (w.zoneOf[from].region == w.CutRegion) != (w.zoneOf[to].region == w.CutRegion)
}

// logger of the hollow nodes: writing logs is not part of what is measured.
func logger() zerolog.Logger { return zerolog.Nop() }
