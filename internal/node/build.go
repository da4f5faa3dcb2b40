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
	options.KeepAliveInterval = options.TimeToLive / 3
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
	n.Owners = membership.NewOwnershipManager(n.config.Self, names, n.config.KeyValues, n.config.Clock, n.fork(),
		n.Manager, membership.DefaultOwnershipOptions(), n.part("ownership"))
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
