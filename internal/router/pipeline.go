package router

import (
	"math/rand/v2"

	"github.com/hatchplank/hatchplank/internal/directory"
)

// Candidate is an endpoint that is considered for a request.
type Candidate struct {
	Endpoint *directory.Endpoint
	// InFlight is the number of requests that this node has at the endpoint, Limit the
	// highest number that it may have.
	InFlight, Limit int
	// OthersInFlight is the estimated number of requests of other nodes at the endpoint.
	OthersInFlight float64
	// Salt is a hash of the endpoint's identity.
	Salt uint64
	// Score is the sum of the scorers' weighted figures. Higher is better.
	Score float64
	// Preferred is set if the endpoint probably has the prompt's prefix cached.
	Preferred bool

	target *target
}

// relativeLoad is the number of requests at the endpoint relative to its batch size.
func (c *Candidate) relativeLoad() float64 {
	return (float64(c.InFlight) + c.OthersInFlight) / float64(max(c.Endpoint.MaxBatch, 1))
}

// Filter decides whether an endpoint can serve a request. An endpoint is a candidate only if
// all filters keep it.
//
// Implementations of Keep must be pure functions: they neither change their arguments nor
// retain them.
type Filter interface {
	Keep(candidate *Candidate, request *Request) bool
}

// Scorer rates the candidates.
//
// Implementations of Score add a figure between 0 and weight to each candidate's Score, higher
// for a better candidate. They change nothing else but Preferred and retain nothing.
type Scorer interface {
	Score(candidates []Candidate, request *Request, weight float64)
}

// WeightedScorer is a scorer with its weight relative to the other scorers.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// Picker selects one of the scored candidates.
//
// Pick is called with at least one candidate and returns an index into candidates.
// Implementations use no other source of randomness than random.
type Picker interface {
	Pick(random *rand.Rand, candidates []Candidate) int
}

// Weights of the default scorers. The load scorer has more weight than any other single scorer.
const (
	loadWeight    = 4
	versionWeight = 2
	prefixWeight  = 1.5
	zoneWeight    = 1
	adapterWeight = 0.25
)

// DefaultFilters returns the filters that a Router uses unless others are configured.
func DefaultFilters() []Filter {
	return []Filter{DrainFilter{}, VersionFilter{}, AdapterFilter{}}
}

// DefaultScorers returns the scorers that a Router of a node in the zone uses unless others
// are configured.
func DefaultScorers(zone string) []WeightedScorer {
	return []WeightedScorer{
		{Scorer: LoadScorer{}, Weight: loadWeight},
		{Scorer: VersionScorer{}, Weight: versionWeight},
		{Scorer: ZoneScorer{Zone: zone}, Weight: zoneWeight},
		{Scorer: AdapterScorer{}, Weight: adapterWeight},
		{Scorer: PrefixScorer{}, Weight: prefixWeight},
	}
}
