package main

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/mirror"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/orders"
	"github.com/hatchplank/hatchplank/internal/peer/tcp"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/quota"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
	"github.com/hatchplank/hatchplank/internal/tenants"
	"github.com/hatchplank/hatchplank/platform"
)

const (
	// ownPrefix of the product's keys in the store.
	ownPrefix = "hatchplank/"
	// countersKey names the nodes that count limits.
	countersKey = ownPrefix + "quota-counters"
	// firstEraKey keeps the store's era in which the system first used it.
	firstEraKey = ownPrefix + "first-era"
	// copyKey tells of the copy of all servers' records.
	copyKey = ownPrefix + "records"
	// poisonPrefix begins the keys of requests that are refused.
	poisonPrefix = ownPrefix + "poison/"
	// endsPrefix begins the keys of servers that ended under requests, one for each node.
	endsPrefix = ownPrefix + "server-ends/"
	// garbageShare of the heap that may be garbage, in percent: memory is dearer
	// than processor time.
	garbageShare = 40
	// memoryShare of the limit is where the collector begins to work harder, and
	// bodyShare what bodies of requests may take.
	memoryShare, bodyShare = 0.7, 0.25
	// assumedMemoryMB where the settings give no limit.
	assumedMemoryMB = 256
	megabyte        = 1 << 20
	// assumedNodes share the retry budget and the store's rates until their number
	// is known.
	assumedNodes = 12
	// tidyPeriod between removals of what is not needed any more.
	tidyPeriod = time.Second
	// leaseTime after which an order holder that is not heard is replaced.
	leaseTime = 2 * time.Second
	// peerBackoff is the longest pause between connections to another node.
	peerBackoff = 200 * time.Millisecond
	// peerQueue is how many messages may wait for another node: a node has one
	// report under way, and updates that are lost are told again with the next.
	peerQueue = 32
)

// Connections to servers and to the store.
var (
	toServers = exchange.DialSettings{Timeout: 300 * time.Millisecond, AckTimeout: time.Second}
	toStore   = exchange.DialSettings{Timeout: time.Second, AckTimeout: 2 * time.Second}
)

// node is the product's parts, bound to the platform.
type node struct {
	settings  edge.Settings
	logger    zerolog.Logger
	view      *fleet.View
	servers   *exchange.Client
	store     *platform.Store
	calls     *quota.Share
	mirror    *mirror.Mirror
	transport *tcp.Transport
	election  *orders.Election
	holder    *orders.Holder
	link      *orders.Link
	limiter   *ratelimit.Limiter
	limits    *serverlimit.Limits
	quota     *tenants.Quota
	counters  *orders.CountersStore
	poison    *poison.Guard
	notices   *notice.Registry
	forwarder *forward.Forwarder
	metrics   *edge.Metrics
	requests  *edge.RequestLog
	process   *edge.Process
}

// assemble binds the product's parts to the platform.
func assemble(settings edge.Settings, logger zerolog.Logger) (*edge.Process, error) {
	debug.SetGCPercent(garbageShare)
	if limit := settings.Memory.LimitMB; limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit) * megabyte))
	}
	n := &node{
		settings: settings, logger: logger, view: fleet.NewView(), servers: exchange.NewClient(toServers),
		store:   platform.NewStore(settings.Store.Address, exchange.NewClient(toStore), settings.Store.Contact, logger),
		process: edge.NewProcess(settings, logger),
	}
	n.servers.SetMaxIdle(settings.Machine.IdleConnections())
	transport, err := tcp.New(tcp.Config{
		Address: settings.Listen.Peers, AdvertisedAddress: settings.Listen.PeersAdvertised, Secret: []byte(settings.Cluster.Secret), Logger: logger, MaxBackoff: peerBackoff,
		QueueLength: peerQueue, MaxPendingCalls: peerQueue,
	})
	if err != nil {
		return nil, eris.Wrap(err, "listen for other nodes")
	}
	n.transport = transport
	n.metrics = edge.NewMetrics(n.gauges())
	n.requests = edge.NewRequestLog(logger, n.metrics)
	n.notices = notice.NewRegistry(notice.Config{View: n.view, OnNotice: n.metrics.Notice, OnDisregarded: n.metrics.Despite, OnLimitedSend: n.metrics.ToLimited, Logger: logger})
	n.store.OnCall = n.metrics.StoreCall
	n.store.FirstEraKey = firstEraKey
	n.calls = quota.NewShare(quota.Rates{Reads: settings.Store.ReadsPerSecond, Writes: settings.Store.WritesPerSecond}, assumedNodes)
	n.store.Admit = n.calls.Wait
	n.assembleLimits()
	n.assembleOrders()
	n.assemblePoison()
	n.assembleMirror()
	n.assembleForwarder()
	n.process.Assemble(n.parts())
	return n.process, nil
}

// tenants of the configuration in force; nil without any.
func (n *node) tenants() *tenants.Directory {
	if configuration := n.view.Load().Configuration; configuration != nil {
		return configuration.Tenants
	}
	return nil
}

// assembleLimits makes the node's part in counting what holds for all nodes together.
func (n *node) assembleLimits() {
	n.limiter = ratelimit.New(ratelimit.Config{
		ConfiguredLimit: tenants.LimitsByName(n.tenants, n.settings.QuotaWindow()), Transport: n.transport, Address: n.transport.Address(),
		InUse: func() bool { return n.tenants() != nil || n.notices.LimitedServers() > 0 }, Logger: n.logger,
	})
	n.limits = serverlimit.New(n.notices, n.limiter, n.metrics.ServerLimit)
	n.quota = &tenants.Quota{Limiter: n.limiter, Window: n.settings.QuotaWindow(), OnVerdict: n.metrics.Quota}
}

func (n *node) assembleOrders() {
	n.election = orders.NewElection(orders.ElectionConfig{
		Store: n.store, Prefix: ownPrefix, Self: orders.HolderRecord{Name: n.settings.Node.Name, Address: n.transport.Address()},
		Era: n.store.Era, Lease: max(leaseTime, n.settings.Store.MinimumLease), HandoverPeriod: n.turn(), ExtraCampaignWait: n.settings.Machine.TellTime(), Logger: n.logger,
	})
	n.counters = &orders.CountersStore{Store: n.store, Key: countersKey, OnChange: n.limiter.SetCounters, Logger: n.logger}
	n.holder = orders.NewHolder(orders.HolderConfig{
		Election: n.election, View: n.view, Engines: &platform.Engines{Client: n.servers, Notices: n.notices}, Name: n.settings.Node.Name,
		Counters: n.limiter.Counters, SavedCounters: n.counters, Notices: n.notices, Limits: n.limits,
		LoadRate:  orders.LoadRateLimits{Window: n.settings.Orders.LoadWindow, Overage: n.settings.Orders.LoadOverage},
		LoadAhead: true,
		Push:      func(address string, update orders.Update) { n.link.Push(address, update) },
		OnOrder:   n.metrics.Order, Logger: n.logger,
	})
	n.link = orders.NewLink(orders.LinkConfig{
		Election: n.election, Holder: n.holder, View: n.view, Transport: n.transport,
		Demand:    func() []forward.Demand { return n.forwarder.Demand() },
		NewDemand: func() <-chan struct{} { return n.forwarder.DemandAdded() },
		Notices:   n.notices, SetNodes: n.setNodes, Counters: n.limiter.Counters, SetCounters: n.limiter.SetCounters,
		Name: n.settings.Node.Name, Address: n.transport.Address(), Logger: n.logger,
	})
}

// assemblePoison makes the node's part in finding requests that end servers. The holder
// of orders, and the nodes that count tenants where there are any, collect what all see.
func (n *node) assemblePoison() {
	n.poison = poison.NewGuard(poison.Config{
		View: n.view, Connect: n.servers.Connect, Collectors: n.collectors, Followers: n.holder.ReportingNodes,
		Transport: n.transport, Address: n.transport.Address(), Store: n.store, EntriesPrefix: poisonPrefix, CrashesPrefix: endsPrefix,
		OnCrash: n.metrics.ServerEnded, Logger: n.logger,
	})
}

// collectors are the nodes that collect what was under way at servers that ended.
func (n *node) collectors() []string {
	var collectors []string
	if n.tenants() != nil {
		collectors = slices.Clone(n.limiter.Counters().Addresses)
	}
	if holder, known := n.election.Holder(); known && !slices.Contains(collectors, holder.Address) {
		collectors = append(collectors, holder.Address)
	}
	return collectors
}

// setNodes tells how many nodes share what is bounded for all of them.
func (n *node) setNodes(nodes int) {
	n.forwarder.SetNodes(nodes)
	n.calls.SetNodes(nodes)
	n.limiter.SetNodes(nodes)
}

// assembleMirror makes the node's copy of what the store holds. The holder of
// orders reads for the others.
func (n *node) assembleMirror() {
	n.mirror = mirror.New(mirror.Config{
		Source: platform.NewFeed(n.store, ownPrefix, n.logger), View: n.view, Own: mirror.OwnKeyReceivers{n.election, n.counters, n.poison},
		Times: mirror.Times{
			Contact: n.settings.Store.Contact, Changes: min(n.settings.Store.Changes, n.settings.Store.Drains),
		},
		Relay: n.election.RemoteHolderAddress, IsRelay: n.election.IsLocalHolder, SnapshotKey: copyKey,
		LinkBytesPerSecond: n.settings.Machine.LinkBytesPerSecond(), Transport: n.transport, Address: n.transport.Address(), Zone: n.settings.Node.Zone, Logger: n.logger,
	})
}

// turn is the time between the orders of two holders.
func (n *node) turn() time.Duration {
	if n.settings.Orders.Fenced {
		return 0
	}
	return n.settings.Orders.Turn
}

func (n *node) assembleForwarder() {
	n.forwarder = forward.New(forward.Config{
		View: n.view, Backend: &platform.Backend{Client: n.servers, Notices: n.notices}, Orders: n.link, Quota: n.quota, Backoffs: n.notices, Limits: n.limits, Poison: n.poison, MayBeStale: n.mirror.Behind, Zone: n.settings.Node.Zone,
		Nodes: assumedNodes, Observe: n.requests.Attempt, LongRunning: n.requests.UnderWay,
		Budget: forward.BudgetLimits{
			Ratio: n.settings.Retries.Ratio, Slack: n.settings.Retries.Slack, Window: n.settings.Retries.Window,
		},
	})
}

func (n *node) parts() edge.Parts {
	return edge.Parts{
		Callers: &platform.Ingress{
			Forwarder: n.forwarder, View: n.view, Closing: n.process.Stopping, OnOutcome: n.requests.Ended,
			BodyMemory: platform.NewBodyMemory(n.bodyBytes()),
		},
		Metrics:    n.metrics,
		Status:     n.status(),
		Ready:      n.notReady,
		IdleLimit:  n.idleLimit,
		Background: []func(context.Context){n.mirror.Run, n.election.Run, n.holder.Run, n.link.Run, n.limiter.Run, n.poison.Run, n.tidy, n.serveNodes},
		Drain:      n.forwarder.Drain,
		End:        n.forwarder.Close,
		HandOver:   n.election.Resign,
	}
}

// status shows what the node knows.
func (n *node) status() *inspect.Source {
	return &inspect.Source{
		Node: n.settings.Node.Name, Zone: n.settings.Node.Zone, View: n.view, Demand: n.forwarder.Demand,
		Holder: func() string {
			holder, _ := n.election.Holder()
			return holder.Name
		},
		Origins: n.holder.Origins, Relayed: n.mirror.FollowsRelay, Poison: n.poison.Entries,
	}
}

// gauges are read when metrics are asked for.
func (n *node) gauges() edge.Gauges {
	return edge.Gauges{
		Connections: func() float64 { return float64(n.servers.Opened()) },
		Servers:     func() float64 { return float64(len(n.view.Load().Servers)) },
		Revision: func() float64 {
			if configuration := n.view.Load().Configuration; configuration != nil {
				return float64(configuration.Revision)
			}
			return 0
		},
		Era:        func() float64 { return float64(n.store.Era()) },
		Holder:     func() float64 { return oneIf(n.election.Term() != nil) },
		Relayed:    func() float64 { return oneIf(n.mirror.FollowsRelay()) },
		Quarantine: func() float64 { return float64(len(n.poison.Entries())) },
		Limited:    func() float64 { return float64(n.notices.LimitedServers()) },
	}
}

// oneIf is the value of a gauge that tells whether something holds.
func oneIf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// bodyBytes is the memory for bodies of requests under way.
func (n *node) bodyBytes() int64 {
	limit := n.settings.Memory.LimitMB
	if limit == 0 {
		limit = assumedMemoryMB
	}
	return int64(bodyShare * float64(limit) * megabyte)
}

// serveNodes serves the other nodes.
func (n *node) serveNodes(ctx context.Context) {
	n.transport.Start()
	<-ctx.Done()
	n.transport.Close()
}

// notReady tells why the node can't serve yet.
func (n *node) notReady() string {
	if n.view.Load().Configuration == nil {
		return "no configuration yet"
	}
	return ""
}

func (n *node) idleLimit() time.Duration {
	if configuration := n.view.Load().Configuration; configuration != nil {
		return configuration.Limits.IdleTimeout
	}
	return 0
}

// tidy forgets what is not needed any more.
func (n *node) tidy(ctx context.Context) {
	ticker := time.NewTicker(tidyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.forwarder.Prune()
			n.notices.Prune(now)
			n.limits.Prune(now)
			n.servers.Prune(now)
		}
	}
}
