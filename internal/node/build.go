package node

import (
	"math/rand/v2"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/machinelist"
	"github.com/hatchplank/hatchplank/internal/membership"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/table"
	"github.com/hatchplank/hatchplank/internal/tablestore"
)

// newRandom returns a random source for one component, seeded from the node's.
func (n *Node) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
}

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
	options.KeepAliveInterval = options.TimeToLive / 3
	options.OutageGrace = 2 * options.TimeToLive
	return membership.NewLeaseDetector(n.config.KeyValues, n.config.Clock, n.newRandom(), options, n.componentLogger("membership"))
}

func (n *Node) heartbeatDetector() membership.Detector {
	options := membership.DefaultHeartbeatOptions(n.config.Settings.Intervals.Heartbeat)
	return membership.NewHeartbeatDetector(n.config.KeyValues, n.config.Transport, n.config.Clock, n.newRandom(), options, n.componentLogger("membership"))
}

// componentLogger returns the node's logger with the name of a component.
func (n *Node) componentLogger(name string) zerolog.Logger {
	return n.config.Logger.With().Str("part", name).Logger()
}

func (n *Node) buildTable() {
	tenants := n.config.Settings.TenantNames()
	options := tablestore.DefaultOptions()
	options.AssumeUnapplied = n.config.Disabled.ReadBack
	options.AcceptOlder = n.config.Disabled.RevisionMonotonicity
	n.Table = tablestore.New(tablestore.Dependencies{
		Members: n.Registry, KeyValues: n.config.KeyValues, Transport: n.config.Transport,
		Clock: n.config.Clock, Random: n.newRandom(), Log: n.componentLogger("table"),
		Validate: func(rows []table.Row) []table.Problem {
			return table.Validate(rows, table.Constraints{Tenants: tenants})
		},
	}, options)
}

func (n *Node) buildClaims() {
	n.Claims = claims.New(claims.Config{
		Clock: n.config.Clock, Random: n.newRandom(), KeyValues: n.config.KeyValues,
		Transport: n.config.Transport, Members: n.Registry, Synchronised: n.Registry.Synchronised,
		Logger: n.componentLogger("claims"),
		Shards: n.config.Settings.Claims.Shards, Retention: n.config.Settings.Claims.Retention,
		Quarantine: n.config.Settings.Claims.Retention,
	})
}

func (n *Node) buildMachines() {
	n.Machines = machinelist.NewFollower(machinelist.Config{
		Clock: n.config.Clock, Service: n.config.Machines, Period: machineListInterval,
		Timeout: n.config.Settings.Platform.Timeout, Logger: n.componentLogger("machines"),
	})
}

func (n *Node) buildManager() error {
	policy, err := newPolicy(n.config.Settings.Policy)
	if err != nil {
		return err
	}
	n.Manager = applier.NewManager(applier.Config{
		Clock: n.config.Clock, Random: n.newRandom(), Table: n.Table, Layout: n.Layout,
		Allot: n.allotter.Allotment, CellOf: n.allotter.ServerCell,
		Engines: n.config.Engines, Machines: n.Machines, Store: n.config.Weights,
		Transport: n.config.Transport, Self: n.Registry, Policy: policy,
		Confirmer:  applier.NewKeyValueConfirmer(n.config.KeyValues, n.config.Settings.Platform.Timeout),
		Statistics: newStatisticsStore(n.config.KeyValues, n.config.Settings.Platform.Timeout),
		Logger:     n.componentLogger("cells"), Mechanisms: n.config.Mechanisms,
		Intervals: applierIntervals(n.config.Settings.Intervals),
	})
	return nil
}

// cellsOf returns the cells that may hold replicas of a base model. Demand for
// the model is reported only to these cells. An unknown model has none.
func (n *Node) cellsOf(model string) []string {
	row, known := n.Table.Row(model)
	if !known {
		return nil
	}
	return n.allotter.CellsOf(row)
}

// missedReportsUntilExpiry is the number of report intervals without a demand
// report after which a gateway's demand is no longer counted.
const missedReportsUntilExpiry = 3

// applierIntervals returns the applier's default intervals, with a demand expiry
// that fits the configured report interval.
func applierIntervals(configured settings.Intervals) applier.Intervals {
	intervals := applier.DefaultIntervals()
	intervals.DemandExpiry = max(intervals.DemandExpiry, missedReportsUntilExpiry*configured.Report)
	return intervals
}

func (n *Node) buildOwners() {
	names := make([]string, 0, len(n.Layout.Cells))
	for _, cell := range n.Layout.Cells {
		names = append(names, cell.Name)
	}
	n.Owners = membership.NewOwnershipManager(n.config.Self, names, n.config.KeyValues, n.config.Clock, n.newRandom(),
		n.Manager, membership.DefaultOwnershipOptions(), n.componentLogger("ownership"))
	n.ownership = &ownershipGate{owners: n.Owners}
}

func (n *Node) buildDirectory() {
	n.Directory = directory.New(directory.Config{
		Clock: n.config.Clock, Transport: n.config.Transport, Ownership: n.Owners,
		Cells: n.cellsOf, Table: n.Table,
		Gateway: n.config.Self.ID(), PeerAddress: n.config.Self.PeerAddress,
		Logger: n.componentLogger("directory"), ReportPeriod: n.config.Settings.Intervals.Report,
	})
	n.Pools = directory.NewBackEnds(directory.DefaultBackEndConcurrency)
}

func (n *Node) buildRouters() {
	gateways := func() int { return max(1, len(n.Registry.Members())) }
	n.Router = router.New(router.Config{
		Clock: n.config.Clock, Random: n.newRandom(), Source: n.Directory,
		Zone: n.config.Self.Zone, Gateways: gateways,
	})
	n.PoolRouter = router.New(router.Config{
		Clock: n.config.Clock, Random: n.newRandom(), Source: n.Pools,
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
		Clock: n.config.Clock, Random: n.newRandom(), Node: n.config.Self.ID(), Table: n.Table,
		Directory: n.Directory, Router: n.Router, Engines: n.config.Engines,
		Pools: n.Pools, PoolRouter: n.PoolRouter, BackEnds: n.config.BackEnds,
		Claims: claimer, Logger: n.componentLogger("gateway"), Metrics: n.config.Metrics,
		IgnoreAttemptIdentity: n.config.Disabled.AttemptIdentity,
		Limits: gateway.Limits{
			QueueLength: limits.QueuePerModel, Waiting: limits.Waiting, WaitingBytes: int64(limits.WaitingBytes),
			Margin:     n.config.Settings.Deadlines.Margin,
			RetryRatio: n.config.Settings.Retry.Ratio, RetryBurst: float64(n.config.Settings.Retry.Burst),
		},
	})
}

// subscribeComponents subscribes the node's components to each other's changes.
func (n *Node) subscribeComponents() {
	n.Registry.Subscribe(n.Owners.SetMembers)
	n.Registry.Subscribe(n.Table.SetMembers)
	n.Machines.Subscribe(n.Directory.ApplyListing)
	n.Machines.Subscribe(n.Pools.ApplyListing)
	n.Directory.SetDemandSource(n.Gateway)
	n.Directory.Subscribe(n.Gateway.EndpointsChanged)
	n.Pools.Subscribe(n.Gateway.PoolChanged)
}
