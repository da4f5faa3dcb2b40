// Package node assembles one hatchplank node from its parts. The same assembly
// runs in the serve command and in the emulator; they differ in the clock, the
// transport and the platform bindings handed in.
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

// machineListPeriod is how often a node reads the machine list.
const machineListPeriod = time.Second

// gatewayTick is the period of Gateway.Tick.
const gatewayTick = time.Second

// Config is what a node needs from outside.
type Config struct {
	Self     membership.Member
	Settings settings.Settings
	Clock    clock.Clock
	// Seed of all the node's randomness.
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
	// OnFatalError is told of a fault for which the process must end; may be nil.
	OnFatalError func(error)
	// Mechanisms of the cells' owners that are switched on.
	Mechanisms applier.Mechanisms
	// WrapClaims, if set, replaces the claimer; only for the checker's own
	// tests.
	WrapClaims func(claims.Claimer) claims.Claimer
	// Disabled safety mechanisms; only for the checker's own tests.
	Disabled Disabled
}

// Disabled names safety mechanisms outside the cells' owners that are switched
// off, to see that the checker notices.
type Disabled struct {
	// AttemptIdentity: answers count only for the attempt they name.
	AttemptIdentity bool
	// ReadBack: a table write whose reply was lost is read back.
	ReadBack bool
	// RevisionMonotonicity: a node never acts on an older table.
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

	// allotter answers for Layout.
	allotter *cells.CachedLayout
	random   *rand.Rand
	stops    []func()
	drain    drainState
	// layoutConfirmed runs Owners from when the division into cells is known
	// to be the one in force.
	layoutConfirmed *confirmedOwners
	stopped         atomic.Bool
}

// New assembles a node; Start makes it work.
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
	n.connect()
	return n, nil
}

// Start begins the node's work.
func (n *Node) Start() {
	n.Registry.Start()
	n.confirmLayout(n.layoutConfirmed.start)
	n.Table.Start()
	n.Claims.Start()
	n.Machines.Start()
	n.every(n.config.Settings.Intervals.Tick, func(now time.Time) { n.Manager.Tick(now) })
	n.every(directory.DefaultRepeatPeriod, func(now time.Time) { n.Directory.Tick(now) })
	n.every(gatewayTick, func(now time.Time) { n.Gateway.Tick(now) })
}

func (n *Node) every(period time.Duration, tick func(now time.Time)) {
	stop := clock.Repeat(n.config.Clock, period, func() { tick(n.config.Clock.Now()) })
	n.stops = append(n.stops, stop)
}

// Stop ends all work at once, without handing anything over.
func (n *Node) Stop() {
	for _, stop := range n.stops {
		stop()
	}
	n.Machines.Stop()
	n.Claims.Stop()
	n.Table.Stop()
	n.stopped.Store(true)
	n.layoutConfirmed.stop()
}

// Ready returns why the node can't serve yet, or "".
func (n *Node) Ready() string {
	_, listedAt := n.Machines.Listing()
	switch {
	case n.Draining():
		return "draining"
	case !n.Table.Loaded():
		return "the table has not been read"
	case !n.layoutConfirmed.isRunning():
		return "the cells have not been compared with those in force"
	case listedAt.IsZero():
		return "the machine list has not been read"
	}
	return ""
}
