// Package bounds computes lower bounds that no schedule of loads can beat, for
// judging placement policies. The proofs are in docs/design/cold-start.md.
//
// All times are seconds from a common origin.
package bounds

import (
	"math"
	"slices"
)

// TailQuantile is the quantile of cold starts that the bounds are about.
const TailQuantile = 0.99

// Quantile returns the nearest-rank quantile of values, 0 of none. The values
// are not changed.
func Quantile(values []float64, quantile float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[rank(len(sorted), quantile)]
}

// rank is the index of the nearest-rank quantile among count sorted values.
func rank(count int, quantile float64) int {
	at := int(math.Ceil(quantile*float64(count))) - 1
	return max(0, min(at, count-1))
}

// Exempt is how many of count values may exceed their nearest-rank quantile.
func Exempt(count int, quantile float64) int {
	if count == 0 {
		return 0
	}
	return count - 1 - rank(count, quantile)
}
