// Package bounds computes lower bounds that hold for every schedule of loads, to
// evaluate placement policies against. The proofs are in
// docs/design/cold-start.md.
//
// All times are seconds from a common origin.
package bounds

import (
	"math"
	"slices"
)

// TailQuantile is the quantile of cold-start waits that the bounds apply to.
const TailQuantile = 0.99

// Quantile returns the nearest-rank quantile of values, or 0 if there are none.
// It doesn't modify values.
func Quantile(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[rank(len(sorted), quantile)]
}

// rank returns the index of the nearest-rank quantile in count sorted values.
func rank(count int, quantile float64) int {
	at := int(math.Ceil(quantile*float64(count))) - 1
	return max(0, min(at, count-1))
}

// Exempt returns how many of count values may exceed their nearest-rank
// quantile.
func Exempt(count int, quantile float64) int {
	if count == 0 {
		return 0
	}
	return count - 1 - rank(count, quantile)
}
