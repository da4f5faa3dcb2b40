// Package node assembles one hatchplank node from its components. The serve
// command and the emulator run the same assembly with different clocks,
// transports and platform bindings.
package node

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/cells"
	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/machinelist"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// machineListInterval is how often a node reads the machine list.
const machineListInterval = time.Second

// gatewayTickInterval is the period of Gateway.Tick.
const gatewayTickInterval = time.Second

// Config configures a node and holds its external dependencies.
type Config struct {
	Self     membership.Member
	Settings settings.Settings
	Clock    clock.Clock
	// Seed of the node's random source.
	Seed      uint64
	KeyValues outside.KeyValueService
	Engines   outside.EngineService
	BackEnds  outside.BackEndService
	Machines  outside.MachineListService
	Weights   outside.WeightStoreService
	Transport peer.Transport
	Logger    zerolog.Logger
	// Metrics of the gateway; may be nil.
	Metrics gateway.Metrics
	// OnFatalError is called with an error after which the process must exit;
	// may be nil.
	OnFatalError func(error)
	// Mechanisms of cell owners that are enabled.
	Mechanisms applier.Mechanisms
	// WrapClaims, if set, wraps the claimer; only for the checker's own tests.
	WrapClaims func(claims.Claimer) claims.Claimer
	// Disabled safety mechanisms; only for the checker's own tests.
	Disabled Disabled
}

// Disabled selects safety mechanisms outside the cell owners that are disabled,
// to test that the checker detects it.
type Disabled struct {
	// AttemptIdentity: a reply is accepted only for the attempt that it names.
	AttemptIdentity bool
	// ReadBack: after a table write whose reply was lost, the table is read back.
	ReadBack bool
	// RevisionMonotonicity: a node never replaces its table by an older revision.
	RevisionMonotonicity bool
}

// Node is a running node.
type Node struct {
	config Config

	Registry   *membership.Registry
	Owners     *membership.OwnershipManager
	Table      *tablestore.Store
	Claims     *claims.ClaimSet
	Machines   *machinelist.Follower
	Directory  *directory.Directory
	Pools      *directory.BackEnds
	Router     *router.Router
	PoolRouter *router.Router
	Gateway    *gateway.Gateway
	Manager    *applier.Manager
	Layout     cells.Layout

	// allotter caches the allotments of Layout.
	allotter   *cells.CachedLayout
	random     *rand.Rand
	stopTimers []func()
	drain      drainState
	// ownership starts Owners once the layout is confirmed to be the one in
	// force.
	ownership *ownershipGate
	stopped   atomic.Bool
}

// New assembles a node; Start starts it.
func New(config Config) (*Node, error) {
	n := &Node{
		config: config,
		Layout: config.Settings.Layout(),
		random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x5851f42d4c957f2d)),
	}
	n.allotter = cells.NewCachedLayout(n.Layout)
	n.buildMembership()
	n.buildTable()
	n.buildClaims()
	n.buildMachines()
	if err := n.buildManager(); err != nil {
		return nil, err
	}
	n.buildOwners()
	n.buildDirectory()
	n.buildRouters()
	n.buildGateway()
	n.subscribeComponents()
	return n, nil
}

// Start starts all components and their periodic work.
func (n *Node) Start() {
	n.Registry.Start()
	n.confirmLayout(n.ownership.start)
	n.Table.Start()
	n.Claims.Start()
	n.Machines.Start()
	n.repeat(n.config.Settings.Intervals.Tick, func(now time.Time) { n.Manager.Tick(now) })
	n.repeat(directory.DefaultRepeatPeriod, func(now time.Time) { n.Directory.Tick(now) })
	n.repeat(gatewayTickInterval, func(now time.Time) { n.Gateway.Tick(now) })
}

// repeat calls tick every period until Stop.
func (n *Node) repeat(period time.Duration, tick func(now time.Time)) {
	stop := clock.Repeat(n.config.Clock, period, func() { tick(n.config.Clock.Now()) })
	n.stopTimers = append(n.stopTimers, stop)
}

// Stop stops all components at once, without a handover.
func (n *Node) Stop() {
	for _, stop := range n.stopTimers {
		stop()
	}
	n.Machines.Stop()
	n.Claims.Stop()
	n.Table.Stop()
	n.stopped.Store(true)
	n.ownership.stop()
}

// Ready returns the reason why the node can't serve requests, or "" if it can.
func (n *Node) Ready() string {
	_, listedAt := n.Machines.Listing()
	switch {
	case n.Draining():
		return "draining"
	case !n.Table.Loaded():
		return "the table has not been read"
	case !n.ownership.isRunning():
		return "the cells have not been compared with those in force"
	case listedAt.IsZero():
		return "the machine list has not been read"
	}
	return ""
}
