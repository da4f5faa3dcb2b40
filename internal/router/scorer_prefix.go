package router

import "github.com/cespare/xxhash/v2"

// Bounds of a preferred endpoint's load. Relative to its batch size, the load may be up to
// maxLoadFactor times the mean plus maxLoadExcess; beyond that, another endpoint is preferred.
// With the factor alone, a few more requests at nearly idle endpoints exceeded the bound.
const (
	maxLoadFactor = 1.25
	maxLoadExcess = 0.1
)

// PrefixScorer prefers one endpoint for each prompt prefix, so that requests hit its prefix
// cache. It uses rendezvous hashing with bounded load, so that a popular prefix doesn't
// overload one endpoint.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(candidates []Candidate, request *Request, weight float64) {
	if request.PrefixHash == 0 || len(candidates) == 0 {
		return
	}
	bound := maxLoadFactor*meanLoad(candidates) + maxLoadExcess
	best := -1
	var highestRank uint64
	for index := range candidates {
		if candidates[index].relativeLoad() > bound {
			continue
		}
		rank := mixBits(candidates[index].Salt ^ request.PrefixHash)
		if best < 0 || rank > highestRank {
			best, highestRank = index, rank
		}
	}
	if best >= 0 {
		candidates[best].Score += weight
		candidates[best].Preferred = true
	}
}

// meanLoad is the mean relative load of the candidates with one more request among them, so
// that the bound of idle candidates is above zero.
func meanLoad(candidates []Candidate) float64 {
	sum := 0.0
	batch := 0
	for index := range candidates {
		sum += candidates[index].relativeLoad()
		batch += max(candidates[index].Endpoint.MaxBatch, 1)
	}
	return sum/float64(len(candidates)) + 1/float64(batch)
}

// mixBits spreads the bits of a hash over the whole word (the finalizer of SplitMix64).
func mixBits(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// endpointSalt returns a hash of the endpoint's server and slot.
func endpointSalt(key targetKey) uint64 {
	return xxhash.Sum64String(string(key.server)) + uint64(key.slot)*0x9e3779b97f4a7c15
}

// HashPrefix returns the hash of a prompt's prefix. It is 0 only if the prefix is empty.
func HashPrefix(prefix []byte) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return max(xxhash.Sum64(prefix), 1)
}
