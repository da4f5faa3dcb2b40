// Package retrybudget decides whether a node may retry a request: send an attempt beyond its
// first one.
//
// The retries of all nodes together are bounded in each window. A node first uses the retries
// that its own requests allow. Where the even share of the slack is small, the rest of the slack
// is taken from the count of the whole fleet; see Fleet.
package retrybudget

import (
	"context"
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/ratelimit"
	"github.com/hatchplank/hatchplank/internal/window"
)

// Limits bound the retries, that is, the attempts beyond the first of each request, of all nodes
// together in each window: Slack + Ratio * requests. They hold for each pool by itself.
type Limits struct {
	// Ratio is the number of retries that are allowed per request.
	Ratio float64
	// Slack is the number of retries that are allowed whatever the number of requests.
	Slack float64
	// Window over which requests and retries are counted.
	Window time.Duration
}

const (
	// fleetShare is the share of the slack that the fleet's count grants at most, whichever
	// counter nodes fail. While nodes reach the same counter nodes it grants 6/8 of that, 0.675
	// of the slack (ratelimit.Limit.Voted).
	fleetShare = 0.9
	// fewRetries is the even share of the slack, in retries per node and window, below which
	// the slack is counted for the whole fleet. With 222 retries for 91 nodes, 669 retries were
	// refused while most of the slack was unused.
	fewRetries = 4
	// minNodes is the number of nodes below which the slack is not counted for the whole fleet:
	// there are fewer counter nodes then, and no quorum after two of them failed.
	minNodes = ratelimit.MaxCounters
	// pausePerNode is the time per node for which a node asks no more after the fleet's count
	// refused, so that all nodes together ask at most 100 times a second: a counter node then
	// exchanges some 14 KB a second, and the fleet still asks several times as often as a slack
	// of 222 in 10 s yields retries.
	pausePerNode = 10 * time.Millisecond
	// maxPause bounds the time for which a node follows a refusal.
	maxPause = time.Second
	// switchMargin is how much longer than a window the slack is not used after a change of who
	// decides on it, since nodes learn the number of nodes at different times.
	switchMargin = 2 * time.Second
	// cutOffPause is the time for which a node asks no more after no quorum replied.
	cutOffPause = time.Second
)

// Fleet is the count of the slack over all nodes.
type Fleet interface {
	// Take asks for one retry out of slack retries in the window, and counts it if it is
	// granted. It replies soon enough for a request that waits for it.
	Take(ctx context.Context, retry Retry, slack float64, window time.Duration) Answer
}

// Retry is something to be decided on.
type Retry struct {
	Pool string
	// Rank is the urgency of the request, from 0 (most urgent) to 1.
	Rank float64
}

// Answer is the fleet's answer on a Retry.
type Answer struct {
	// Counted is false if too few counter nodes replied. Then the fleet granted nothing.
	Counted bool
	// Queued: the retry first waited for other retries of this node. If it is not counted, that does
	// not show that the counter nodes are out of reach.
	Queued  bool
	Allowed bool
	// RetryIn is the time until the count has capacity, if it is refused.
	RetryIn time.Duration
}

// Decider is who decided on a retry.
type Decider string

// The deciders.
const (
	// ByNode: this node's own allowance.
	ByNode Decider = "node"
	// ByFleet: the count over all nodes.
	ByFleet Decider = "fleet"
	// ByShare: this node's even share of the slack, as it reached no quorum of counter nodes.
	ByShare Decider = "share"
)

// Decision is the decision on a retry.
type Decision struct {
	Retry
	Allowed bool
	// By is empty if the request ended before there was a decision.
	By Decider
	// Asked: the counter nodes were asked for this retry.
	Asked bool
	// Used is the number of retries that this node allowed by itself, by its requests in the span and
	// from the slack in the window, and Own the number that it may allow.
	Used, Own float64
	// Basis is what Own was computed from.
	Basis Basis
}

// Basis is what a node's allowance is computed from.
type Basis struct {
	// Nodes that share the slack; 0 if their number is not known.
	Nodes int
	// Requests in the span, as counted by this process.
	Requests float64
	// Age is for how long this process has counted.
	Age time.Duration
}

// Config configures a Budget.
type Config struct {
	Limits Limits
	// Nodes that share the slack, until SetNodes is called; 0: not known. Then none of it is used.
	Nodes int
	// Fleet counts the slack over all nodes; nil: each node has its even share.
	Fleet Fleet
}

// pool counts the requests and retries of one pool at this node.
type pool struct {
	// requests, and what they allowed of the retries, in the span.
	requests, byRequests window.Sum
	// bySlack is what this node took from its share of the slack in the window. The fleet counts the
	// retries that it grants.
	bySlack window.Sum
	// refusedUntil is the time until which the fleet is not asked for retries of at least
	// refusedRank, as it just refused one.
	refusedUntil time.Time
	refusedRank  float64
	// cutOffUntil is the time until which the fleet is not asked, as no quorum replied.
	cutOffUntil time.Time
}

// Budget decides on a node's retries. It is safe for concurrent use.
type Budget struct {
	limits Limits
	fleet  Fleet
	// started is when this process began to count.
	started time.Time

	mutex sync.Mutex
	nodes int
	// nodesUntil is when nodes is too old for a share; zero: it is from the configuration.
	nodesUntil time.Time
	byPool     map[string]*pool
	// resumeAt is the time from which the slack is used again after it began or ceased to be counted
	// for the whole fleet.
	resumeAt time.Time
	// noEarlier is set if no earlier process of this node used the budget within the window.
	noEarlier bool
	// closed is set once no further retries are allowed.
	closed bool
}

// New returns a budget without requests.
func New(config Config) *Budget {
	return &Budget{
		limits: config.Limits, fleet: config.Fleet, started: time.Now(), nodes: config.Nodes, byPool: map[string]*pool{},
	}
}

// SetNoEarlierProcess is called when no earlier process of this node used the budget within the
// window. The process then may use as much as one that has counted for a window.
func (b *Budget) SetNoEarlierProcess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.noEarlier = true
}

// SetNodes sets the number of nodes that share the slack, for ShareLifetime. Where that changes who
// decides on it, it is not used for a window, except for the share of nodes without a quorum: the counter
// nodes don't know what the nodes allowed themselves, and the nodes not what the counter nodes granted to
// others.
func (b *Budget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	wasSet, wasShared := !b.nodesUntil.IsZero(), b.isShared()
	now := time.Now()
	b.nodes, b.nodesUntil = max(nodes, 1), now.Add(ShareLifetime)
	if wasSet && b.isShared() != wasShared {
		b.resumeAt = now.Add(b.limits.Window + switchMargin)
	}
}

// Nodes returns the number of nodes that share the slack; 0 if it is not known.
func (b *Budget) Nodes(now time.Time) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.sharingNodes(now)
}

// of returns the counts of a pool. The lock must be held.
func (b *Budget) of(name string, now time.Time) *pool {
	found := b.byPool[name]
	if found == nil {
		ofSpan := window.NewSum(b.limits.span(), now)
		found = &pool{requests: ofSpan, byRequests: ofSpan, bySlack: window.NewSum(b.limits.Window, now)}
		b.byPool[name] = found
	}
	return found
}

// Request counts a request of a caller.
func (b *Budget) Request(pool string, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.of(pool, now).requests.Add(1, now)
}

// isShared reports whether the slack is counted over all nodes. The lock must be held.
func (b *Budget) isShared() bool {
	return b.fleet != nil && b.nodes >= minNodes && b.limits.Slack > 0 && b.limits.Slack < fewRetries*float64(b.nodes)
}

// Take takes one retry from the budget if that allows it. It may wait for the fleet's answer.
func (b *Budget) Take(ctx context.Context, retry Retry, now time.Time) Decision {
	decision := b.decide(ctx, retry, now)
	decision.Basis = b.basis(retry.Pool, now)
	return decision
}

// basis returns what the allowance of a pool is computed from.
func (b *Budget) basis(pool string, now time.Time) Basis {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return Basis{Nodes: b.sharingNodes(now), Requests: b.of(pool, now).requests.Total(now), Age: now.Sub(b.started)}
}

// decide is Take without the basis of the decision.
func (b *Budget) decide(ctx context.Context, retry Retry, now time.Time) Decision {
	if decision, decided := b.takeOwn(retry, now); decided {
		return decision
	}
	answer := b.fleet.Take(ctx, retry, fleetShare*b.limits.Slack, b.limits.Window)
	if !answer.Counted && ctx.Err() != nil {
		// The request ended while the fleet was asked, which shows nothing about the fleet.
		return Decision{Retry: retry, Asked: true}
	}
	return b.apply(retry, answer, now)
}

// IsSpent reports whether this node would refuse a retry now, as far as it knows without asking others. It
// takes nothing.
func (b *Budget) IsSpent(retry Retry, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.of(retry.Pool, now)
	_, allowed, decided := b.ownAllowance(counts, retry, now)
	return decided && !counts.mayTake(allowed, now)
}

// takeOwn decides on a retry without the fleet; decided is false if the fleet has to be asked.
func (b *Budget) takeOwn(retry Retry, now time.Time) (decision Decision, decided bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.of(retry.Pool, now)
	by, allowed, decided := b.ownAllowance(counts, retry, now)
	if !decided {
		return Decision{}, false
	}
	return counts.take(retry, by, allowed, now), true
}

// ownAllowance returns what a retry may be taken from without asking the fleet, and who decides so; decided is
// false if the fleet has to be asked. The lock must be held.
func (b *Budget) ownAllowance(counts *pool, retry Retry, now time.Time) (by Decider, allowed allowance, decided bool) {
	all := b.allowances(counts, now)
	switch {
	case b.closed:
		return ByNode, allowance{}, true
	case now.Before(b.resumeAt):
		return ByNode, all.withoutQuorum, true
	case !b.isShared():
		return ByNode, all.withEvenShare, true
	case counts.mayTake(all.byRequests, now):
		return ByNode, all.byRequests, true
	case now.Before(counts.cutOffUntil):
		return ByShare, all.withoutQuorum, true
	case now.Before(counts.refusedUntil) && retry.Rank >= counts.refusedRank:
		return ByFleet, all.byRequests, true
	}
	return "", allowance{}, false
}

// apply decides on a retry after the fleet's answer.
func (b *Budget) apply(retry Retry, answer Answer, now time.Time) Decision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	counts := b.of(retry.Pool, now)
	allowed := b.allowances(counts, now)
	var decision Decision
	switch {
	case b.closed:
		decision = Decision{Retry: retry, By: ByNode, Used: counts.used(now)}
	case !answer.Counted:
		if !answer.Queued {
			counts.cutOffUntil = now.Add(cutOffPause)
		}
		decision = counts.take(retry, ByShare, allowed.withoutQuorum, now)
	default:
		if !answer.Allowed {
			counts.refuse(retry.Rank, b.pause(answer.RetryIn), now)
		}
		decision = Decision{Retry: retry, Allowed: answer.Allowed, By: ByFleet, Used: counts.used(now), Own: allowed.byRequests.total()}
	}
	decision.Asked = true
	return decision
}

// pause is how long the fleet is not asked after it refused. The lock must be held.
func (b *Budget) pause(retryIn time.Duration) time.Duration {
	return max(min(retryIn, maxPause), time.Duration(b.nodes)*pausePerNode)
}

// take allows a retry if the allowance has capacity. What the requests don't allow of it is taken from
// the slack.
func (p *pool) take(retry Retry, by Decider, allowed allowance, now time.Time) Decision {
	decision := Decision{Retry: retry, By: by, Used: p.used(now), Own: allowed.total()}
	if !p.mayTake(allowed, now) {
		return decision
	}
	byRequests := p.leftByRequests(allowed, now)
	p.byRequests.Add(byRequests, now)
	p.bySlack.Add(1-byRequests, now)
	decision.Allowed = true
	return decision
}

// mayTake reports whether the allowance has capacity for a retry.
func (p *pool) mayTake(allowed allowance, now time.Time) bool {
	bySlack := 1 - p.leftByRequests(allowed, now)
	return bySlack <= 0 || p.bySlack.Total(now)+bySlack <= allowed.slack
}

// leftByRequests is the part of a retry that the requests still allow, from 0 to 1.
func (p *pool) leftByRequests(allowed allowance, now time.Time) float64 {
	return min(max(allowed.byRequests-p.byRequests.Total(now), 0), 1)
}

// used is the number of retries that count against an allowance.
func (p *pool) used(now time.Time) float64 { return p.byRequests.Total(now) + p.bySlack.Total(now) }

// refuse records that the fleet refused a retry of the rank.
func (p *pool) refuse(rank float64, pause time.Duration, now time.Time) {
	if now.Before(p.refusedUntil) {
		rank = min(rank, p.refusedRank)
	}
	p.refusedUntil, p.refusedRank = now.Add(pause), rank
}
