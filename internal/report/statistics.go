// Package report turns the outcomes of experiments into tables, plots and
// pages.
package report

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with the half width of its 95 % confidence interval, which
// is 0 for a single value.
type Estimate struct {
	Mean, HalfWidth float64
}

// confidence of the intervals.
const confidence = 0.95

// EstimateOf a sample, by Student's t distribution.
func EstimateOf(values []float64) Estimate {
	if len(values) == 0 {
		return Estimate{}
	}
	if len(values) == 1 {
		return Estimate{Mean: values[0]}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	count := float64(len(values))
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: count - 1}
	width := student.Quantile(1-(1-confidence)/2) * deviation / math.Sqrt(count)
	return Estimate{Mean: mean, HalfWidth: width}
}

// Paired estimates the mean of the differences a[i] - b[i].
func Paired(a, b []float64) Estimate {
	differences := make([]float64, min(len(a), len(b)))
	for index := range differences {
		differences[index] = a[index] - b[index]
	}
	return EstimateOf(differences)
}

// Significant reports whether the interval does not contain 0.
func (e Estimate) Significant() bool { return math.Abs(e.Mean) > e.HalfWidth && e.HalfWidth > 0 }
