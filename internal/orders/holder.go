package orders

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/placement"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

const (
	// planPeriod is the maximum time between two plans.
	planPeriod = 150 * time.Millisecond
	// The pause before a plan is minPlanPause or planPauseFactor times the duration of the
	// last plan, whichever is longer, so that plans take at most a fifth of the holder's
	// time. A pause proportional to the number of nodes added 0.1 s, with 985 nodes, to
	// each order that a caller waits for.
	minPlanPause    = 4 * time.Millisecond
	planPauseFactor = 4
	// pushPausePerNode times the number of nodes passes between updates to all nodes.
	pushPausePerNode = 500 * time.Microsecond
	// maxPushedNodes is the largest number of nodes that are all sent every change, which
	// takes some 20 ms on 0.4 of a core. With more nodes, a change is sent immediately
	// to those that request the model, and to the others in the reply to their next
	// report: 985 nodes with 0.25 requests a second each hardly use any of the updates.
	maxPushedNodes = 100
	// termPollPeriod is the time between checks whether this node has a term.
	termPollPeriod = 50 * time.Millisecond
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	Election *Election
	View     *fleet.View
	Engines  Engines
	// Name of this node.
	Name string
	// Counters returns the nodes that count rate limits, as known to this node.
	Counters func() ratelimit.Counters
	// SavedCounters saves the list of counting nodes in the store.
	SavedCounters *CountersStore
	// Notices are the backoffs and rate limits that servers sent to this node or another one.
	Notices *notice.Registry
	// Observations holds what all nodes observe of servers. If nil, nothing is exchanged.
	Observations *observation.Table
	// Limits keeps the load on servers within the rate limits that they announced.
	Limits forward.Limits
	// ReportsPerSecond bounds the calls to servers for reports; zero: no bound.
	ReportsPerSecond float64
	// LoadRate bounds the loads from the weight store.
	LoadRate LoadRateLimits
	// LostShare returns the share of the servers with models that this node does not reach although
	// other nodes do, from 0 to 1; nil: always 0.
	LostShare func() float64
	// LoadAhead makes the holder load models that no server holds before they are requested.
	LoadAhead bool
	// Push sends an update to a node; it must not block.
	Push func(address string, update Update)
	// OnOrder is called with the kind of each order that was sent and its reply, "none" if
	// there was no reply; may be nil.
	OnOrder func(order, reply string)
	// OnReplicaOrder is called with the kind and the reason of each order for a model that is
	// begun; may be nil.
	OnReplicaOrder func(order, reason string)
	Logger         zerolog.Logger
}

// Holder plans placements and sends orders during this node's terms. It is safe for concurrent
// use.
type Holder struct {
	config HolderConfig
	demand *demandTracker
	wake   chan struct{}
	// reportLimiter bounds the calls to servers for reports.
	reportLimiter *rate.Limiter

	mutex   sync.Mutex
	term    *Term
	servers *serverTable
	reports *reportQueue
	// pushedVersion is the placement version that was pushed last, at pushedAt.
	pushedVersion uint64
	pushedAt      time.Time
	loadLimiter   *loadLimiter
	estimates     *readyEstimates
	// recent is what further replicas were recently worth, by pool.
	recent map[string]*placement.RecentLosses
	// termStart is when the term began; counters are the nodes that count rate limits in it.
	termStart time.Time
	counters  ratelimit.Counters
	// size is the number of nodes that share limits.
	size *fleetSize
	// countersMajorityAt is when more than half of the counting nodes last reported, or the
	// term began.
	countersMajorityAt time.Time
	// limitsPushed is the version of the servers' rate limits that was pushed last, at
	// limitsPushedAt.
	limitsPushed   uint64
	limitsPushedAt time.Time
	// observations is the state of sending observations to nodes. Only Run uses it.
	observations observationPushes
}

// NewHolder returns a holder, which starts to work when Run is called.
func NewHolder(config HolderConfig) *Holder {
	if config.Observations == nil {
		config.Observations = observation.NewTable()
	}
	if config.LostShare == nil {
		config.LostShare = func() float64 { return 0 }
	}
	return &Holder{
		config: config, demand: newDemandTracker(), wake: make(chan struct{}, 1), reportLimiter: newReportLimiter(config.ReportsPerSecond),
		servers: newServerTable(), reports: &reportQueue{}, estimates: newReadyEstimates(), size: newFleetSize(0, time.Now()),
		recent: map[string]*placement.RecentLosses{},
	}
}

// Run plans and orders during this node's terms until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term := h.config.Election.Term()
		if term == nil {
			clock.Sleep(ctx, termPollPeriod)
			continue
		}
		h.runTerm(ctx, term)
	}
}

// runTerm plans and orders until the term or ctx ends.
func (h *Holder) runTerm(ctx context.Context, term *Term) {
	h.mutex.Lock()
	h.term, h.servers, h.pushedVersion, h.reports = term, newServerTable(), 0, &reportQueue{}
	h.loadLimiter, h.estimates = newLoadLimiter(h.config.LoadRate), newReadyEstimates()
	h.termStart, h.counters = time.Now(), ratelimit.Counters{}
	h.recent = map[string]*placement.RecentLosses{}
	h.countersMajorityAt, h.limitsPushed = h.termStart, 0
	h.size = newFleetSize(h.config.SavedCounters.Nodes(), h.termStart)
	h.mutex.Unlock()
	h.observations = observationPushes{}
	defer func() {
		h.mutex.Lock()
		h.term = nil
		h.mutex.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var took time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-term.Done():
			return
		case <-h.wake:
			clock.Sleep(ctx, max(minPlanPause, planPauseFactor*took))
		case <-timer.C:
		}
		started := time.Now()
		h.tick(ctx, term)
		took = time.Since(started)
		timer.Reset(planPeriod)
	}
}

// Origins returns since when and why each server holds its models; nil while this node has
// no term.
func (h *Holder) Origins() inspect.Origins {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.term == nil {
		return nil
	}
	return h.servers.origins()
}

// Wake makes the holder plan soon.
func (h *Holder) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// tick requests outstanding reports, plans, starts the orders, and pushes changes to nodes.
func (h *Holder) tick(ctx context.Context, term *Term) {
	snapshot := h.config.View.Load()
	if snapshot.Configuration == nil {
		return
	}
	now := time.Now()
	h.mutex.Lock()
	h.requestReports(ctx, h.servers.sync(snapshot, now), now)
	if h.servers.orderedBefore && term.notePredecessor() {
		h.config.Logger.Warn().Int64("token", term.Token).Dur("first_order_in_ms", term.ordersIn(now)).Msg("servers were ordered by a holder that the store does not name")
	}
	if term.MayOrder(now) {
		for name, pool := range snapshot.Configuration.Pools {
			if pool.Engine != nil {
				h.plan(ctx, term, name, pool.Engine, now)
			}
		}
	}
	changed := h.estimates.takeChanged()
	h.mutex.Unlock()
	h.push(now)
	h.pushEstimates(term, changed, now)
	h.pushLimits(term, now)
	h.pushReachChanges(term, now)
	h.pushLoads(term, snapshot, now)
	if term.leaseValid(now) {
		h.chooseCounters(term, now)
	}
	h.yieldIfPartitioned(term, now)
}

// plan plans one pool and starts its orders. It must be called with the lock held.
func (h *Holder) plan(ctx context.Context, term *Term, pool string, engine *fleet.Engine, now time.Time) {
	inProgress := h.servers.storeLoads(now)
	h.loadLimiter.limitInitialConcurrency(engine.MaxLoadTime())
	demand := h.demand.poolDemand(pool, now)
	sample := h.servers.sample(pool, demand, now)
	input := placement.Input{
		Now: now, Engine: engine, Servers: sample.servers, ReplicasElsewhere: sample.elsewhere, ServersElsewhere: sample.leftOut,
		Demand: demand, CallerTime: h.config.View.Load().Configuration.CallerTime(pool), LoadAhead: h.config.LoadAhead, StoreLoads: h.loadLimiter.available(engine.LoadsPerSecond, inProgress, now),
		NextStoreLoadIn: h.loadLimiter.nextIn(engine.LoadsPerSecond, inProgress),
		CountedSince:    h.termStart, RecentLosses: h.recentLosses(pool).At(now),
	}
	for i := range input.Servers {
		server := &input.Servers[i]
		listed := h.servers.entries[server.ID].server
		limit := h.config.Notices.Limit(listed)
		server.Limited, server.MaxPerSecond = limit.Named, limit.PerSecond
		backoff := h.remainingBackoff(listed, now)
		if wait := max(term.history.remaining(server.ID, now), backoff); wait > 0 {
			server.Busy, server.FreeIn = true, max(server.FreeIn, wait)
		}
		h.setLoad(server, h.servers.entries[server.ID], now)
	}
	planned := placement.Plan(&input)
	h.recentLosses(pool).Record(planned.RemovalLosses, now)
	h.estimates.update(pool, planned.ReadyIn, now)
	for _, action := range planned.Actions {
		target := h.servers.entries[action.Server]
		if !h.allowed(target, engine, action) {
			continue
		}
		if action.Kind == placement.Load && action.Source == placement.FromStore {
			h.loadLimiter.take()
		}
		h.countReplicaOrder(action)
		h.noteOrder(target, action, now)
		go h.execute(ctx, term, target, action)
	}
}

// countReplicaOrder counts an order for a model.
func (h *Holder) countReplicaOrder(action placement.Action) {
	if h.config.OnReplicaOrder != nil && action.Adapter == "" {
		h.config.OnReplicaOrder(action.Kind.String(), action.Reason)
	}
}

// allowed checks an action against what the server can hold, independently of the planner.
// It must be called with the lock held.
func (h *Holder) allowed(target *entry, engine *fleet.Engine, action placement.Action) bool {
	if target == nil || target.busy || !target.reported {
		return false
	}
	switch action.Kind {
	case placement.Load:
		_, holds := target.models[action.Model]
		return !holds && target.usedMB(engine)+sizeOf(engine, action.Model, 0) <= engine.MemoryMB
	case placement.LoadAdapter:
		model := engine.Models[action.Model]
		_, holds := target.models[action.Model]
		return holds && model != nil && target.adapterCount() < engine.AdapterSlots &&
			target.usedMB(engine)+model.AdapterMB <= engine.MemoryMB
	}
	return true
}

// noteOrder applies an order to its entry before the order is sent. It must be called with
// the lock held.
func (h *Holder) noteOrder(target *entry, action placement.Action, now time.Time) {
	target.busy, target.busyUntil = true, now.Add(action.Expected)
	switch action.Kind {
	case placement.Load:
		target.loading, target.source, target.intent = action.Model, action.Source, ""
	case placement.Unload:
		target.unloading = action.Model
		target.intent, target.intentAt = action.Intent, now
		delete(target.models, action.Model)
		h.servers.markChanged(target)
	case placement.LoadAdapter:
		target.busyUntil = now.Add(adapterLoadTime)
		target.loadingAdapter = action.Model + "/" + action.Adapter
	case placement.UnloadAdapter:
		delete(target.models[action.Model].adapters, action.Adapter)
		h.servers.markChanged(target)
	}
}

// HandleReport processes a node's demand report and returns what the node does not know yet.
// It returns false if this node has no term.
func (h *Holder) HandleReport(report DemandReport) (Update, bool) {
	now := time.Now()
	h.mutex.Lock()
	term := h.term
	h.mutex.Unlock()
	if term == nil {
		return Update{}, false
	}
	h.demand.add(report, now)
	for _, server := range report.Leaving {
		if h.config.View.SetLeaving(server) {
			h.config.Logger.Info().Str("server", server.ID).Int64("born", server.Born).Str("told_by", report.Node).Msg("server leaves, as it told a node")
		}
	}
	h.config.Notices.MergeLimits(report.Limits, report.Node)
	h.config.Observations.Merge(report.Observations, observation.Origin{Node: report.Address}, now)
	h.Wake()
	after, limitsAfter := report.Version, report.LimitsVersion
	if report.Token != term.Token {
		after, limitsAfter = 0, 0
	}
	update := h.update(term, after, report.awaitedModels(), now)
	update.LimitsBase = limitsAfter
	update.Limits, update.LimitsVersion = h.config.Notices.Limits(limitsAfter)
	update.Counters = h.countersFor(report)
	if report.PathsLost {
		update.Carriers = h.carriersFor(report.Address, now)
	}
	return update, true
}
