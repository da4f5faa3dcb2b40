package router

import (
	"math/rand/v2"

	"github.com/hatchplank/hatchplank/internal/directory"
)

// Candidate is an endpoint under consideration.
type Candidate struct {
	Endpoint *directory.Endpoint
	// InFlight requests of this node and their limit.
	InFlight, Limit int
	// Others estimates the requests of other nodes.
	Others float64
	// Salt is a hash of the endpoint's identity.
	Salt uint64
	// Score is the sum of the scorers' weighted figures, higher is better.
	Score float64
	// Preferred: the endpoint likely to hold the prompt's prefix.
	Preferred bool

	target *target
}

// load is the candidate's load relative to its batch.
func (c *Candidate) load() float64 {
	return (float64(c.InFlight) + c.Others) / float64(max(c.Endpoint.MaxBatch, 1))
}

// Filter decides whether an endpoint may take a request.
//
// Contract: Keep is a pure function of its arguments, changes neither and does
// not keep them. All filters must agree for an endpoint to be kept.
type Filter interface {
	Keep(candidate *Candidate, request *Request) bool
}

// Scorer weighs the candidates against each other.
//
// Contract: Score adds to each candidate's Score a figure between 0 and weight,
// higher for a better one. It changes nothing else but Preferred, and keeps
// nothing.
type Scorer interface {
	Score(candidates []Candidate, request *Request, weight float64)
}

// WeightedScorer is a scorer with its weight against the others.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker takes one of the scored candidates.
//
// Contract: Pick returns an index of candidates, of which there is at least
// one. Its only source of chance is random.
type Picker interface {
	Pick(random *rand.Rand, candidates []Candidate) int
}

// The default weights: load outweighs each other scorer alone.
const (
	loadWeight    = 4
	versionWeight = 2
	prefixWeight  = 1.5
	zoneWeight    = 1
	adapterWeight = 0.25
)

// DefaultFilters returns the filters of a node.
func DefaultFilters() []Filter {
	return []Filter{DrainFilter{}, VersionFilter{}, AdapterFilter{}}
}

// DefaultScorers returns the scorers of a node in the zone.
func DefaultScorers(zone string) []WeightedScorer {
	return []WeightedScorer{
		{Scorer: LoadScorer{}, Weight: loadWeight},
		{Scorer: VersionScorer{}, Weight: versionWeight},
		{Scorer: ZoneScorer{Zone: zone}, Weight: zoneWeight},
		{Scorer: AdapterScorer{}, Weight: adapterWeight},
		{Scorer: PrefixScorer{}, Weight: prefixWeight},
	}
}
