package slopes

import (
	"fmt"
	"io"
	"time"
)

// Options of Run.
type Options struct {
	// Quick measures small sizes only, in seconds.
	Quick bool
	// Parts to run; none: all. See Parts.
	Parts []string
	// Out receives the report, Progress a line for each measurement.
	Out, Progress io.Writer
}

// The parts of the experiment.
const (
	PartToday        = "today"
	PartControl      = "control"
	PartTraffic      = "traffic"
	PartDimension    = "dimensions"
	PartFaults       = "faults"
	PartCalls        = "calls"
	PartStates       = "states"
	PartDistribution = "distribution"
)

// Parts lists the parts in the order in which they run.
var Parts = []string{PartToday, PartControl, PartTraffic, PartDimension, PartFaults, PartCalls, PartStates, PartDistribution}

// Run runs the parts and prints their reports.
func Run(options Options) error {
	wanted := map[string]bool{}
	for _, part := range options.Parts {
		wanted[part] = true
	}
	run := map[string]func(Options) error{
		PartToday: runToday, PartControl: runControl, PartTraffic: runTraffic,
		PartDimension: runDimensions, PartFaults: runFaults, PartCalls: runCalls, PartStates: runStates,
		PartDistribution: runDistribution,
	}
	for _, part := range Parts {
		if len(wanted) > 0 && !wanted[part] {
			continue
		}
		if err := run[part](options); err != nil {
			return err
		}
	}
	return nil
}

// defaultPlan of a measurement.
var defaultPlan = Plan{Settle: 60 * time.Second, Warm: 20 * time.Second, Window: 30 * time.Second}

// quickPlan is for small sizes in CI.
var quickPlan = Plan{Settle: 5 * time.Second, Warm: 5 * time.Second, Window: 10 * time.Second}

func planOf(options Options) Plan {
	if options.Quick {
		return quickPlan
	}
	return defaultPlan
}

// measuredCalls are made by runCalls.
const measuredCalls = 5000

// runCalls measures what one HTTP call costs.
func runCalls(options Options) error {
	cost, err := MeasureHTTPCall(measuredCalls)
	if err != nil {
		return err
	}
	fmt.Fprintf(options.Out, "\none HTTP call without a body: %.0f bytes, %s of processor time at client and server together\n",
		cost.Bytes, cost.Processor)
	return nil
}

// runToday measures today's size.
func runToday(options Options) error {
	sweep := Sweep{
		Name: "today's size", Full: Today(), Fractions: []float64{1}, Seeds: 1,
		Plan: planOf(options), MaxWindow: time.Minute,
	}
	return runSweep(options, sweep)
}

// runControl measures the control work without requests, up to the target.
func runControl(options Options) error {
	full := Target()
	full.RequestsPerSecond = 0
	sweep := Sweep{
		Name: "control without requests", Full: full,
		Fractions: []float64{1. / 32, 1. / 16, 1. / 8, 1. / 4}, Seeds: 2, Direct: 1,
		Plan: planOf(options), MaxWindow: 2 * time.Minute,
	}
	if options.Quick {
		sweep.Fractions, sweep.Seeds, sweep.Direct = []float64{1. / 128, 1. / 64, 1. / 32}, 1, 0
		sweep.MaxWindow = sweep.Plan.Window
	}
	return runSweep(options, sweep)
}

// runTraffic measures what comes with the requests.
func runTraffic(options Options) error {
	sweep := Sweep{
		Name: "with requests", Full: Target(),
		Fractions: []float64{1. / 128, 1. / 64, 1. / 32}, Seeds: 2, Direct: 1. / 16,
		Plan: planOf(options), MaxWindow: 30 * time.Second,
	}
	if options.Quick {
		sweep.Fractions, sweep.Seeds, sweep.Direct = []float64{1. / 256, 1. / 128}, 1, 0
	}
	return runSweep(options, sweep)
}

func runSweep(options Options, sweep Sweep) error {
	result, err := sweep.Run(options.Progress)
	if err != nil {
		return err
	}
	if err := result.Write(options.Out); err != nil {
		return err
	}
	return result.WriteKinds(options.Out)
}

// dimensionBase is the fraction of the target around which the dimensions are
// swept, and dimensionFactors by what each is multiplied.
const dimensionBase = 1. / 16

var dimensionFactors = []float64{1, 2, 4}

// dimensions change one number of a size.
var dimensions = []struct {
	name   string
	number func(*Size) float64
	scale  func(*Size, float64)
}{
	{"node", func(s *Size) float64 { return float64(s.Nodes) }, func(s *Size, f float64) { s.Nodes = int(float64(s.Nodes) * f) }},
	{"server", func(s *Size) float64 { return float64(s.Servers) }, func(s *Size, f float64) { s.Servers = int(float64(s.Servers) * f) }},
	{"row", func(s *Size) float64 { return float64(s.Rows) }, func(s *Size, f float64) { s.Rows = int(float64(s.Rows) * f) }},
	{"zone", func(s *Size) float64 { return float64(s.Zones) }, func(s *Size, f float64) { s.Zones = int(float64(s.Zones) * f) }},
	{
		"table change an hour", func(s *Size) float64 { return s.TableChangesPerDay / 24 },
		func(s *Size, f float64) { s.TableChangesPerDay *= f },
	},
	{
		"node restart an hour", func(s *Size) float64 { return s.NodeRestartsPerDay / 24 },
		func(s *Size, f float64) { s.NodeRestartsPerDay *= f },
	},
	{
		"server replaced an hour", func(s *Size) float64 { return s.MachineChangesPerDay / 24 },
		func(s *Size, f float64) { s.MachineChangesPerDay *= f },
	},
}

// runDimensions measures the slope over each number alone, with the rates of
// change of the target so that enough happens.
func runDimensions(options Options) error {
	base := Target().Scaled(dimensionBase)
	base.RequestsPerSecond = 0
	base.TableChangesPerDay, base.NodeRestartsPerDay = Target().TableChangesPerDay, Target().NodeRestartsPerDay
	base.MachineChangesPerDay = Target().MachineChangesPerDay
	plan := planOf(options)
	plan.Window = 60 * time.Second
	if options.Quick {
		base, plan = base.Scaled(dimensionBase*4), quickPlan
	}
	fmt.Fprintf(options.Out, "\nslopes around %s, one node's cost per unit\n", base)
	for _, dimension := range dimensions {
		var x []float64
		var points []Point
		for _, factor := range dimensionFactors {
			size := base
			dimension.scale(&size, factor)
			measurement, err := Measure(size, 1, plan)
			if err != nil {
				return err
			}
			x = append(x, dimension.number(&size))
			points = append(points, Point{Measurement: measurement})
			fmt.Fprintf(options.Progress, "%s %g: %.1f s\n", dimension.name, dimension.number(&size), measurement.Elapsed.Seconds())
		}
		writeDimension(options.Out, dimension.name, x, points)
	}
	return nil
}

// writeDimension prints the slopes that are not zero.
func writeDimension(out io.Writer, name string, x []float64, points []Point) {
	for _, role := range append([]Role{""}, Roles...) {
		for _, metric := range metrics {
			y := make([]float64, len(points))
			for i := range points {
				y[i] = metric.value(points[i].costOf(role))
			}
			line := FitLine(x, y)
			if line.Slope == 0 || line.SlopeError > 2*max(line.Slope, -line.Slope) {
				continue
			}
			label := string(role)
			if role == "" {
				label = "all control"
			}
			fmt.Fprintf(out, "per %s: %s %s ±%s %s\n", name, label, number(line.Slope), number(line.SlopeError), metric.name)
		}
	}
}
