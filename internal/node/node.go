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
	"github.com/hatchplank/hatchplank/internal/peer"
	"github.com/hatchplank/hatchplank/internal/platform"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/table"
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
	KeyValues platform.KeyValueService
	Engines   platform.EngineService
	BackEnds  platform.BackEndService
	Machines  platform.MachineListService
	Weights   platform.WeightStoreService
	Transport peer.Transport
	Logger    zerolog.Logger
	// Metrics of the gateway; may be nil.
	Metrics gateway.Metrics
	// Failed is told of a fault for which the process must end; may be nil.
	Failed func(error)
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
	Owners     *membership.Owners
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
	allotter *cells.Allotter
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
	n.allotter = cells.NewAllotter(n.Layout)
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

// fork returns a source of randomness for one part.
func (n *Node) fork() *rand.Rand { return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64())) }

func (n *Node) buildMembership() {
	detector := n.leaseDetector
	if n.config.Settings.Cluster.Membership == settings.MembershipHeartbeat {
		detector = n.heartbeatDetector
	}
	n.Registry = membership.NewRegistry(n.config.Self, detector())
}

func (n *Node) leaseDetector() membership.Detector {
	options := membership.DefaultLeaseOptions()
	options.TimeToLive = n.config.Settings.Intervals.LeaseTTL
	options.KeepAliveEvery = options.TimeToLive / 3
	options.OutageGrace = 2 * options.TimeToLive
	return membership.NewLeaseDetector(n.config.KeyValues, n.config.Clock, n.fork(), options, n.part("membership"))
}

func (n *Node) heartbeatDetector() membership.Detector {
	options := membership.DefaultHeartbeatOptions(n.config.Settings.Intervals.Heartbeat)
	return membership.NewHeartbeatDetector(n.config.KeyValues, n.config.Transport, n.config.Clock, n.fork(), options, n.part("membership"))
}

func (n *Node) part(name string) zerolog.Logger {
	return n.config.Logger.With().Str("part", name).Logger()
}

func (n *Node) buildTable() {
	tenants := n.config.Settings.TenantNames()
	options := tablestore.DefaultOptions()
	options.AssumeUnapplied = n.config.Disabled.ReadBack
	options.AcceptOlder = n.config.Disabled.RevisionMonotonicity
	n.Table = tablestore.New(tablestore.Dependencies{
		Members: n.Registry, KeyValues: n.config.KeyValues, Transport: n.config.Transport,
		Clock: n.config.Clock, Random: n.fork(), Log: n.part("table"),
		Validate: func(rows []table.Row) []table.Problem {
			return table.Validate(rows, table.Constraints{Tenants: tenants})
		},
	}, options)
}

func (n *Node) buildClaims() {
	n.Claims = claims.New(claims.Config{
		Clock: n.config.Clock, Random: n.fork(), KeyValues: n.config.KeyValues,
		Transport: n.config.Transport, Members: n.Registry, Synchronised: n.Registry.Synchronised,
		Logger: n.part("claims"),
		Shards: n.config.Settings.Claims.Shards, Retention: n.config.Settings.Claims.Retention,
		Quarantine: n.config.Settings.Claims.Retention,
	})
}

func (n *Node) buildMachines() {
	n.Machines = machinelist.NewFollower(machinelist.Config{
		Clock: n.config.Clock, Service: n.config.Machines, Period: machineListPeriod,
		Timeout: n.config.Settings.Platform.Timeout, Logger: n.part("machines"),
	})
}

func (n *Node) buildManager() error {
	policy, err := policyOf(n.config.Settings.Policy)
	if err != nil {
		return err
	}
	n.Manager = applier.NewManager(applier.Config{
		Clock: n.config.Clock, Random: n.fork(), Table: n.Table, Layout: n.Layout,
		Allot: n.allotter.Allotment, CellOf: n.allotter.ServerCell,
		Engines: n.config.Engines, Machines: n.Machines, Store: n.config.Weights,
		Transport: n.config.Transport, Self: n.Registry, Policy: policy,
		Confirmer:  applier.NewKeyValueConfirmer(n.config.KeyValues, n.config.Settings.Platform.Timeout),
		Statistics: newStatisticsStore(n.config.KeyValues, n.config.Settings.Platform.Timeout),
		Logger:     n.part("cells"), Mechanisms: n.config.Mechanisms,
		Intervals: applierIntervals(n.config.Settings.Intervals),
	})
	return nil
}

// cellsOf returns the cells that may hold replicas of a base model: demand for
// it goes to no other. An unknown model has none.
func (n *Node) cellsOf(model string) []string {
	row, known := n.Table.Row(model)
	if !known {
		return nil
	}
	return n.allotter.CellsOf(row)
}

// reportsUntilExpiry is how many demand reports may be lost before a gateway's
// demand no longer counts.
const reportsUntilExpiry = 3

func applierIntervals(chosen settings.Intervals) applier.Intervals {
	intervals := applier.DefaultIntervals()
	intervals.DemandExpiry = max(intervals.DemandExpiry, reportsUntilExpiry*chosen.Report)
	return intervals
}

func (n *Node) buildOwners() {
	names := make([]string, 0, len(n.Layout.Cells))
	for _, cell := range n.Layout.Cells {
		names = append(names, cell.Name)
	}
	n.Owners = membership.NewOwners(n.config.Self, names, n.config.KeyValues, n.config.Clock, n.fork(),
		n.Manager, membership.DefaultOwnerOptions(), n.part("ownership"))
	n.layoutConfirmed = &confirmedOwners{owners: n.Owners}
}

func (n *Node) buildDirectory() {
	n.Directory = directory.New(directory.Config{
		Clock: n.config.Clock, Transport: n.config.Transport, Ownership: n.Owners,
		Cells: n.cellsOf, Table: n.Table,
		Gateway: n.config.Self.ID(), PeerAddress: n.config.Self.PeerAddress,
		Logger: n.part("directory"), ReportPeriod: n.config.Settings.Intervals.Report,
	})
	n.Pools = directory.NewBackEnds(directory.DefaultBackEndConcurrency)
}

func (n *Node) buildRouters() {
	gateways := func() int { return max(1, len(n.Registry.Members())) }
	n.Router = router.New(router.Config{
		Clock: n.config.Clock, Random: n.fork(), Source: n.Directory,
		Zone: n.config.Self.Zone, Gateways: gateways,
	})
	n.PoolRouter = router.New(router.Config{
		Clock: n.config.Clock, Random: n.fork(), Source: n.Pools,
		Zone: n.config.Self.Zone, Gateways: gateways,
	})
}

func (n *Node) buildGateway() {
	claimer := claims.Claimer(n.Claims)
	if n.config.WrapClaims != nil {
		claimer = n.config.WrapClaims(claimer)
	}
	limits := n.config.Settings.Limits
	n.Gateway = gateway.New(gateway.Config{
		Clock: n.config.Clock, Random: n.fork(), Node: n.config.Self.ID(), Table: n.Table,
		Directory: n.Directory, Router: n.Router, Engines: n.config.Engines,
		Pools: n.Pools, PoolRouter: n.PoolRouter, BackEnds: n.config.BackEnds,
		Claims: claimer, Logger: n.part("gateway"), Metrics: n.config.Metrics,
		IgnoreAttemptIdentity: n.config.Disabled.AttemptIdentity,
		Limits: gateway.Limits{
			QueueLength: limits.QueuePerModel, Waiting: limits.Waiting, WaitingBytes: int64(limits.WaitingBytes),
			Margin:     n.config.Settings.Deadlines.Margin,
			RetryRatio: n.config.Settings.Retry.Ratio, RetryBurst: float64(n.config.Settings.Retry.Burst),
		},
	})
}

// connect subscribes the parts to each other's changes.
func (n *Node) connect() {
	n.Registry.Subscribe(n.Owners.SetMembers)
	n.Registry.Subscribe(n.Table.SetMembers)
	n.Machines.Subscribe(n.Directory.ApplyListing)
	n.Machines.Subscribe(n.Pools.ApplyListing)
	n.Directory.SetDemandSource(n.Gateway)
	n.Directory.Subscribe(n.Gateway.EndpointsChanged)
	n.Pools.Subscribe(n.Gateway.PoolChanged)
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
