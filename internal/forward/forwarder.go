package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/bytebudget"
	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/poison"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/retrybudget"
)

// Orders gives the plans of the order holder: the node that orders servers to load and unload
// models.
type Orders interface {
	// ReadyAt is the time at which a server is expected to hold what no server holds now. It
	// returns false if no load of it is planned.
	ReadyAt(key DemandKey) (time.Time, bool)
	// OrdersIn is the time until orders are given, zero where they are given now. It returns
	// false if no holder is known.
	OrdersIn() (time.Duration, bool)
}

// Config of a Forwarder.
type Config struct {
	View    *fleet.View
	Backend Backend
	// Orders may be nil: then no load is expected.
	Orders Orders
	// Quota enforces the limits of tenants over all nodes; nil: no limits.
	Quota Quota
	// Backoffs that servers requested from this node; nil: none.
	Backoffs Backoffs
	// Limits enforces the rate limits that servers announced; nil: none.
	Limits Limits
	// Origins keeps where streams began; nil: a stream that its caller resumes continues at any server.
	Origins StreamOrigins
	// Observations holds what nodes observe of servers; nil: nothing is recorded.
	Observations *observation.Table
	// Poison quarantines requests that crash servers; nil: none is quarantined.
	Poison PoisonGuard
	// Connect tests whether a process listens at a server's address. With it, servers that other
	// nodes found unreachable are avoided and checked; nil: they are not.
	Connect func(ctx context.Context, address string) error
	// CheckIncarnation tests whether the incarnation of a server still answers. Its error is
	// ErrOtherIncarnation if another one does, and ErrIncarnationUnknown if that can't be told; nil: it is
	// never known.
	CheckIncarnation func(ctx context.Context, server *fleet.Server) error
	// Indirect reports whether the server at an address is reached through another node; nil: none is.
	Indirect func(address string) bool
	// OnSuspicionCheck is called with each such check; nil: not called.
	OnSuspicionCheck func(SuspicionCheck)
	// Random returns numbers from 0 up to 1, with which servers are drawn; nil: those of
	// math/rand/v2.
	Random func() float64
	// Records are as old as the servers' records in the view; nil: always current.
	Records Records
	// OnRecordCheck is called with the outcome of each check of an outdated record; nil: not called.
	OnRecordCheck func(RecordCheck)
	// OnUnframedEnd is called with the state of its server when an unframed response has ended; nil: not called.
	OnUnframedEnd func(ServerState)
	// MayBeStale reports whether a newer configuration than the one in force may exist; nil:
	// never.
	MayBeStale func() bool
	// Zone of this node.
	Zone   string
	Budget BudgetLimits
	// Nodes that share the budget until its SetNodes is called; 0: not known.
	Nodes int
	// Fleet counts the slack of the budget over all nodes; nil: each node has its even share.
	Fleet retrybudget.Fleet
	// OnRetry is called with each decision of the budget on a retry; nil: not called.
	OnRetry func(*Request, retrybudget.Decision)
	// Observe is called with each attempt that failed; nil: not called.
	Observe func(Observation)
	// LongRunning is called once for each request that is still in flight after a second; nil:
	// not called.
	LongRunning func(LongRunning)
	// Memory limits the bytes of responses that are not passed on yet; nil: no limit.
	Memory *bytebudget.Budget
}

// Observation describes an attempt that failed, for logs and metrics.
type Observation struct {
	Request *Request
	Server  string
	// Number of the attempt within the request, from 1.
	Number  int
	Failure *AttemptError
	// WillRetry: the request goes on at another server.
	WillRetry bool
}

// Forwarder routes requests to servers. It is safe for concurrent use.
type Forwarder struct {
	view       *fleet.View
	backend    Backend
	orders     Orders
	quota      Quota
	backoffs   Backoffs
	limits     Limits
	poison     PoisonGuard
	records    Records
	origins    StreamOrigins
	mayBeStale func() bool
	// onRecordCheck is called for each check of an outdated record.
	onRecordCheck func(RecordCheck)
	onUnframedEnd func(ServerState)
	// observations is nil without a table.
	observations     *observation.Table
	random           func() float64
	connect          func(ctx context.Context, address string) error
	checkIncarnation func(ctx context.Context, server *fleet.Server) error
	indirect         func(address string) bool
	onSuspicionCheck func(SuspicionCheck)
	zone             string
	tracker          *tracker
	turns            *turns
	budgets          *retrybudget.Budget
	onRetry          func(*Request, retrybudget.Decision)
	demand           *demandTable
	priorities       *priorityMix
	observe          func(Observation)
	// longRunning is called for a request that takes long.
	longRunning func(LongRunning)
	memory      *bytebudget.Budget
	// sequence is the number of requests so far, by which a route picks among its pools.
	sequence atomic.Uint64
	// started is the time of New.
	started time.Time

	// drainUntil is the time by which the last request must be sent, on the monotonic clock,
	// since the time of day may jump; nil while the node is not stopping.
	drainUntil atomic.Pointer[time.Time]
	// lifetime ends with Close.
	lifetime context.Context
	cancel   context.CancelFunc
}

// New returns a forwarder with the configuration.
func New(config Config) *Forwarder {
	if config.Observe == nil {
		config.Observe = func(Observation) {}
	}
	if config.MayBeStale == nil {
		config.MayBeStale = func() bool { return false }
	}
	if config.Backoffs == nil {
		config.Backoffs = noBackoffs{}
	}
	if config.Limits == nil {
		config.Limits = NoLimits{}
	}
	if config.Poison == nil {
		config.Poison = noPoison{}
	}
	if config.Origins == nil {
		config.Origins = noOrigins{}
	}
	if config.Records == nil {
		config.Records = currentRecords{}
	}
	if config.OnUnframedEnd == nil {
		config.OnUnframedEnd = func(ServerState) {}
	}
	if config.OnRecordCheck == nil {
		config.OnRecordCheck = func(RecordCheck) {}
	}
	if config.OnSuspicionCheck == nil {
		config.OnSuspicionCheck = func(SuspicionCheck) {}
	}
	if config.Indirect == nil {
		config.Indirect = func(string) bool { return false }
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.OnRetry == nil {
		config.OnRetry = func(*Request, retrybudget.Decision) {}
	}
	if config.LongRunning == nil {
		config.LongRunning = func(LongRunning) {}
	}
	lifetime, cancel := context.WithCancel(context.Background())
	return &Forwarder{
		lifetime: lifetime, cancel: cancel, started: time.Now(),
		view: config.View, backend: config.Backend, orders: config.Orders, quota: config.Quota, backoffs: config.Backoffs, limits: config.Limits, poison: config.Poison, records: config.Records, origins: config.Origins, onRecordCheck: config.OnRecordCheck, onUnframedEnd: config.OnUnframedEnd, mayBeStale: config.MayBeStale, observations: config.Observations, random: config.Random, connect: config.Connect, checkIncarnation: config.CheckIncarnation, indirect: config.Indirect, onSuspicionCheck: config.OnSuspicionCheck, zone: config.Zone,
		tracker: newTracker(), turns: newTurns(), demand: newDemandTable(), priorities: newPriorityMix(),
		budgets: retrybudget.New(retrybudget.Config{Limits: config.Budget, Nodes: config.Nodes, Fleet: config.Fleet}), onRetry: config.OnRetry,
		observe: config.Observe, longRunning: config.LongRunning, memory: config.Memory,
	}
}

// RetryBudget returns the budget of retries.
func (f *Forwarder) RetryBudget() *retrybudget.Budget { return f.budgets }

// Drain refuses, from now on, the requests that can't be sent before the time.
func (f *Forwarder) Drain(until time.Time) {
	f.drainUntil.Store(&until)
	f.tracker.notifyFreed()
}

// PathsChanged is called after servers have become reachable by another path: failed connections show
// nothing of them any more.
func (f *Forwarder) PathsChanged() {
	f.tracker.endPauses()
	f.tracker.notifyFreed()
}

// Close ends all requests in flight at once, each with its final answer.
func (f *Forwarder) Close() { f.cancel() }

// Demand returns the demand of this node's requests, in order of key.
func (f *Forwarder) Demand() []Demand { return f.demand.snapshot() }

// DemandAdded returns a channel that receives a value after requests began to wait for a model
// or adapter, or were refused because no server holds it.
func (f *Forwarder) DemandAdded() <-chan struct{} { return f.demand.added }

// Prune discards the loads of servers that are not in the view any more. It is to be called
// periodically.
func (f *Forwarder) Prune() {
	servers := f.view.Load().Servers
	f.tracker.prune(func(id string) bool { return servers[id] != nil })
}

// Serve routes the request to a server and passes the response to the responder. If the outcome
// is without HeadSent, nothing was passed on, and the caller of Serve has to answer it.
func (f *Forwarder) Serve(ctx context.Context, request *Request, responder Responder) Outcome {
	snapshot := f.view.Load()
	if snapshot.Configuration == nil {
		return Outcome{Code: result.NodeNotReady, Reason: "no configuration yet", RetryAfter: f.readyDelay(time.Now())}
	}
	route := snapshot.Configuration.Match(request.Host, request.Path)
	if route == nil {
		return Outcome{Code: result.UnknownPath, Reason: "no route"}
	}
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(f.lifetime, func() { stop(errNodeStopped) })()
	trial, refusal := f.poison.Admit(ctx, poison.Request{Identity: request.Identity, Parts: request.SharedParts}, f.deadlineOf(request, route))
	if refusal != nil {
		return refusePoison(*refusal, route)
	}
	if refusal := f.admitTenant(ctx, snapshot.Configuration, route, request); refusal != nil {
		f.poison.EndTrial(trial, false)
		return *refusal
	}
	flow := f.newFlow(request, route)
	flow.trial = trial
	defer func() { f.poison.EndTrial(trial, flow.trialSent) }()
	if refusal := f.bindOrigin(ctx, flow); refusal != nil {
		f.returnQuota(request)
		return *refusal
	}
	flow.priority = snapshot.Configuration.Priority(route, request.Tenant)
	ctx, cancel := context.WithDeadline(ctx, flow.deadline)
	defer cancel()
	f.budgets.Request(flow.pool, request.Accepted)
	f.recordArrival(flow)
	defer f.watchLongRunning(flow)()
	defer f.keepOriginKnown(ctx, flow)()
	outcome := f.run(ctx, flow, responder)
	if outcome.Ran == result.RanNo {
		f.returnQuota(request)
	}
	return *outcome
}

// deadlineOf returns the time after which the response is of no use.
func (f *Forwarder) deadlineOf(request *Request, route *fleet.Route) time.Time {
	deadline := request.Accepted.Add(route.Timeout)
	if !request.Deadline.IsZero() && request.Deadline.Before(deadline) {
		return request.Deadline
	}
	return deadline
}

// readyDelay is the Retry-After of a node without a configuration: as long as the node has waited
// for one. Nothing shows when it will come, but a long wait so far makes a further long one likely.
func (f *Forwarder) readyDelay(now time.Time) time.Duration {
	return max(now.Sub(f.started), minReadyDelay)
}

// run sends attempts until one of them determines the outcome.
func (f *Forwarder) run(ctx context.Context, flow *flow, responder Responder) *Outcome {
	var target *candidate
	for {
		if target == nil {
			var refusal *Outcome
			if target, refusal = f.nextTarget(ctx, flow); refusal != nil {
				return refusal
			}
		}
		var outcome *Outcome
		if outcome, target = f.attempt(ctx, flow, target, responder); outcome != nil {
			return outcome
		}
	}
}

// nextTarget waits for a server that can take the request, and takes a retry from the budget
// unless no server was reached yet.
func (f *Forwarder) nextTarget(ctx context.Context, flow *flow) (*candidate, *Outcome) {
	target, refusal := f.acquire(ctx, flow)
	if refusal != nil {
		return nil, refusal
	}
	if flow.attempts == 0 {
		flow.held = time.Since(flow.request.Accepted)
	}
	if !flow.maySend && !f.takeRetry(ctx, flow) {
		f.release(flow, target, nil)
		if ctx.Err() != nil {
			return nil, f.cancellationOutcome(ctx, flow)
		}
		return nil, f.giveUp(flow, "retry budget is spent", result.RetryBudgetSpent)
	}
	flow.maySend = true
	return target, nil
}

// giveUp returns the outcome of a request that is not tried again: StreamBroken if its head was
// sent, otherwise a refusal.
func (f *Forwarder) giveUp(flow *flow, reason string, code result.Code) *Outcome {
	if flow.headSent {
		outcome := flow.outcome(result.StreamBroken, reason)
		outcome.Broken = true
		return outcome
	}
	outcome := flow.refuse(code, reason)
	if flow.ran == result.RanNo {
		outcome.RetryAfter = max(baseDelay, f.remainingBackoff(flow, time.Now()))
	}
	return outcome
}

// errNodeStopped cancels the requests in flight on Close.
var errNodeStopped = errors.New("the node ends")

// cancellationOutcome is the outcome of a request whose context is done: its caller left, the node
// stops, or the deadline passed.
func (f *Forwarder) cancellationOutcome(ctx context.Context, flow *flow) *Outcome {
	if errors.Is(context.Cause(ctx), errNodeStopped) {
		return f.giveUp(flow, errNodeStopped.Error(), result.NodeDraining)
	}
	if time.Now().Before(flow.deadline) && ctx.Err() == context.Canceled {
		return flow.outcome(result.CallerGone, "the caller closed the connection")
	}
	outcome := flow.outcome(result.DeadlinePassed, "the time is over")
	outcome.Broken = flow.headSent
	return outcome
}
