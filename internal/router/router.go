// Package router chooses the endpoint for a request: filters leave the
// endpoints that may take it, scorers weigh them, and a picker takes one.
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

// shardCount is the number of independently locked parts of the router.
const shardCount = 16

// Request is what the choice depends on.
type Request struct {
	// Adapter must be ready on the endpoint; empty: none needed.
	Adapter string
	// Version is preferred.
	Version string
	// PinnedVersion is required, because a stream begun with it goes on.
	PinnedVersion string
	// PrefixHash of the prompt; 0: no prefix.
	PrefixHash uint64
	// Avoid is a server that failed this request; taken only if there is no
	// other.
	Avoid outside.ServerID
}

// Verdict says how a choice came out.
type Verdict uint8

// The verdicts.
const (
	// Reserved: a place was reserved; Done must be called for it.
	Reserved Verdict = iota
	// Full: endpoints could take the request, but have no free place.
	Full
	// CircuitOpen: all endpoints that could take the request failed lately.
	CircuitOpen
	// NoEndpoint: no endpoint can take the request.
	NoEndpoint
)

// Choice is the outcome of Pick.
type Choice struct {
	Verdict     Verdict
	Reservation Reservation
	// RetryAt is when the first resting endpoint may be tried again; zero if
	// that is not known.
	RetryAt time.Time
}

// Reservation is a reserved place at an endpoint.
type Reservation struct {
	Group    string
	Endpoint directory.Endpoint
	target   *target
}

// Source gives the endpoints of a group: a base model or a back-end pool.
type Source interface {
	Snapshot(group string) *directory.Snapshot
}

// Config assembles a Router. Zero values mean the defaults.
type Config struct {
	Clock  clock.Clock
	Random *rand.Rand
	Source Source
	// Zone of this node.
	Zone string
	// Gateways returns how many nodes share the endpoints; nil: one.
	Gateways func() int
	// Slack is the factor by which more than MaxBatch requests may be at an
	// endpoint, so that it never waits for the next.
	Slack float64
	// Filters, Scorers and Picker replace the defaults if set.
	Filters []Filter
	Scorers []WeightedScorer
	Picker  Picker
}

// DefaultSlack keeps a quarter of a batch waiting at the engine.
const DefaultSlack = 1.25

// Router counts the requests in flight at each endpoint and chooses by them.
// It is safe for concurrent use.
type Router struct {
	config  Config
	shards  [shardCount]shard
	servers servers
}

type shard struct {
	mutex   sync.Mutex
	random  *rand.Rand
	groups  map[string]*group
	scratch []Candidate
}

// New returns a router.
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
		config.Picker = TwoChoices{}
	}
	router := &Router{config: config, servers: servers{byID: map[outside.ServerID]*server{}}}
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

// Pick chooses an endpoint of the group and reserves a place at it.
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
	target.startedAt = now
	target.breaker.begin()
	target.server.begin()
	return Choice{Reservation: Reservation{Group: name, Endpoint: *target.endpoint, target: target}}
}

// candidates returns the endpoints that may take the request, in the shard's
// scratch space, or why there is none.
func (r *Router) candidates(shard *shard, group *group, request *Request, now time.Time) ([]Candidate, Choice) {
	candidates := shard.scratch[:0]
	choice := Choice{Verdict: NoEndpoint}
	for _, target := range group.targets {
		candidates = append(candidates, target.candidate(r.limit(group, target, now), now))
		if !r.takes(&candidates[len(candidates)-1], request, now, &choice) {
			candidates = candidates[:len(candidates)-1]
		}
	}
	shard.scratch = candidates
	return withoutAvoided(candidates, request.Avoid), choice
}

// takes reports whether the endpoint may take the request now; if only for the
// moment it may not, the choice is told why.
func (r *Router) takes(candidate *Candidate, request *Request, now time.Time, choice *Choice) bool {
	if !r.keep(candidate, request) {
		return false
	}
	if allowed, retryAt := candidate.target.allows(now); !allowed {
		choice.rest(retryAt, now)
		return false
	}
	if candidate.InFlight >= candidate.Limit {
		choice.Verdict = Full
		return false
	}
	return true
}

// rest notes a resting endpoint; a full one counts more. An endpoint under
// probe rests until the probe's end, whose time is not known.
func (c *Choice) rest(until, now time.Time) {
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

func (r *Router) keep(candidate *Candidate, request *Request) bool {
	for _, filter := range r.config.Filters {
		if !filter.Keep(candidate, request) {
			return false
		}
	}
	return true
}

// withoutAvoided drops the avoided server if others are left.
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

func (r *Router) score(candidates []Candidate, request *Request) {
	for _, weighted := range r.config.Scorers {
		weighted.Scorer.Score(candidates, request, weighted.Weight)
	}
}

// Capacity is what a group offers to this node.
type Capacity struct {
	// Usable endpoints: neither draining nor resting.
	Usable int
	// Limit is the sum of this node's limits at the usable endpoints.
	Limit int
	// InFlight requests of this node at them.
	InFlight int
	// ReadyAt estimates the next replica; zero: not known.
	ReadyAt time.Time
	// Refused is set when no cell can load the model.
	Refused string
}

// Capacity returns what the group offers now.
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
