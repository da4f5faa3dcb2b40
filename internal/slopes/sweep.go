package slopes

import (
	"fmt"
	"io"
	"time"
)

// Sweep is a set of measurements over the size.
type Sweep struct {
	Name string
	// Full is the size at fraction 1.
	Full Size
	// Fractions of the full size to measure, with the number of seeds each.
	Fractions []float64
	Seeds     int
	// Direct is measured once and compared with the extrapolation; zero: none.
	Direct float64
	Plan   Plan
	// Extend repeats the window at small sizes so that enough is counted.
	MaxWindow time.Duration
}

// Result of a Sweep.
type Result struct {
	Sweep  Sweep
	Points []Point
	Direct *Point
}

// Point is a measurement at a fraction of the full size.
type Point struct {
	Fraction float64
	*Measurement
}

// Run measures all points, one after the other, and tells the progress.
func (s Sweep) Run(progress io.Writer) (*Result, error) {
	result := &Result{Sweep: s}
	for _, fraction := range s.Fractions {
		for seed := range s.Seeds {
			point, err := s.point(fraction, uint64(seed+1), progress)
			if err != nil {
				return nil, err
			}
			result.Points = append(result.Points, *point)
		}
	}
	if s.Direct > 0 {
		point, err := s.point(s.Direct, 1, progress)
		if err != nil {
			return nil, err
		}
		result.Direct = point
	}
	return result, nil
}

func (s Sweep) point(fraction float64, seed uint64, progress io.Writer) (*Point, error) {
	measurement, err := Measure(s.Full.Scaled(fraction), seed, s.plan(fraction))
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(progress, "%s: %s, seed %d: %.1f s, %.0f MB\n", s.Name, measurement.Size, seed,
		measurement.Elapsed.Seconds(), measurement.HeapMegaBytes)
	return &Point{Fraction: fraction, Measurement: measurement}, nil
}

// plan stretches the window at small sizes, at which little happens a second.
func (s Sweep) plan(fraction float64) Plan {
	plan := s.Plan
	stretched := time.Duration(float64(plan.Window) / fraction)
	plan.Window = min(stretched, max(plan.Window, s.MaxWindow))
	return plan
}

// metrics of a Cost in the order of reports.
var metrics = []struct {
	name  string
	value func(Cost) float64
}{
	{"bytes/s", func(c Cost) float64 { return c.BytesPerSecond }},
	{"messages/s", func(c Cost) float64 { return c.MessagesPerSecond }},
	{"core %", func(c Cost) float64 { return c.CorePercent }},
	{"MB", func(c Cost) float64 { return c.MegaBytes }},
	{"KV ops/s", func(c Cost) float64 { return c.KeyValuePerSecond }},
}

// Fit fits one metric of one role over the fraction; an empty role stands for
// the sum of all roles.
func (r *Result) Fit(role Role, metric int) Line {
	var x, y []float64
	for _, point := range r.Points {
		x = append(x, point.Fraction)
		y = append(y, metrics[metric].value(point.costOf(role)))
	}
	return FitLine(x, y)
}

func (p Point) costOf(role Role) Cost {
	if role == "" {
		return p.Total()
	}
	return p.Costs[role]
}
