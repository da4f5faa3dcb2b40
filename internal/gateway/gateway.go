package gateway

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/result"
	"github.com/hatchplank/hatchplank/internal/router"
	"github.com/hatchplank/hatchplank/internal/table"
)

// nodeBurstFactor is the burst of the node's retry budget, as a multiple of the
// burst of one group's budget.
const nodeBurstFactor = 10

// Gateway implements Service. Its requests are divided into shards by base
// model or pool; each shard has its own lock, queues and timer.
type Gateway struct {
	config  Config
	shards  []*shard
	budget  retryBudget
	counter atomic.Uint64

	queueUsage queueUsage
	// nextDisplacementShard counts displacements; modulo the number of shards it
	// is the shard that is searched first for a request to displace.
	nextDisplacementShard atomic.Uint64

	drain drainState
	// revision of the table last checked against the queues.
	revision atomic.Int64
}

// shard is an independently locked part of the gateway.
type shard struct {
	gateway *Gateway

	mutex  sync.Mutex
	random *rand.Rand
	groups map[string]*group
	// byPriority counts the waiting requests.
	byPriority [priorities]int
	// active are the rows with waiting, running or recent requests (activeWindow).
	active map[*rowDemand]bool
	counts counts
	timers timerHeap
	// timer fires at armedFor, when the earliest item of timers is due or before; nil
	// if it is not set.
	timer    clock.Timer
	armedFor time.Time
}

// New returns a gateway. The caller must subscribe EndpointsChanged and
// PoolChanged to the directories, register the gateway as the directory's demand
// source, and call Tick about once a second.
func New(config Config) *Gateway {
	config.Limits = config.Limits.withDefaults()
	gateway := &Gateway{
		config: config,
		budget: newRetryBudget(config.Limits.RetryRatio, config.Limits.RetryBurst*nodeBurstFactor),
	}
	for range config.Limits.Shards {
		gateway.shards = append(gateway.shards, &shard{
			gateway: gateway,
			random:  rand.New(rand.NewPCG(config.Random.Uint64(), config.Random.Uint64())),
			groups:  map[string]*group{},
			active:  map[*rowDemand]bool{},
			counts:  counts{refused: map[result.Code]uint64{}},
		})
	}
	return gateway
}

func (g *Gateway) shardOf(key string) *shard {
	return g.shards[xxhash.Sum64String(key)%uint64(len(g.shards))]
}

// Submit implements Service.
func (g *Gateway) Submit(request Request, responder Responder) func() {
	g.drain.openWork.Add(1)
	request.Priority = min(max(request.Priority, 0), priorities-1)
	entry := &entry{request: request, responder: responder}
	key, refusal := g.resolve(entry)
	entry.shard = g.shardOf(key)
	section := entry.shard.lock()
	entry.shard.counts.submitted++
	if refusal != nil {
		entry.shard.refuse(entry, *refusal, section)
	} else if entry.shard.admit(entry, key, section) == displacementNeeded {
		entry.shard.unlock(section)
		g.displaceFor(&entry.request)
		section = entry.shard.lock()
		entry.shard.decide(entry, section, false)
	}
	entry.shard.unlock(section)
	return entry.cancel
}

// resolve looks up the row and base model, or the pool, of a request. The key
// identifies the group whose queue the request belongs to.
func (g *Gateway) resolve(entry *entry) (key string, refusal *result.Refusal) {
	if entry.isPool() {
		return poolKey(entry.request.Pool), g.resolvePool(entry)
	}
	row, refusal := g.resolveRow(entry.request.Model, entry.request.Tenant)
	if refusal != nil {
		return entry.request.Model, refusal
	}
	entry.row = row
	entry.claim.needed = !entry.request.Repeatable || !row.Repeatable
	entry.stream.routing = g.routingOf(row, entry.request.Prefix)
	return baseOf(row), entry.checkKey()
}

// baseOf returns the name of the base model that serves a row: an adapter's base,
// otherwise the row itself.
func baseOf(row table.Row) string {
	if row.Kind == table.KindAdapter {
		return row.Base
	}
	return row.Name
}

// routingOf returns the routing constraints of a request for the row. The
// version is that of the base model's weights.
func (g *Gateway) routingOf(row table.Row, prefix []byte) router.Request {
	routing := router.Request{Version: row.Version, PrefixHash: router.HashPrefix(prefix)}
	if row.Kind == table.KindAdapter {
		base, _ := g.config.Table.Row(row.Base)
		routing.Adapter = row.Name
		routing.Version = base.Version
	}
	return routing
}

// poolKey returns the group key of a pool. Names of rows contain no slash, so
// it can't collide with one.
func poolKey(pool string) string { return "pool/" + pool }

func (g *Gateway) resolvePool(entry *entry) *result.Refusal {
	if g.config.Pools == nil || g.config.Pools.Snapshot(entry.request.Pool) == nil {
		return refusalf(result.UnknownPool, "there is no back-end pool %q", entry.request.Pool)
	}
	entry.claim.needed = entry.request.Key != "" || !entry.request.Repeatable
	return entry.checkKey()
}

// checkKey refuses a request that needs a claim but has no idempotency key.
func (e *entry) checkKey() *result.Refusal {
	if e.claim.needed && e.request.Key == "" {
		return refusalf(result.KeyRequired, "the request is not repeatable and has no idempotency key")
	}
	return nil
}

// resolveRow returns the row, or a refusal if the tenant may not call it now.
func (g *Gateway) resolveRow(name, tenant string) (table.Row, *result.Refusal) {
	row, known := g.config.Table.Row(name)
	if !known || (row.Tenant != "" && row.Tenant != tenant) {
		return row, refusalf(result.UnknownModel, "there is no model %q", name)
	}
	if row.MaxReplicas == 0 {
		return row, refusalf(result.ModelDisabled, "the row %q allows no replica", name)
	}
	if row.Kind != table.KindAdapter {
		return row, nil
	}
	base, known := g.config.Table.Row(row.Base)
	if !known || base.MaxReplicas == 0 {
		return row, refusalf(result.ModelDisabled, "the base model of %q allows no replica", name)
	}
	return row, nil
}

func refusalf(code result.Code, format string, arguments ...any) *result.Refusal {
	refusal := result.Refuse(code, format, arguments...)
	return &refusal
}

// newAttempt returns an attempt id that is unique across nodes and
// incarnations, since Node is.
func (g *Gateway) newAttempt() outside.AttemptID {
	return outside.AttemptID(g.config.Node + "/" + strconv.FormatUint(g.counter.Add(1), 36))
}

// EndpointsChanged dispatches waiting requests after the endpoints of a base
// model changed.
func (g *Gateway) EndpointsChanged(model string) { g.groupChanged(model) }

// PoolChanged dispatches waiting requests after the servers of a pool changed.
func (g *Gateway) PoolChanged(pool string) { g.groupChanged(poolKey(pool)) }

func (g *Gateway) groupChanged(key string) {
	shard := g.shardOf(key)
	section := shard.lock()
	if group := shard.groups[key]; group != nil {
		shard.refuseUnreachableDeadlines(group, section)
		shard.dispatch(group, section)
	}
	shard.unlock(section)
}

// reject reports an endpoint that must not get new requests to the directory that
// lists it.
func (g *Gateway) reject(rejected rejection) {
	switch {
	case rejected.pool && rejected.leaving:
		g.config.Pools.MarkLeaving(rejected.server)
	case rejected.leaving:
		g.config.Directory.MarkLeaving(rejected.server)
	case !rejected.pool:
		g.config.Directory.Invalidate(rejected.model, rejected.server, rejected.slot)
	}
}
