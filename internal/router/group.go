package router

import (
	"math"
	"time"

	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// reportedLoadTTL is how long a load figure that a server or the owner of a cell reported is
// used. Its weight falls linearly to zero over this time.
const reportedLoadTTL = 5 * time.Second

// maxReportLag is how old the load figures in an owner's update may be on arrival: the sum of
// the lag of the engine's figures, the period of polling them and the network latency.
const maxReportLag = 2 * time.Second

// group is the router's state for one base model or pool.
type group struct {
	snapshot *directory.Snapshot
	// targets holds the state of each endpoint in the snapshot, in the same order.
	targets []*target
	// byKey holds the targets by key, including those that are no longer in the snapshot but
	// have requests in flight or an open breaker.
	byKey map[targetKey]*target
}

// targetKey identifies an endpoint across snapshots.
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
	// othersInFlight is the estimated number of requests of other nodes at measuredAt.
	othersInFlight float64
	measuredAt     time.Time
	// grant is the number of requests that this node may have in flight by the load figures
	// of grantedAt.
	grant     int
	grantedAt time.Time
	// lastSentAt is when this node sent its latest request.
	lastSentAt time.Time
	breaker    breaker
	server     *serverState
	prefixSalt uint64
}

// refresh updates the group to the latest snapshot and returns it; nil if there never was a
// snapshot of it.
func (r *Router) refresh(shard *shard, name string, now time.Time) *group {
	snapshot := r.config.Source.Snapshot(name)
	existing := shard.groups[name]
	if snapshot == nil {
		return existing
	}
	if existing == nil {
		existing = &group{byKey: map[targetKey]*target{}}
		shard.groups[name] = existing
	}
	if existing.snapshot != snapshot {
		r.applySnapshot(existing, snapshot, now)
	}
	return existing
}

// applySnapshot replaces the group's endpoints. Endpoints that it had before keep their state.
func (r *Router) applySnapshot(g *group, snapshot *directory.Snapshot, now time.Time) {
	g.snapshot = snapshot
	g.targets = make([]*target, 0, len(snapshot.Endpoints))
	for index := range snapshot.Endpoints {
		endpoint := &snapshot.Endpoints[index]
		key := targetKey{server: endpoint.Server, model: endpoint.Model, slot: endpoint.Slot}
		current := g.byKey[key]
		if current == nil {
			current = &target{key: key, prefixSalt: endpointSalt(key), server: r.servers.acquire(key.server)}
			g.byKey[key] = current
		}
		current.endpoint = endpoint
		if snapshot.MeasuredAt.After(current.measuredAt) {
			r.applyReportedLoad(current, snapshot)
		}
		g.targets = append(g.targets, current)
	}
	r.removeUnlisted(g, now)
}

// applyReportedLoad updates the target's load from a snapshot, whose figures lag. The grant is
// renewed only if the figures are sure to include all requests of this node.
func (r *Router) applyReportedLoad(target *target, snapshot *directory.Snapshot) {
	load := target.endpoint.Running + target.endpoint.Queued
	target.setMeasuredLoad(load, target.inFlight, snapshot.MeasuredAt)
	if snapshot.MeasuredAt.Sub(target.lastSentAt) >= maxReportLag {
		target.updateGrant(load, r.sharedLimit(target), snapshot.Gateways, snapshot.MeasuredAt)
	}
}

// removeUnlisted removes the targets that are not in the snapshot, have no requests in flight
// and whose breaker is closed or half-open.
func (r *Router) removeUnlisted(g *group, now time.Time) {
	if len(g.byKey) == len(g.targets) {
		return
	}
	listed := make(map[targetKey]bool, len(g.targets))
	for _, target := range g.targets {
		listed[target.key] = true
	}
	for key, target := range g.byKey {
		if !listed[key] && target.inFlight == 0 && target.breaker.allows(now) {
			r.servers.release(target.server)
			delete(g.byKey, key)
		}
	}
}

// setMeasuredLoad estimates the requests of other nodes from a measured total that includes
// own requests of this node.
func (t *target) setMeasuredLoad(total, own int, at time.Time) {
	t.othersInFlight = float64(max(total-own, 0))
	t.measuredAt = at
}

// updateGrant grants this node its equal share of the free capacity, in addition to its own
// requests in flight, which load includes. The capacity is divided because all gateways see
// the same load figure.
func (t *target) updateGrant(load, sharedLimit, gateways int, now time.Time) {
	t.grant = t.inFlight + ceilDiv(max(sharedLimit-load, 0), gateways)
	t.grantedAt = now
}

// allows reports whether the breakers of the endpoint and its server let a request through,
// and if not, when to check again. That time may be past or zero while the endpoint is probed,
// as the probe's end is not known.
func (t *target) allows(now time.Time) (allowed bool, retryAt time.Time) {
	if !t.breaker.allows(now) {
		return false, t.breaker.openUntil
	}
	return t.server.allows(now)
}

// othersInFlightAt is the estimated number of requests of other nodes. It decays linearly with
// the age of the load figure.
func (t *target) othersInFlightAt(now time.Time) float64 {
	age := now.Sub(t.measuredAt)
	if t.othersInFlight == 0 || age >= reportedLoadTTL {
		return 0
	}
	if age <= 0 {
		return t.othersInFlight
	}
	return t.othersInFlight * (1 - float64(age)/float64(reportedLoadTTL))
}

// limit is the number of requests that this node may have in flight at the endpoint: what
// other nodes leave of the shared limit, but at least an equal share of it and never less than
// one. If the number of gateways that send requests is known, what exceeds the equal share is
// also bounded by the grant of the latest load figure, so that several gateways don't use the
// same free capacity at once.
func (r *Router) limit(group *group, target *target, now time.Time) int {
	sharedLimit := r.sharedLimit(target)
	remaining := sharedLimit - int(math.Ceil(target.othersInFlightAt(now)))
	gateways := group.snapshot.Gateways
	if gateways <= 0 {
		return max(remaining, ceilDiv(sharedLimit, r.config.Gateways()), 1)
	}
	if now.Sub(target.grantedAt) >= reportedLoadTTL {
		remaining = 0
	}
	return max(min(remaining, target.grant), ceilDiv(sharedLimit, gateways), 1)
}

// sharedLimit is the number of requests that all gateways together may have in flight at the
// endpoint.
func (r *Router) sharedLimit(target *target) int {
	return int(math.Ceil(float64(max(target.endpoint.MaxBatch, 1)) * r.config.Slack))
}

// ceilDiv divides and rounds up. A divisor below one counts as one.
func ceilDiv(dividend, divisor int) int {
	divisor = max(divisor, 1)
	return (dividend + divisor - 1) / divisor
}

// candidate returns the endpoint as a candidate without a score.
func (t *target) candidate(limit int, now time.Time) Candidate {
	return Candidate{
		Endpoint:       t.endpoint,
		InFlight:       t.inFlight,
		Limit:          limit,
		OthersInFlight: t.othersInFlightAt(now),
		Salt:           t.prefixSalt,
		target:         t,
	}
}
