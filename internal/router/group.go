package router

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// hintLifetime is how long a load figure from elsewhere is believed; its
// weight falls to nothing over this time.
const hintLifetime = 5 * time.Second

// reportLag is how old the load figures in an owner's update may be: the lag of
// the engine's figures, the period of reading them, and the way.
const reportLag = 2 * time.Second

// group is the router's state of one base model or pool.
type group struct {
	snapshot *directory.Snapshot
	targets  []*target
	// byKey also holds targets that left the snapshot with requests in flight.
	byKey map[targetKey]*target
}

type targetKey struct {
	server outside.ServerID
	model  string
	slot   outside.SlotID
}

// target is the state of one endpoint.
type target struct {
	key      targetKey
	endpoint *directory.Endpoint
	inFlight int
	// others estimates the requests of other nodes, measured at measuredAt.
	others     float64
	measuredAt time.Time
	// grant is this node's part of the places, as of grantedAt.
	grant     int
	grantedAt time.Time
	// startedAt is when this node sent the newest request.
	startedAt  time.Time
	breaker    breaker
	server     *server
	prefixSalt uint64
}

// refresh brings the group to the newest snapshot; nil if nothing is known.
func (r *Router) refresh(shard *shard, name string, now time.Time) *group {
	snapshot := r.config.Source.Snapshot(name)
	known := shard.groups[name]
	if snapshot == nil {
		return known
	}
	if known == nil {
		known = &group{byKey: map[targetKey]*target{}}
		shard.groups[name] = known
	}
	if known.snapshot != snapshot {
		r.adopt(known, snapshot, now)
	}
	return known
}

// adopt takes a snapshot over and keeps the counts of endpoints known before.
func (r *Router) adopt(g *group, snapshot *directory.Snapshot, now time.Time) {
	g.snapshot = snapshot
	g.targets = make([]*target, 0, len(snapshot.Endpoints))
	for index := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[index]
		key := targetKey{server: endpoint.Server, model: endpoint.Model, slot: endpoint.Slot}
		known := g.byKey[key]
		if known == nil {
			known = &target{key: key, prefixSalt: saltOf(key), server: r.servers.use(key.server)}
			g.byKey[key] = known
		}
		known.endpoint = endpoint
		if snapshot.MeasuredAt.After(known.measuredAt) {
			r.learnReported(known, snapshot)
		}
		g.targets = append(g.targets, known)
	}
	r.forget(g, now)
}

// learnReported takes the lagging load figures of a snapshot. They grant places
// only if they can include all of this node's requests.
func (r *Router) learnReported(target *target, snapshot *directory.Snapshot) {
	load := target.endpoint.Running + target.endpoint.Queued
	target.learn(load, target.inFlight, snapshot.MeasuredAt)
	if snapshot.MeasuredAt.Sub(target.startedAt) >= reportLag {
		target.share(load, r.places(target), snapshot.Gateways, snapshot.MeasuredAt)
	}
}

// forget drops idle targets that are not in the snapshot.
func (r *Router) forget(g *group, now time.Time) {
	if len(g.byKey) == len(g.targets) {
		return
	}
	listed := make(map[targetKey]bool, len(g.targets))
	for _, target := range g.targets {
		listed[target.key] = true
	}
	for key, target := range g.byKey {
		if !listed[key] && target.inFlight == 0 && target.breaker.allows(now) {
			r.servers.leave(target.server)
			delete(g.byKey, key)
		}
	}
}

// learn takes a load figure that includes own requests of this node.
func (t *target) learn(total, own int, at time.Time) {
	t.others = float64(max(total-own, 0))
	t.measuredAt = at
}

// share grants this node its part of the places that a load figure, which
// includes its own requests, leaves free: the other gateways see the same.
func (t *target) share(load, places, gateways int, now time.Time) {
	t.grant = t.inFlight + divideUp(max(places-load, 0), gateways)
	t.grantedAt = now
}

// allows reports whether neither the endpoint nor its server rests, and if one
// does, when to look again; zero: when a probe of the endpoint ends.
func (t *target) allows(now time.Time) (allowed bool, retryAt time.Time) {
	if !t.breaker.allows(now) {
		return false, t.breaker.openUntil
	}
	return t.server.allows(now)
}

// othersAt is the estimate of other nodes' requests, fading with age.
func (t *target) othersAt(now time.Time) float64 {
	age := now.Sub(t.measuredAt)
	if t.others == 0 || age >= hintLifetime {
		return 0
	}
	if age <= 0 {
		return t.others
	}
	return t.others * (1 - float64(age)/float64(hintLifetime))
}

// limit is how many requests this node may have at the endpoint: what the
// others leave of its places, but at least this node's fair part and never less
// than one. If it is known how many gateways send requests, it is also no more
// than was granted by the newest load figure, so that the gateways together
// don't take the same free places several times over.
func (r *Router) limit(group *group, target *target, now time.Time) int {
	places := r.places(target)
	left := places - int(math.Ceil(target.othersAt(now)))
	gateways := group.snapshot.Gateways
	if gateways <= 0 {
		return max(left, divideUp(places, r.config.Gateways()), 1)
	}
	if now.Sub(target.grantedAt) >= hintLifetime {
		left = 0
	}
	return max(min(left, target.grant), divideUp(places, gateways), 1)
}

// places of an endpoint for all gateways together.
func (r *Router) places(target *target) int {
	return int(math.Ceil(float64(max(target.endpoint.MaxBatch, 1)) * r.config.Slack))
}

func divideUp(dividend, divisor int) int {
	divisor = max(divisor, 1)
	return (dividend + divisor - 1) / divisor
}

func (t *target) candidate(limit int, now time.Time) Candidate {
	return Candidate{
		Endpoint: t.endpoint,
		InFlight: t.inFlight,
		Limit:    limit,
		Others:   t.othersAt(now),
		Salt:     t.prefixSalt,
		target:   t,
	}
}
