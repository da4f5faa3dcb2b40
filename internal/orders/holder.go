package orders

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/forward"
	"github.com/hatchplank/hatchplank/internal/inspect"
	"github.com/hatchplank/hatchplank/internal/notice"
	"github.com/hatchplank/hatchplank/internal/placement"
	"github.com/hatchplank/hatchplank/internal/ratelimit"
)

const (
	// planPeriod is the longest time between two plans.
	planPeriod = 150 * time.Millisecond
	// planPause is the shortest, and planPauseFactor times what the last plan took is
	// the least, so that plans take a fifth of the holder's time at most. A pause for
	// each node instead was 0.1 s at 985 nodes, in each order that a caller waits for.
	planPause       = 4 * time.Millisecond
	planPauseFactor = 4
	// pushPauseEach, for each node, is left between updates to all nodes.
	pushPauseEach = 500 * time.Microsecond
	// toldAll is the most nodes that are told of every change, some 20 ms of work on
	// 0.4 of a core. Of more, those are told at once that ask for the model, and the
	// others with their next report: 985 nodes that see 0.25 requests a second each
	// use next to nothing of what they are told.
	toldAll = 100
	// termPeriod between looks for a term.
	termPeriod = 50 * time.Millisecond
)

// HolderConfig configures a Holder.
type HolderConfig struct {
	Election *Election
	View     *fleet.View
	Engines  Engines
	// Name of this node.
	Name string
	// Counters are the nodes that count limits as this node knows.
	Counters func() ratelimit.Counters
	// SavedCounters keeps them in the store.
	SavedCounters *CountersStore
	// Notices are what servers told this node, or another one: backoffs and limits.
	Notices *notice.Board
	// Limits keep what is sent to servers within the limits that they named.
	Limits forward.Limits
	// LoadRate bounds the loads from the weight store.
	LoadRate LoadRateLimits
	// LoadAhead: models that no server holds are loaded before they are asked for.
	LoadAhead bool
	// Push sends an update to a node; it must not block.
	Push func(address string, update Update)
	// OnOrder is called with each order that was sent, and its reply; nil: not
	// called.
	OnOrder func(order, reply string)
	Logger  zerolog.Logger
}

// Holder plans and orders while this node holds the term.
type Holder struct {
	config HolderConfig
	demand *demandBook
	wake   chan struct{}

	mutex  sync.Mutex
	term   *Term
	ledger *ledger
	asking *asking
	// pushed is the version that was pushed last, at pushedAt.
	pushed   uint64
	pushedAt time.Time
	ceiling  *ceiling
	promises *promises
	// began is when the term did; counters are the nodes that count limits in it.
	began    time.Time
	counters ratelimit.Counters
	// countersHeardAt is when more than half of them were last heard, or the term began.
	countersHeardAt time.Time
	// limitsPushed is the version of servers' limits that was pushed last, at limitsPushedAt.
	limitsPushed   uint64
	limitsPushedAt time.Time
}

// NewHolder returns a holder; Run makes it work.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{config: config, demand: newDemandBook(), wake: make(chan struct{}, 1), ledger: newLedger(), asking: &asking{}, promises: newPromises()}
}

// Run plans and orders during this node's terms until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		term := h.config.Election.Term()
		if term == nil {
			clock.Sleep(ctx, termPeriod)
			continue
		}
		h.lead(ctx, term)
	}
}

// lead works during one term.
func (h *Holder) lead(ctx context.Context, term *Term) {
	h.mutex.Lock()
	h.term, h.ledger, h.pushed, h.asking = term, newLedger(), 0, &asking{}
	h.ceiling, h.promises = newCeiling(h.config.LoadRate), newPromises()
	h.began, h.counters = time.Now(), ratelimit.Counters{}
	h.countersHeardAt, h.limitsPushed = h.began, 0
	h.mutex.Unlock()
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
		case <-term.Over():
			return
		case <-h.wake:
			clock.Sleep(ctx, max(planPause, planPauseFactor*took))
		case <-timer.C:
		}
		started := time.Now()
		h.tick(ctx, term)
		took = time.Since(started)
		timer.Reset(planPeriod)
	}
}

// Origins tells why each model is where it is; nil while this node holds no term.
func (h *Holder) Origins() inspect.Origins {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.term == nil {
		return nil
	}
	return h.ledger.origins()
}

// Wake makes a plan soon.
func (h *Holder) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// tick asks for reports, plans, and starts the orders.
func (h *Holder) tick(ctx context.Context, term *Term) {
	snapshot := h.config.View.Load()
	if snapshot.Configuration == nil {
		return
	}
	now := time.Now()
	h.mutex.Lock()
	h.ask(ctx, h.ledger.sync(snapshot, now), now)
	if term.MayOrder(now) {
		for name, pool := range snapshot.Configuration.Pools {
			if pool.Engine != nil {
				h.plan(ctx, term, name, pool.Engine, now)
			}
		}
	}
	changed := h.promises.takeChanged()
	h.mutex.Unlock()
	h.push(now)
	h.pushPromises(term, changed, now)
	h.pushLimits(term, now)
	if term.leads(now) {
		h.chooseCounters(term, now)
	}
}

// plan must be called with the lock held.
func (h *Holder) plan(ctx context.Context, term *Term, pool string, engine *fleet.Engine, now time.Time) {
	underWay := h.ledger.storeLoads(now)
	h.ceiling.expect(engine.LongestLoad())
	demand := h.demand.ofPool(pool, now)
	sample := h.ledger.sample(pool, demand, now)
	input := placement.Input{
		Now: now, Engine: engine, Servers: sample.servers, ReplicasElsewhere: sample.elsewhere, ServersElsewhere: sample.left,
		Demand: demand, LoadAhead: h.config.LoadAhead, StoreLoads: h.ceiling.available(engine.LoadsPerSecond, underWay, now),
		NextStoreLoadIn: h.ceiling.nextIn(engine.LoadsPerSecond, underWay),
	}
	for i := range input.Servers {
		server := &input.Servers[i]
		listed := h.ledger.entries[server.ID].server
		limit := h.config.Notices.Limit(listed)
		server.Limited, server.MaxPerSecond = limit.Named, limit.PerSecond
		backoff := h.backoffLeft(listed, now)
		if wait := max(term.turns.remaining(server.ID, now), backoff); wait > 0 {
			server.Busy, server.FreeIn = true, max(server.FreeIn, wait)
		}
	}
	planned := placement.Plan(&input)
	h.promises.update(pool, planned.ReadyIn, now)
	for _, action := range planned.Actions {
		target := h.ledger.entries[action.Server]
		if !h.allowed(target, engine, action) {
			continue
		}
		if action.Kind == placement.Load && action.Source == placement.FromStore {
			h.ceiling.take()
		}
		h.begin(target, action, now)
		go h.execute(ctx, term, target, action)
	}
}

// allowed checks an action against what a server can hold, whatever the plan
// says. It must be called with the lock held.
func (h *Holder) allowed(target *entry, engine *fleet.Engine, action placement.Action) bool {
	if target == nil || target.working || !target.known {
		return false
	}
	switch action.Kind {
	case placement.Load:
		_, holds := target.models[action.Model]
		return !holds && target.usedMB(engine)+sizeOf(engine, action.Model, 0) <= engine.MemoryMB
	case placement.LoadAdapter:
		model := engine.Models[action.Model]
		_, holds := target.models[action.Model]
		return holds && model != nil && target.adapterCount() < engine.AdapterPlaces &&
			target.usedMB(engine)+model.AdapterMB <= engine.MemoryMB
	}
	return true
}

// begin notes an order before it is sent. It must be called with the lock held.
func (h *Holder) begin(target *entry, action placement.Action, now time.Time) {
	target.working, target.busyUntil = true, now.Add(action.Expected)
	switch action.Kind {
	case placement.Load:
		target.loading, target.source, target.intent = action.Model, action.Source, ""
	case placement.Unload:
		target.unloading = action.Model
		target.intent, target.intentAt = action.Intent, now
		delete(target.models, action.Model)
		h.ledger.changed(target)
	case placement.LoadAdapter:
		target.busyUntil = now.Add(adapterTime)
		target.loadingAdapter = action.Model + "/" + action.Adapter
	case placement.UnloadAdapter:
		delete(target.models[action.Model].adapters, action.Adapter)
		h.ledger.changed(target)
	}
}

// Report takes a node's demand and returns what it does not know yet; false if
// this node holds no term.
func (h *Holder) Report(report DemandReport) (Update, bool) {
	now := time.Now()
	h.mutex.Lock()
	term := h.term
	h.mutex.Unlock()
	if term == nil {
		return Update{}, false
	}
	h.demand.take(report, now)
	for _, life := range report.Leaving {
		if h.config.View.SetLeaving(life) {
			h.config.Logger.Info().Str("server", life.ID).Int64("born", life.Born).Str("told_by", report.Node).Msg("server leaves, as it told a node")
		}
	}
	h.config.Notices.TellLimits(report.Limits, report.Node)
	h.Wake()
	after, limitsAfter := report.Version, report.LimitsVersion
	if report.Token != term.Token {
		after, limitsAfter = 0, 0
	}
	update := h.update(term, after, report.waitsFor(), now)
	update.LimitsBase = limitsAfter
	update.Limits, update.LimitsVersion = h.config.Notices.Limits(limitsAfter)
	update.Counters = h.countersUnknownTo(report)
	return update, true
}
