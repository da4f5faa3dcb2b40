// Package router selects the endpoint for a request: filters exclude the endpoints that can't
// serve it, scorers rate the others, and a picker selects one of these.
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hatchplank/hatchplank/internal/clock"
	"github.com/hatchplank/hatchplank/internal/directory"
	"github.com/hatchplank/hatchplank/internal/outside"
)

// shardCount is the number of independently locked shards of the router.
const shardCount = 16

// Request holds the properties of a request that the selection depends on.
type Request struct {
	// Adapter is the adapter that must be ready on the endpoint; empty if none is needed.
	Adapter string
	// Version is the preferred model version.
	Version string
	// PinnedVersion is the required model version, that of the stream that the request
	// continues; empty if any version will do.
	PinnedVersion string
	// PrefixHash is the hash of the prompt's prefix; 0 if it has none.
	PrefixHash uint64
	// Avoid is a server that failed this request. It is used only if there is no other.
	Avoid outside.ServerID
}

// Verdict is the kind of result of Pick.
type Verdict uint8

// Verdicts of Pick.
const (
	// Reserved means that a request slot was reserved; Done must be called for it.
	Reserved Verdict = iota
	// Full means that no endpoint accepts the request now, and at least one of those that can
	// serve it doesn't because this node has reached its limit there.
	Full
	// CircuitOpen means that the circuit breakers of all endpoints that can serve the request
	// are open.
	CircuitOpen
	// NoEndpoint means that no endpoint can serve the request.
	NoEndpoint
)

// Choice is the result of Pick.
type Choice struct {
	Verdict     Verdict
	Reservation Reservation
	// RetryAt is the earliest time at which a circuit breaker lets a probe through; zero if
	// not known.
	RetryAt time.Time
}

// Reservation is a request slot that is reserved at an endpoint.
type Reservation struct {
	Group string
	// Endpoint is the endpoint as it was listed when the slot was reserved.
	Endpoint directory.Endpoint
	target   *target
}

// Source provides the endpoints of a group: a base model or a back-end pool.
type Source interface {
	// Snapshot returns the group's endpoints; nil if the group is unknown.
	Snapshot(group string) *directory.Snapshot
}

// Config configures a Router. Gateways, Slack, Filters, Scorers and Picker have defaults.
type Config struct {
	Clock  clock.Clock
	Random *rand.Rand
	Source Source
	// Zone is the zone of this node.
	Zone string
	// Gateways returns the number of nodes that share the endpoints; nil means one.
	Gateways func() int
	// Slack times MaxBatch is the number of requests that may be in flight at an endpoint.
	// It is above 1 so that the engine has the next request queued when one ends.
	Slack float64
	// Filters, Scorers and Picker replace the defaults if set.
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// DefaultSlack allows a quarter of a batch to be queued at the engine.
const DefaultSlack = 1.25

// Router selects endpoints and counts this node's requests in flight at each. It is safe for
// concurrent use.
type Router struct {
	config  Config
	shards  [shardCount]shard
	servers serverStates
}

// shard is the part of the router's state for the groups whose names hash to it.
type shard struct {
	mutex  sync.Mutex
	random *rand.Rand
	groups map[string]*group
	// scratch is reused for the candidates of each Pick.
	scratch []Candidate
}

// New returns a router without groups.
func New(config Config) *Router {
	if config.Slack <= 0 {
		config.Slack = DefaultSlack
	}
	if config.Gateways == nil {
		config.Gateways = func() int { return 1 }
	}
	if config.Filters == nil {
		config.Filters = DefaultFilters()
	}
	if config.Scorers == nil {
		config.Scorers = DefaultScorers(config.Zone)
	}
	if config.Picker == nil {
		config.Picker = PowerOfTwoChoices{}
	}
	router := &Router{config: config, servers: serverStates{byID: map[outside.ServerID]*serverState{}}}
	for index := range router.shards {
		shard := &router.shards[index]
		shard.groups = map[string]*group{}
		shard.random = rand.New(rand.NewPCG(config.Random.Uint64(), config.Random.Uint64()))
	}
	return router
}

func (r *Router) shardOf(name string) *shard {
	return &r.shards[xxhash.Sum64String(name)%shardCount]
}

// Pick selects an endpoint of the group and reserves a request slot there.
func (r *Router) Pick(name string, request *Request) Choice {
	now := r.config.Clock.Now()
	shard := r.shardOf(name)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	group := r.refresh(shard, name, now)
	if group == nil {
		return Choice{Verdict: NoEndpoint}
	}
	candidates, choice := r.candidates(shard, group, request, now)
	if len(candidates) == 0 {
		return choice
	}
	r.score(candidates, request)
	target := candidates[r.config.Picker.Pick(shard.random, candidates)].target
	target.inFlight++
	target.lastSentAt = now
	target.breaker.recordRequest()
	target.server.recordRequest()
	return Choice{Reservation: Reservation{Group: name, Endpoint: *target.endpoint, target: target}}
}

// candidates returns the endpoints that accept the request now, in the shard's scratch space.
// If there are none, the returned choice gives the reason.
func (r *Router) candidates(shard *shard, group *group, request *Request, now time.Time) ([]Candidate, Choice) {
	candidates := shard.scratch[:0]
	choice := Choice{Verdict: NoEndpoint}
	for _, target := range group.targets {
		candidates = append(candidates, target.candidate(r.limit(group, target, now), now))
		if !r.accepts(&candidates[len(candidates)-1], request, now, &choice) {
			candidates = candidates[:len(candidates)-1]
		}
	}
	shard.scratch = candidates
	return withoutAvoided(candidates, request.Avoid), choice
}

// accepts reports whether the endpoint accepts the request now. If it can serve the request,
// but not now, the reason is recorded in the choice.
func (r *Router) accepts(candidate *Candidate, request *Request, now time.Time, choice *Choice) bool {
	if !r.passesFilters(candidate, request) {
		return false
	}
	if allowed, retryAt := candidate.target.allows(now); !allowed {
		choice.recordOpenCircuit(retryAt, now)
		return false
	}
	if candidate.InFlight >= candidate.Limit {
		choice.Verdict = Full
		return false
	}
	return true
}

// recordOpenCircuit records that an endpoint's breaker is open. The verdict Full takes
// precedence. A time that is past is ignored: the endpoint is being probed, and it is not known
// when the probe ends.
func (c *Choice) recordOpenCircuit(until, now time.Time) {
	if c.Verdict == NoEndpoint {
		c.Verdict = CircuitOpen
	}
	if !until.After(now) {
		return
	}
	if c.RetryAt.IsZero() || until.Before(c.RetryAt) {
		c.RetryAt = until
	}
}

// passesFilters reports whether all filters keep the candidate.
func (r *Router) passesFilters(candidate *Candidate, request *Request) bool {
	for _, filter := range r.config.Filters {
		if !filter.Keep(candidate, request) {
			return false
		}
	}
	return true
}

// withoutAvoided removes the candidates of the avoided server if there are any others.
func withoutAvoided(candidates []Candidate, avoid outside.ServerID) []Candidate {
	if avoid == "" || len(candidates) < 2 {
		return candidates
	}
	kept := 0
	for index := range candidates {
		if candidates[index].Endpoint.Server != avoid {
			candidates[kept], candidates[index] = candidates[index], candidates[kept]
			kept++
		}
	}
	if kept == 0 {
		return candidates
	}
	return candidates[:kept]
}

// score runs all scorers.
func (r *Router) score(candidates []Candidate, request *Request) {
	for _, weighted := range r.config.Scorers {
		weighted.Scorer.Score(candidates, request, weighted.Weight)
	}
}

// Capacity is the capacity of a group for requests of this node.
type Capacity struct {
	// Usable is the number of endpoints that are not draining and whose breakers let requests
	// through.
	Usable int
	// Limit is the sum of this node's limits at the usable endpoints.
	Limit int
	// InFlight is the number of requests of this node at them.
	InFlight int
	// ReadyAt is the estimated time at which the next replica is ready; zero if not known.
	ReadyAt time.Time
	// Refused is the reason why no cell can load the model; empty if some can.
	Refused string
}

// Capacity returns the group's current capacity.
func (r *Router) Capacity(name string) Capacity {
	now := r.config.Clock.Now()
	shard := r.shardOf(name)
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	group := r.refresh(shard, name, now)
	if group == nil {
		return Capacity{}
	}
	capacity := Capacity{ReadyAt: group.snapshot.ReadyAt, Refused: group.snapshot.Refused}
	for _, target := range group.targets {
		if allowed, _ := target.allows(now); !allowed || target.endpoint.Draining {
			continue
		}
		capacity.Usable++
		capacity.InFlight += target.inFlight
		capacity.Limit += r.limit(group, target, now)
	}
	return capacity
}
