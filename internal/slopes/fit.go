package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// confidence of the intervals.
const confidence = 0.95

// Line is a straight line fitted by least squares.
type Line struct {
	Intercept, Slope float64
	// SlopeError is half the width of the slope's confidence interval;
	// infinite with fewer than three points.
	SlopeError float64

	points, quantile      float64
	residual, mean, width float64
}

// FitLine fits a line through the points; through a single one it is level.
func FitLine(x, y []float64) Line {
	if len(x) == 1 {
		return Line{Intercept: y[0], SlopeError: math.Inf(1), points: 1, mean: x[0]}
	}
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	line := Line{Intercept: intercept, Slope: slope, points: float64(len(x)), mean: stat.Mean(x, nil)}
	squares := 0.0
	for i := range x {
		deviation := y[i] - line.At(x[i])
		squares += deviation * deviation
		line.width += (x[i] - line.mean) * (x[i] - line.mean)
	}
	if len(x) < 3 || line.width == 0 {
		line.SlopeError = math.Inf(1)
		return line
	}
	freedom := line.points - 2
	line.residual = math.Sqrt(squares / freedom)
	line.quantile = distuv.StudentsT{Mu: 0, Sigma: 1, Nu: freedom}.Quantile(1 - (1-confidence)/2)
	line.SlopeError = line.quantile * line.residual / math.Sqrt(line.width)
	return line
}

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// ErrorAt is half the width of the confidence interval of the line's value.
func (l Line) ErrorAt(x float64) float64 {
	if math.IsInf(l.SlopeError, 1) {
		return l.SlopeError
	}
	distance := x - l.mean
	return l.quantile * l.residual * math.Sqrt(1/l.points+distance*distance/l.width)
}
