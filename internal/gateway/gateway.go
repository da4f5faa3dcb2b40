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

// nodeBurstFactor is how many pools' bursts of retries a node saves up.
const nodeBurstFactor = 10

// Gateway implements Service. Its requests are divided into shards by base
// model or pool; each shard has its own lock, queues and timer.
type Gateway struct {
	config  Config
	shards  []*shard
	budget  retryBudget
	counter atomic.Uint64

	room room
	// nextDisplaced is the shard that gives way next.
	nextDisplaced atomic.Uint64

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
	// active rows have traffic of the last seconds.
	active   map[*rowDemand]bool
	counts   counts
	timers   timerHeap
	timer    clock.Timer
	armedFor time.Time
}

// New returns a gateway. The caller subscribes EndpointsChanged and
// PoolChanged to the directories, makes the gateway the directory's demand
// source and calls Tick.
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
	g.drain.open.Add(1)
	request.Priority = min(max(request.Priority, 0), priorities-1)
	entry := &entry{request: request, responder: responder}
	key, refusal := g.resolve(entry)
	entry.shard = g.shardOf(key)
	turn := entry.shard.begin()
	entry.shard.counts.submitted++
	if refusal != nil {
		entry.shard.refuse(entry, *refusal, turn)
	} else if entry.shard.admit(entry, key, turn) == roomNeeded {
		entry.shard.end(turn)
		g.makeRoom(&entry.request)
		turn = entry.shard.begin()
		entry.shard.decide(entry, turn, false)
	}
	entry.shard.end(turn)
	return entry.cancel
}

// resolve finds the row and base model, or the pool, of a request. The key
// names the group whose queue the request belongs to.
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

func baseOf(row table.Row) string {
	if row.Kind == table.KindAdapter {
		return row.Base
	}
	return row.Name
}

// routingOf is what the router must know of a request for the row. The version
// is that of the base model's weights.
func (g *Gateway) routingOf(row table.Row, prefix []byte) router.Request {
	routing := router.Request{Version: row.Version, PrefixHash: router.HashPrefix(prefix)}
	if row.Kind == table.KindAdapter {
		base, _ := g.config.Table.Row(row.Base)
		routing.Adapter = row.Name
		routing.Version = base.Version
	}
	return routing
}

// poolKey can't be the name of a row.
func poolKey(pool string) string { return "pool/" + pool }

func (g *Gateway) resolvePool(entry *entry) *result.Refusal {
	if g.config.Pools == nil || g.config.Pools.Snapshot(entry.request.Pool) == nil {
		return refusalf(result.UnknownPool, "there is no back-end pool %q", entry.request.Pool)
	}
	entry.claim.needed = entry.request.Key != "" || !entry.request.Repeatable
	return entry.checkKey()
}

func (e *entry) checkKey() *result.Refusal {
	if e.claim.needed && e.request.Key == "" {
		return refusalf(result.KeyRequired, "the request is not repeatable and has no idempotency key")
	}
	return nil
}

// resolveRow returns the row if the tenant may call it now.
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

// newAttempt returns an id that is never used again.
func (g *Gateway) newAttempt() outside.AttemptID {
	return outside.AttemptID(g.config.Node + "/" + strconv.FormatUint(g.counter.Add(1), 36))
}

// EndpointsChanged is called after the endpoints of a base model changed.
func (g *Gateway) EndpointsChanged(model string) { g.changed(model) }

// PoolChanged is called after the servers of a pool changed.
func (g *Gateway) PoolChanged(pool string) { g.changed(poolKey(pool)) }

func (g *Gateway) changed(key string) {
	shard := g.shardOf(key)
	turn := shard.begin()
	if group := shard.groups[key]; group != nil {
		shard.refuseUnreachable(group, turn)
		shard.dispatch(group, turn)
	}
	shard.end(turn)
}

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
