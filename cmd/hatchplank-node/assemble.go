package main

import (
	"context"
	"runtime/debug"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/internal/exchange"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/mirror"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/orders"
	"github.com/hatchplank/hatchplank/internal/peer/tcp"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/quota"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
	"github.com/hatchplank/hatchplank/internal/serverlimit"
	"github.com/hatchplank/hatchplank/internal/serverpath"
	"github.com/hatchplank/hatchplank/internal/streamorigin"
	"github.com/hatchplank/hatchplank/internal/tenants"
	"github.com/hatchplank/hatchplank/platform"
)

const (
	// ownPrefix is the prefix of the product's own keys in the store.
	ownPrefix = "hatchplank/"
	// countersKey holds the names of the nodes that count requests against rate limits.
	countersKey = ownPrefix + "quota-counters"
	// retriesPrefix precedes the names of nodes that stopped as planned, in the keys of what they
	// counted for the retry budget.
	retriesPrefix = ownPrefix + "retries/"
	// firstEraKey holds the store's era from which nodes count.
	firstEraKey = ownPrefix + "first-era"
	// snapshotKey holds the manifest of the snapshot of all servers' records.
	snapshotKey = ownPrefix + "records"
	// poisonPrefix is the prefix of the keys of quarantined requests.
	poisonPrefix = ownPrefix + "poison/"
	// crashesPrefix is the prefix of the keys that record server crashes, one for each node.
	crashesPrefix = ownPrefix + "server-ends/"
	// versionsKey holds the software versions that the pools had lately.
	versionsKey = ownPrefix + "software-versions"
	// streamsPrefix is the prefix of the keys of saved origins of streams. They are not among the product's
	// own keys, which all nodes keep.
	streamsPrefix = "hatchplank-streams/"
	// gcPercent is the garbage collector's target percentage: lower than Go's default of 100,
	// since memory costs more than processor time.
	gcPercent = 40
	// softLimitShare is the share of the memory limit from which the garbage collector works
	// harder; heldShare is the share that may be held for requests and responses in flight, of which the bodies
	// of requests may occupy bytebudget.RetainedShare.
	softLimitShare, heldShare = 0.7, 1.0 / 3
	// defaultMemoryMB is assumed as the memory limit if the settings give none.
	defaultMemoryMB = 256
	megabyte        = 1 << 20
	// initialNodes is the assumed number of nodes that share the store's rate limits, until the
	// actual number is known.
	initialNodes = 12
	// prunePeriod is the interval at which expired state is discarded.
	prunePeriod = time.Second
	// holderLease is the time after which an order holder that does not renew its lease is
	// replaced.
	holderLease = 2 * time.Second
	// maxPeerBackoff is the maximum backoff between connection attempts to another node.
	maxPeerBackoff = 200 * time.Millisecond
	// maxPeerHandshakes is the maximum number of handshakes with other nodes in progress. All nodes
	// of a fleet connect to a new holder at the same time, and those it rejects connect again.
	maxPeerHandshakes = 2048
	// probesPerContact is how often a quiet connection to another node is probed within the time in which nodes must
	// be in touch again: one that goes silent is closed within four probe intervals.
	probesPerContact = 5
	// peerQueueLength is the maximum number of messages queued for another node. A node has one
	// report in flight, and an update that was lost is included in the next one.
	peerQueueLength = 32
)

// Settings of the connections to servers and to the store.
var (
	serverDialSettings = exchange.DialSettings{Timeout: 300 * time.Millisecond, AckTimeout: time.Second}
	storeDialSettings  = exchange.DialSettings{Timeout: time.Second, AckTimeout: 2 * time.Second}
)

// node holds the product's components, connected to the platform.
type node struct {
	settings   edge.Settings
	logger     zerolog.Logger
	view       *fleet.View
	paths      *serverpath.Monitor
	carrier    *serverpath.Carrier
	carriers   *carriers
	servers    *exchange.Client
	store      *platform.Store
	storeCalls *quota.Share
	feed       *platform.Feed
	mirror     *mirror.Mirror
	transport  *tcp.Transport
	election   *orders.Election
	holder     *orders.Holder
	link       *orders.Link
	limiter    *ratelimit.Limiter
	limits     *serverlimit.Limits
	quota      *tenants.Quota
	counters   *orders.CountersStore
	usage      *retrybudget.UsageStore
	poison     *poison.Guard
	notices    *notice.Registry
	// observations is what this node and others observe of servers.
	observations *observation.Table
	origins      *streamorigin.Origins
	forwarder    *forward.Forwarder
	// memory limits what is held for requests and responses in flight.
	memory   *bytebudget.Budget
	metrics  *edge.Metrics
	requests *edge.RequestLog
	process  *edge.Process
}

// assemble creates the product's components and connects them to the platform.
func assemble(settings edge.Settings, logger zerolog.Logger) (*edge.Process, error) {
	debug.SetGCPercent(gcPercent)
	if limit := settings.Memory.LimitMB; limit > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(limit) * megabyte))
	}
	storeClient := exchange.NewClient(storeDialSettings)
	n := &node{
		settings: settings, logger: logger, view: fleet.NewView(),
		store:   platform.NewStore(settings.Store.Address, storeClient, settings.Store.Contact, logger),
		process: edge.NewProcess(settings, logger),
	}
	// The metrics are made from the other components.
	n.memory = bytebudget.New(bytebudget.Config{Limit: n.maxHeldBytes(), OnShort: func(kind bytebudget.Kind) { n.metrics.MemoryShort(kind) }})
	transport, err := tcp.New(tcp.Config{
		Address: settings.Listen.Peers, AdvertisedAddress: settings.Listen.PeersAdvertised, Secret: []byte(settings.Cluster.Secret), Logger: logger, MaxBackoff: maxPeerBackoff,
		MaxHandshakes: maxPeerHandshakes, QueueLength: peerQueueLength, MaxPendingCalls: peerQueueLength, ProbeInterval: settings.Store.Contact / probesPerContact, Memory: n.memory, StreamDialer: exchange.NewDialer(serverDialSettings.AckTimeout),
	})
	if err != nil {
		return nil, eris.Wrap(err, "listen for other nodes")
	}
	n.transport = transport
	n.metrics = edge.NewMetrics(n.gauges())
	n.requests = edge.NewRequestLog(logger, n.metrics)
	storeClient.OnAnomaly = n.requests.ResponseAnomaly
	n.notices = notice.NewRegistry(notice.Config{View: n.view, OnNotice: n.metrics.Notice, OnDisregarded: n.metrics.SentDespiteNotice, OnLimitedSend: n.metrics.SentToLimited, Logger: logger})
	n.observations = observation.NewTable()
	n.observations.OnSuspicion = observation.LogSuspicions(logger)
	n.store.OnCall = n.metrics.StoreCall
	n.store.FirstEraKey = firstEraKey
	n.storeCalls = quota.NewShare(quota.Rates{Reads: settings.Store.ReadsPerSecond, Writes: settings.Store.WritesPerSecond}, initialNodes)
	n.store.Admit = n.storeCalls.Wait
	n.carriers = &carriers{node: n}
	n.assemblePaths()
	n.assembleLimits()
	n.assembleOrders()
	n.assemblePoison()
	n.assembleForwarder()
	n.assembleUsage()
	n.assembleMirror()
	n.process.Assemble(n.components())
	return n.process, nil
}

// assemblePaths creates the client of the servers, which reaches them by this node's own path or
// through other nodes.
func (n *node) assemblePaths() {
	n.paths = serverpath.NewMonitor(serverpath.Config{
		View: n.view, Probe: func(ctx context.Context, address string) error { return n.servers.ConnectDirect(ctx, address) },
		IsOrderHolder: func() bool { return n.election.Term() != nil }, Logger: n.logger,
	})
	n.paths.OnChange = func() { n.forwarder.PathsChanged() }
	settings := serverDialSettings
	n.carrier = &serverpath.Carrier{
		Monitor: n.paths, Dial: settings.DialDirect, MaxConnections: n.settings.Machine.MaxCarriedConnections(), OnRequest: n.metrics.CarryRequest,
	}
	n.transport.HandleStream(serverpath.OpenRequest{}, n.carrier.Serve)
	settings.Paths = &serverpath.Dialer{
		Monitor:        n.paths,
		Intermediaries: &serverpath.Intermediaries{Transport: n.transport, Nodes: n.carriers.addresses, OnAnswer: n.metrics.CarrierAnswer},
	}
	n.servers = exchange.NewClient(settings)
	n.servers.OnAnomaly = n.requests.ResponseAnomaly
	n.servers.SetMaxIdle(n.settings.Machine.MaxIdleConnections())
}

// tenants returns the tenants of the configuration in force; nil if there are none.
func (n *node) tenants() *tenants.Directory {
	if configuration := n.view.Load().Configuration; configuration != nil {
		return configuration.Tenants
	}
	return nil
}

// assembleLimits creates the rate limits of tenants and servers, which all nodes share.
func (n *node) assembleLimits() {
	n.limiter = ratelimit.New(ratelimit.Config{
		ConfiguredLimit: tenants.LimitsByName(n.tenants, n.settings.QuotaWindow()), Transport: n.transport, Address: n.transport.Address(),
		InUse: func() bool { return n.tenants() != nil || n.notices.LimitedServers() > 0 }, Logger: n.logger,
	})
	n.limits = serverlimit.New(n.notices, n.limiter, n.metrics.ServerLimit)
	n.quota = &tenants.Quota{Limiter: n.limiter, Window: n.settings.QuotaWindow(), OnVerdict: n.metrics.Quota}
}

// assembleOrders creates the election of the order holder, the holder, and the link to it.
func (n *node) assembleOrders() {
	n.election = orders.NewElection(orders.ElectionConfig{
		Store: n.store, Prefix: ownPrefix, Self: orders.HolderRecord{Name: n.settings.Node.Name, Address: n.transport.Address()},
		Era: n.store.RevisionEra, Restored: func() bool { return n.store.Era() > 0 },
		Lease: max(holderLease, n.settings.Store.MinimumLease), HandoverPeriod: n.handoverPeriod(), ExtraCampaignWait: n.settings.Machine.FanOutTime(),
		LostShare: n.paths.LostShare, Logger: n.logger,
	})
	n.counters = &orders.CountersStore{Store: n.store, Key: countersKey, OnChange: n.limiter.SetCounters, OnNone: n.noCountersYet, Holder: n.election.Holder, Logger: n.logger}
	n.counters.OnNodes = func(nodes int) { n.link.SetSavedNodes(nodes) }
	n.holder = orders.NewHolder(orders.HolderConfig{
		Election: n.election, View: n.view, Engines: &platform.Engines{Client: n.servers, Notices: n.notices}, Name: n.settings.Node.Name,
		Counters: n.limiter.Counters, SavedCounters: n.counters, Notices: n.notices, Limits: n.limits, Observations: n.observations,
		ReportsPerSecond: n.settings.Machine.ReportsPerSecond(),
		LoadRate:         orders.LoadRateLimits{Window: n.settings.Orders.LoadWindow, Overage: n.settings.Orders.LoadOverage},
		LoadAhead:        true, LostShare: n.paths.LostShare,
		Push:    func(address string, update orders.Update) { n.link.Push(address, update) },
		OnOrder: n.metrics.Order, OnReplicaOrder: n.metrics.ReplicaOrder, Logger: n.logger,
	})
	n.link = orders.NewLink(orders.LinkConfig{
		Election: n.election, Holder: n.holder, View: n.view, Transport: n.transport,
		Demand:    func() []forward.Demand { return n.forwarder.Demand() },
		NewDemand: func() <-chan struct{} { return n.forwarder.DemandAdded() },
		Notices:   n.notices, SetNodes: n.setNodes, Counters: n.limiter.Counters, SetCounters: n.limiter.SetCounters,
		Observations: n.observations, OnObservations: n.metrics.Observations,
		PathsLost: n.paths.AnyLost, LostShare: n.paths.LostShare, SetCarriers: n.carriers.set,
		Name: n.settings.Node.Name, Address: n.transport.Address(), Logger: n.logger,
	})
}

// assemblePoison creates the detection of poison requests. The order holder, and the nodes that
// count tenants' requests if there are tenants, collect the crash reports of all nodes.
func (n *node) assemblePoison() {
	n.poison = poison.NewGuard(poison.Config{
		View: n.view, Connect: n.servers.Connect, Collectors: n.collectors, Followers: n.holder.ReportingNodes,
		Transport: n.transport, Address: n.transport.Address(), Store: n.store, EntriesPrefix: poisonPrefix, CrashesPrefix: crashesPrefix,
		OnCrash: n.metrics.ServerCrashed, OnTrial: n.metrics.PoisonTrial, Logger: n.logger,
	})
}

// collectors returns the addresses of the nodes that collect crash reports.
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

// noCountersYet is called when the store was read and has no counter nodes. Unless a restore has lost
// them, no node has served a request yet.
func (n *node) noCountersYet() {
	n.limiter.SetNoCountersYet()
	if n.store.Era() == 0 {
		n.forwarder.RetryBudget().SetNoEarlierProcess()
		n.origins.SetNoEarlierProcess()
	}
}

// setNodes sets the number of nodes that share budgets and rate limits.
func (n *node) setNodes(nodes int) {
	n.forwarder.RetryBudget().SetNodes(nodes)
	n.storeCalls.SetNodes(nodes)
	n.limiter.SetNodes(nodes)
}

// assembleMirror creates the node's replica of the store. The order holder is the relay, which
// reads the store for the other nodes.
func (n *node) assembleMirror() {
	n.feed = platform.NewFeed(n.store, ownPrefix, n.logger)
	n.mirror = mirror.New(mirror.Config{
		Source: n.feed, View: n.view, Own: mirror.OwnKeyReceivers{n.election, n.counters, n.usage, n.poison, n.origins},
		Times: n.mirrorTimes(),
		Relay: n.election.RemoteHolderAddress, IsRelay: n.election.IsLocalHolder, SnapshotKey: snapshotKey,
		LinkBytesPerSecond: n.settings.Machine.LinkBytesPerSecond(), Transport: n.transport, Address: n.transport.Address(), Zone: n.settings.Node.Zone, Logger: n.logger,
	})
}

// mirrorTimes returns the bounds of the replica's staleness.
func (n *node) mirrorTimes() mirror.Times {
	return mirror.Times{
		Contact: n.settings.Store.Contact, Changes: min(n.settings.Store.Changes, n.settings.Store.Drains),
		Heartbeat: n.settings.Heartbeat(),
	}
}

// handoverPeriod returns the minimum time between the orders of two holders to the same server;
// zero if the servers check fencing tokens.
func (n *node) handoverPeriod() time.Duration {
	if n.settings.Orders.Fenced {
		return 0
	}
	return n.settings.Orders.HandoverPeriod
}

// assembleForwarder creates the forwarder of clients' requests.
func (n *node) assembleForwarder() {
	n.origins = streamorigin.New(streamorigin.Config{
		View: n.view, Transport: n.transport, Address: n.transport.Address(),
		Nodes:      func() []string { return n.limiter.Counters().Addresses },
		RecordsAge: func() (time.Duration, bool) { return n.mirror.RecordsAge() }, MaxRecordsAge: mirror.MaxRecordAge(n.mirrorTimes()),
		Store: n.store, VersionsKey: versionsKey, OriginsPrefix: streamsPrefix, Era: n.store.RevisionEra,
		OnFind: n.metrics.StreamOrigin, Logger: n.logger,
	})
	n.forwarder = forward.New(forward.Config{
		View: n.view, Origins: n.origins, Backend: &platform.Backend{Client: n.servers, Notices: n.notices}, Orders: n.link, Quota: n.quota, Backoffs: n.notices, Limits: n.limits, Poison: n.poison, MayBeStale: func() bool { return n.mirror.Behind() }, Records: records{n}, OnRecordCheck: n.metrics.RecordCheck, OnUnframedEnd: n.metrics.UnframedEnd, Zone: n.settings.Node.Zone,
		Connect: n.servers.Connect, CheckIncarnation: (&platform.IncarnationCheck{Client: n.servers, View: n.view, Notices: n.notices}).Check, Indirect: n.paths.Lost, OnSuspicionCheck: n.requests.SuspicionChecked,
		Fleet: retrybudget.Count{Limiter: n.limiter}, OnRetry: n.requests.Retry,
		Observations: n.observations, Observe: n.requests.AttemptFailed, LongRunning: n.requests.LongRunning, Memory: n.memory,
		Budget: forward.BudgetLimits{
			Ratio: n.settings.Retries.Ratio, Slack: n.settings.Retries.Slack, Window: n.settings.Retries.Window,
		},
	})
}

// assembleUsage creates what passes the counts of the retry budget on to the node's next process.
func (n *node) assembleUsage() {
	n.usage = &retrybudget.UsageStore{
		Store: n.store, Key: retriesPrefix + n.settings.Node.Name, Budget: n.forwarder.RetryBudget(), Era: n.store.RevisionEra,
		MinimumLease: n.settings.Store.MinimumLease, Logger: n.logger,
	}
}

// components returns what the process runs.
func (n *node) components() edge.Components {
	return edge.Components{
		Callers: &platform.Ingress{
			Forwarder: n.forwarder, View: n.view, Closing: n.process.Stopping, OnOutcome: n.requests.Ended,
			Memory: n.memory,
		},
		Metrics:      n.metrics,
		Status:       n.status(),
		Ready:        n.notReadyReason,
		IdleLimit:    n.idleLimit,
		Background:   []func(context.Context){n.mirror.Run, n.election.Run, n.holder.Run, n.link.Run, n.limiter.Run, n.poison.Run, n.origins.Run, n.paths.Run, n.prune, n.servePeers},
		Drain:        n.drain,
		EndRequests:  n.forwarder.Close,
		HandOver:     n.election.Resign,
		AwaitCarried: n.carrier.Wait,
		Stopped:      n.usage.Save,
	}
}

// drain refuses requests that can't be sent before the time, and new connections of other nodes.
func (n *node) drain(until time.Time) {
	n.carrier.Stop()
	n.forwarder.Drain(until)
}

// status returns the source of the node's status page.
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

// gauges returns the functions that supply the gauges' values.
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
		Era:          func() float64 { return float64(n.store.Era()) },
		Holder:       func() float64 { return boolGauge(n.election.Term() != nil) },
		Relayed:      func() float64 { return boolGauge(n.mirror.FollowsRelay()) },
		Quarantine:   func() float64 { return float64(len(n.poison.Entries())) },
		Limited:      func() float64 { return float64(n.notices.LimitedServers()) },
		Suspected:    func() float64 { return float64(n.observations.Suspicions(time.Now())) },
		LostPaths:    func() float64 { return float64(n.paths.CountLost()) },
		Carried:      func() float64 { return float64(n.carrier.Carried()) },
		RecordsAge:   n.recordsAge,
		Rejected:     func() float64 { return float64(n.feed.RejectedRecords()) },
		HeldBytes:    func(kind bytebudget.Kind) float64 { return float64(n.memory.Used()[kind]) },
		SharingNodes: func() float64 { return float64(n.forwarder.RetryBudget().Nodes(time.Now())) },
	}
}

// recordsAge returns the age of the servers' records in seconds; -1 if they were never all known.
func (n *node) recordsAge() float64 {
	if age, known := n.mirror.RecordsAge(); known {
		return age.Seconds()
	}
	return -1
}

// records passes calls on to the node's mirror, which is created after the forwarder.
type records struct{ node *node }

func (r records) Outdated(server string) bool { return r.node.mirror.Outdated(server) }

func (r records) ReadRecord(ctx context.Context, server string) error {
	return r.node.mirror.ReadRecord(ctx, server)
}

func (r records) AwaitDeparture(ctx context.Context, server fleet.Incarnation, seenRunning time.Time) bool {
	return r.node.mirror.AwaitDeparture(ctx, server, seenRunning)
}

// boolGauge returns the value of a gauge for a condition.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// maxHeldBytes returns the memory limit for the data of requests and responses in flight.
func (n *node) maxHeldBytes() int64 {
	limit := n.settings.Memory.LimitMB
	if limit == 0 {
		limit = defaultMemoryMB
	}
	return int64(heldShare * float64(limit) * megabyte)
}

// servePeers serves messages of other nodes until ctx ends.
func (n *node) servePeers(ctx context.Context) {
	n.transport.Start()
	<-ctx.Done()
	n.transport.Close()
}

// notReadyReason returns why the node can't serve yet; empty if it is ready.
func (n *node) notReadyReason() string {
	if n.view.Load().Configuration == nil {
		return "no configuration yet"
	}
	return ""
}

// idleLimit returns how long clients' connections may be idle; zero: any time.
func (n *node) idleLimit() time.Duration {
	if configuration := n.view.Load().Configuration; configuration != nil {
		return configuration.Limits.IdleTimeout
	}
	return 0
}

// prune discards expired state periodically until ctx ends.
func (n *node) prune(ctx context.Context) {
	ticker := time.NewTicker(prunePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.forwarder.Prune()
			n.notices.Prune(now)
			n.limits.Prune(now)
			n.pruneObservations(now)
			n.servers.Prune(now)
		}
	}
}

// pruneObservations discards expired observations, and those of servers without a record.
func (n *node) pruneObservations(now time.Time) {
	servers := n.view.Load().Servers
	n.observations.Prune(func(id string) bool { return servers[id] != nil }, now)
}
