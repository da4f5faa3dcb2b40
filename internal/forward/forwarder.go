package forward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/result"
)

// Orders tells what the holder of orders plans.
type Orders interface {
	// ReadyAt is when a model that no server holds is expected at one.
	ReadyAt(key DemandKey) (time.Time, bool)
	// OrdersIn is the time until orders are given, zero where they are now. It
	// returns false if no node is known to give any.
	OrdersIn() (time.Duration, bool)
}

// Config of a Forwarder.
type Config struct {
	View    *fleet.View
	Backend Backend
	// Orders may be nil: then nothing is expected to be loaded.
	Orders Orders
	// Quota bounds what tenants get over all nodes; nil: nothing is bounded.
	Quota Quota
	// Backoffs are what servers asked this node for; nil: none did.
	Backoffs Backoffs
	// Limits keep what is sent to servers within the limits that they named; nil: none did.
	Limits Limits
	// Poison keeps requests that end servers away from them; nil: nothing does.
	Poison PoisonGuard
	// MayBeStale reports whether a newer configuration may exist than the one in force;
	// nil: never.
	MayBeStale func() bool
	// Zone of this node.
	Zone   string
	Budget BudgetLimits
	// Nodes that share the budget, until SetNodes tells.
	Nodes int
	// Observe is called with each attempt that ended; nil: not called.
	Observe func(Observation)
	// LongRunning is called once for each request that takes long, before it ends; nil:
	// not called.
	LongRunning func(LongRunning)
}

// Observation tells of one attempt that ended, for logs and metrics.
type Observation struct {
	Request *Request
	Server  string
	Number  int
	// Failure is nil for an attempt that was answered.
	Failure   *AttemptError
	WillRetry bool
}

// Forwarder serves requests. It is safe for concurrent use.
type Forwarder struct {
	view     *fleet.View
	backend  Backend
	orders   Orders
	quota    Quota
	backoffs Backoffs
	limits   Limits
	poison   PoisonGuard
	behind   func() bool
	zone     string
	tracker  *tracker
	budgets  *budgets
	demand   *demandTable
	observe  func(Observation)
	// underWay is called for a request that takes long.
	underWay func(LongRunning)
	numbers  atomic.Uint64
	// started is when this node did.
	started time.Time

	// drainUntil is when the last request may be sent, on the steady clock, since
	// the time of day may jump; nil while the node is not stopping.
	drainUntil atomic.Pointer[time.Time]
	// life ends when the node does.
	life context.Context
	end  context.CancelFunc

	patienceMutex sync.Mutex
	// patience is the longest time that callers of a route gave.
	patience map[string]time.Duration
}

// New returns a forwarder.
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
	if config.LongRunning == nil {
		config.LongRunning = func(LongRunning) {}
	}
	life, end := context.WithCancel(context.Background())
	return &Forwarder{
		life: life, end: end, started: time.Now(),
		view: config.View, backend: config.Backend, orders: config.Orders, quota: config.Quota, backoffs: config.Backoffs, limits: config.Limits, poison: config.Poison, behind: config.MayBeStale, zone: config.Zone,
		tracker: newTracker(), budgets: newBudgets(config.Budget, config.Nodes), demand: newDemandTable(),
		observe: config.Observe, underWay: config.LongRunning, patience: map[string]time.Duration{},
	}
}

// SetNodes tells how many nodes share the retry budget.
func (f *Forwarder) SetNodes(nodes int) { f.budgets.setNodes(nodes) }

// Drain refuses, from now on, the requests that can't be sent until the time.
func (f *Forwarder) Drain(until time.Time) {
	f.drainUntil.Store(&until)
	f.tracker.free()
}

// Close gives all requests their final answer at once.
func (f *Forwarder) Close() { f.end() }

// Demand returns what this node's callers ask for.
func (f *Forwarder) Demand() []Demand { return f.demand.snapshot() }

// DemandAdded receives after requests began to wait for a model or adapter.
func (f *Forwarder) DemandAdded() <-chan struct{} { return f.demand.wanted }

// Prune forgets servers that are gone. It is called now and then.
func (f *Forwarder) Prune() {
	servers := f.view.Load().Servers
	f.tracker.keep(func(id string) bool { return servers[id] != nil })
}

// Serve gives the request its one final answer, or returns an outcome without
// Begun, which the caller of Serve has to answer.
func (f *Forwarder) Serve(ctx context.Context, request *Request, responder Responder) Outcome {
	snapshot := f.view.Load()
	if snapshot.Configuration == nil {
		return Outcome{Code: result.NodeNotReady, Reason: "no configuration yet", RetryAfter: f.readyDelay(request, time.Now())}
	}
	route := snapshot.Configuration.Match(request.Host, request.Path)
	if route == nil {
		return Outcome{Code: result.UnknownPath, Reason: "no route"}
	}
	if entry, held := f.poison.Held(request.Identity); held {
		return refusePoison(entry, route)
	}
	if refusal := f.admitTenant(ctx, snapshot.Configuration, route, request); refusal != nil {
		return *refusal
	}
	flow := f.newFlow(request, route)
	flow.priority = snapshot.Configuration.Priority(route, request.Tenant)
	ctx, cancel := context.WithDeadline(ctx, flow.deadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(f.life, func() { stop(errNodeEnds) })()
	f.budgets.request(flow.pool, request.Accepted)
	f.demand.arrived(flow.key())
	defer f.tellUnderWay(flow)()
	outcome := f.run(ctx, flow, responder)
	if outcome.Ran == result.RanNo {
		f.returnQuota(request)
	}
	return *outcome
}

// readyDelay is when a caller may come back to a node that knows no configuration.
// Nothing tells when it will; having waited long, it will probably wait long.
func (f *Forwarder) readyDelay(request *Request, now time.Time) time.Duration {
	delay := max(now.Sub(f.started), shortestReadyDelay)
	if request.Deadline.IsZero() {
		return delay
	}
	return min(delay, time.Duration(retryShare*float64(request.Deadline.Sub(now))))
}

// run sends attempts until one of them ends the request.
func (f *Forwarder) run(ctx context.Context, flow *flow, responder Responder) *Outcome {
	var place *candidate
	for {
		if place == nil {
			var refusal *Outcome
			if place, refusal = f.nextPlace(ctx, flow); refusal != nil {
				return refusal
			}
		}
		var outcome *Outcome
		if outcome, place = f.attempt(ctx, flow, place, responder); outcome != nil {
			return outcome
		}
	}
}

// nextPlace waits for a place and takes what it needs of the retry budget.
func (f *Forwarder) nextPlace(ctx context.Context, flow *flow) (*candidate, *Outcome) {
	place, refusal := f.acquire(ctx, flow)
	if refusal != nil {
		return nil, refusal
	}
	if flow.sent == 0 {
		flow.held = time.Since(flow.request.Accepted)
	} else if !f.budgets.repeat(flow.pool, time.Now()) {
		f.release(flow, place, nil)
		return nil, f.giveUp(flow, "retry budget is spent", result.RetryBudgetSpent)
	}
	return place, nil
}

// giveUp ends a request that can't be tried again.
func (f *Forwarder) giveUp(flow *flow, reason string, refused result.Code) *Outcome {
	if flow.begun {
		outcome := flow.outcome(result.StreamBroken, reason)
		outcome.Broken = true
		return outcome
	}
	outcome := flow.refuse(refused, reason)
	if flow.ran == result.RanNo {
		now := time.Now()
		outcome.RetryAfter = flow.retryAfter(max(quietDelay, f.backoffLeft(flow, now)), now)
	}
	return outcome
}

// errNodeEnds ends what runs when the node does.
var errNodeEnds = errors.New("the node ends")

// ended is the outcome when the caller is gone, the node ends or the time is over.
func (f *Forwarder) ended(ctx context.Context, flow *flow) *Outcome {
	if errors.Is(context.Cause(ctx), errNodeEnds) {
		return f.giveUp(flow, errNodeEnds.Error(), result.NodeDraining)
	}
	if time.Now().Before(flow.deadline) && ctx.Err() == context.Canceled {
		return flow.outcome(result.CallerGone, "the caller closed the connection")
	}
	outcome := flow.outcome(result.DeadlinePassed, "the time is over")
	outcome.Broken = flow.begun
	return outcome
}
