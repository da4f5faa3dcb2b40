package router

import "github.com/cespare/xxhash/v2"

// A preferred endpoint's load, relative to its batch, may exceed the mean by a
// factor and a tenth of the batch before affinity gives way. With the factor
// alone a few requests more were too many at endpoints with little to do.
const (
	boundedLoad = 1.25
	loadSlack   = 0.1
)

// PrefixScorer prefers one endpoint per prompt prefix, by rendezvous hashing
// with bounded load, so that the prefix cache is hit and yet no endpoint is
// overrun by one popular prefix.
type PrefixScorer struct{}

// Score implements Scorer.
func (PrefixScorer) Score(candidates []Candidate, request *Request, weight float64) {
	if request.PrefixHash == 0 || len(candidates) == 0 {
		return
	}
	bound := boundedLoad*meanLoad(candidates) + loadSlack
	best := -1
	var highest uint64
	for index := range candidates {
		if candidates[index].load() > bound {
			continue
		}
		rank := mix(candidates[index].Salt ^ request.PrefixHash)
		if best < 0 || rank > highest {
			best, highest = index, rank
		}
	}
	if best >= 0 {
		candidates[best].Score += weight
		candidates[best].Preferred = true
	}
}

// meanLoad is the mean over the candidates with one request more, so that an
// idle pool has a bound above zero.
func meanLoad(candidates []Candidate) float64 {
	sum := 0.0
	batch := 0
	for index := range candidates {
		sum += candidates[index].load()
		batch += max(candidates[index].Endpoint.MaxBatch, 1)
	}
	return sum/float64(len(candidates)) + 1/float64(batch)
}

// mix spreads a hash's bits (the finalizer of SplitMix64).
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

func saltOf(key targetKey) uint64 {
	return xxhash.Sum64String(string(key.server)) + uint64(key.slot)*0x9e3779b97f4a7c15
}

// HashPrefix returns the hash of a prompt's start; never 0 unless empty.
func HashPrefix(prefix []byte) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return max(xxhash.Sum64(prefix), 1)
}
