package router

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/platform"
)

// hintLifetime is how long a load figure from elsewhere is believed; its
// weight falls to nothing over this time.
const hintLifetime = 5 * time.Second

// group is the router's state of one base model or pool.
type group struct {
	snapshot *directory.Snapshot
	targets  []*target
	// byKey also holds targets that left the snapshot with requests in flight.
	byKey map[targetKey]*target
}

type targetKey struct {
	server platform.ServerID
	model  string
	slot   platform.SlotID
}

// target is the state of one endpoint.
type target struct {
	key      targetKey
	endpoint *directory.Endpoint
	inFlight int
	// others estimates the requests of other nodes, measured at measuredAt.
	others     float64
	measuredAt time.Time
	breaker    breaker
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
		known.adopt(snapshot, now)
	}
	return known
}

// adopt takes a snapshot over and keeps the counts of endpoints known before.
func (g *group) adopt(snapshot *directory.Snapshot, now time.Time) {
	g.snapshot = snapshot
	g.targets = make([]*target, 0, len(snapshot.Endpoints))
	for index := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[index]
		key := targetKey{server: endpoint.Server, model: endpoint.Model, slot: endpoint.Slot}
		known := g.byKey[key]
		if known == nil {
			known = &target{key: key, prefixSalt: saltOf(key)}
			g.byKey[key] = known
		}
		known.endpoint = endpoint
		if snapshot.MeasuredAt.After(known.measuredAt) {
			known.learn(endpoint.Running+endpoint.Queued, known.inFlight, snapshot.MeasuredAt)
		}
		g.targets = append(g.targets, known)
	}
	g.forget(now)
}

// forget drops idle targets that are not in the snapshot.
func (g *group) forget(now time.Time) {
	if len(g.byKey) == len(g.targets) {
		return
	}
	listed := make(map[targetKey]bool, len(g.targets))
	for _, target := range g.targets {
		listed[target.key] = true
	}
	for key, target := range g.byKey {
		if !listed[key] && target.inFlight == 0 && target.breaker.allows(now) {
			delete(g.byKey, key)
		}
	}
}

// learn takes a load figure that includes own requests of this node.
func (t *target) learn(total, own int, at time.Time) {
	t.others = float64(max(total-own, 0))
	t.measuredAt = at
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
// others leave of the batch with its slack, but at least this node's fair part
// and never less than one.
func (r *Router) limit(target *target, now time.Time) int {
	total := math.Ceil(float64(max(target.endpoint.MaxBatch, 1)) * r.config.Slack)
	fair := math.Ceil(total / float64(max(r.config.Gateways(), 1)))
	left := total - math.Ceil(target.othersAt(now))
	return int(max(left, fair, 1))
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
