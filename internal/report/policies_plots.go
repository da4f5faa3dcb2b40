package report

import (
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/hatchplank/hatchplank/internal/emulator"
)

// namedPlot is a plot with the name of its file and what it shows.
type namedPlot struct {
	name, caption string
	plot          *plot.Plot
}

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// policyPlots draws all plots of an experiment.
func policyPlots(outcomes []emulator.PolicyOutcome, product string) ([]namedPlot, error) {
	base := withoutCurve(outcomes)
	builders := []func() (namedPlot, error){
		func() (namedPlot, error) { return coldDistribution(base) },
		func() (namedPlot, error) { return idleBars(base) },
		func() (namedPlot, error) { return wasteTimeline(base) },
		func() (namedPlot, error) { return tradeOff(outcomes) },
	}
	for _, outcome := range base {
		builders = append(builders, func() (namedPlot, error) { return openingTimeline(outcome, product) })
	}
	var plots []namedPlot
	for _, build := range builders {
		drawn, err := build()
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn)
	}
	return plots, nil
}

// withoutCurve leaves the points of the trade-off curve out.
func withoutCurve(outcomes []emulator.PolicyOutcome) []emulator.PolicyOutcome {
	return slices.DeleteFunc(slices.Clone(outcomes), func(outcome emulator.PolicyOutcome) bool {
		return outcome.Choice.ColdStartWeight >= 0
	})
}

func newPlot(title, x, y string) *plot.Plot {
	made := plot.New()
	made.Title.Text = title
	made.X.Label.Text = x
	made.Y.Label.Text = y
	made.Legend.Top = true
	made.Add(plotter.NewGrid())
	return made
}

// coldDistribution draws which share of first requests waited at most how long.
func coldDistribution(outcomes []emulator.PolicyOutcome) (namedPlot, error) {
	made := newPlot("Waits of first requests", "seconds (logarithmic)", "share of first requests")
	made.X.Scale = plot.LogScale{}
	made.X.Tick.Marker = plot.LogTicks{Prec: -1}
	made.Legend.Top = false
	for index, outcome := range outcomes {
		var waits []float64
		for _, figures := range outcome.Figures {
			waits = append(waits, figures.Waits...)
		}
		slices.Sort(waits)
		points := make(plotter.XYs, len(waits))
		for at, wait := range waits {
			points[at] = plotter.XY{X: max(shortestWait, wait), Y: float64(at+1) / float64(len(waits))}
		}
		if err := addLine(made, outcome.Choice.Label, index, points); err != nil {
			return namedPlot{}, err
		}
	}
	return namedPlot{"cold-starts", "How long first requests waited until they ran, over all seeds.", made}, nil
}

// shortestWait that the logarithmic axis shows, in seconds.
const shortestWait = 0.001

func addLine(made *plot.Plot, label string, index int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index / 7)
	line.Width = vg.Points(1.5)
	made.Add(line)
	made.Legend.Add(label, line)
	return nil
}

// openingTimeline draws waiting, loading and loaded around the opening.
func openingTimeline(outcome emulator.PolicyOutcome, product string) (namedPlot, error) {
	title := "The opening under " + outcome.Choice.Label
	if outcome.Choice.Label == product {
		title += " (the product)"
	}
	made := newPlot(title, "minutes after the opening", "number")
	var waiting, loading, loaded plotter.XYs
	for _, point := range outcome.Timeline {
		if point.At < timelineFrom || point.At > timelineTo {
			continue
		}
		minutes := point.At / 60
		waiting = append(waiting, plotter.XY{X: minutes, Y: float64(point.Waiting)})
		loading = append(loading, plotter.XY{X: minutes, Y: float64(point.Loading)})
		loaded = append(loaded, plotter.XY{X: minutes, Y: float64(point.Loaded)})
	}
	for index, series := range []struct {
		label  string
		points plotter.XYs
	}{{"requests waiting", waiting}, {"replicas loading", loading}, {"replicas loaded", loaded}} {
		if err := addLine(made, series.label, index, series.points); err != nil {
			return namedPlot{}, err
		}
	}
	return namedPlot{"opening-" + outcome.Choice.Label, "Requests and replicas around the opening, first seed.", made}, nil
}

// The part of the span that the opening's timeline shows, in seconds.
const (
	timelineFrom = -10 * 60
	timelineTo   = 20 * 60
)

// wasteTimeline draws how the idle hours add up over the span.
func wasteTimeline(outcomes []emulator.PolicyOutcome) (namedPlot, error) {
	made := newPlot("Idle accelerator hours over the span", "minutes after the opening", "idle accelerator hours so far")
	made.Legend.Left = true
	for index, outcome := range outcomes {
		points := make(plotter.XYs, len(outcome.Timeline))
		for at, point := range outcome.Timeline {
			points[at] = plotter.XY{X: point.At / 60, Y: point.Wasted / 3600}
		}
		if err := addLine(made, outcome.Choice.Label, index, points); err != nil {
			return namedPlot{}, err
		}
	}
	return namedPlot{"idle-over-time", "Accelerator hours loaded or loading without serving, first seed.", made}, nil
}

// idleBars draws each policy's idle hours beside its bounds.
func idleBars(outcomes []emulator.PolicyOutcome) (namedPlot, error) {
	made := newPlot("Idle accelerator hours", "", "accelerator hours")
	series := []struct {
		label string
		value func(*emulator.PolicyFigures) float64
	}{
		{"idle", func(f *emulator.PolicyFigures) float64 { return f.IdleHours }},
		{"bound at the same waits", func(f *emulator.PolicyFigures) float64 { return f.SameWaitsBound }},
		{"idle bound", func(f *emulator.PolicyFigures) float64 { return f.IdleBound }},
	}
	width := vg.Points(18)
	names := make([]string, len(outcomes))
	for index := range series {
		bars := make(plotter.Values, len(outcomes))
		for at := range outcomes {
			names[at] = outcomes[at].Choice.Label
			bars[at] = EstimateOf(values(&outcomes[at], series[index].value)).Mean
		}
		chart, err := plotter.NewBarChart(bars, width)
		if err != nil {
			return namedPlot{}, err
		}
		chart.Color = plotutil.Color(index)
		chart.Offset = width * vg.Length(index-1)
		made.Add(chart)
		made.Legend.Add(series[index].label, chart)
	}
	made.NominalX(names...)
	return namedPlot{"idle-hours", "Accelerator hours loaded or loading without serving, beside the lower bounds.", made}, nil
}

// smallestPoint that the logarithmic axes show.
const smallestPoint = 0.1

// wholeDecades widens a logarithmic axis, so that it has labels.
func wholeDecades(axis *plot.Axis) {
	axis.Min = math.Pow(10, math.Floor(math.Log10(axis.Min)))
	axis.Max = math.Pow(10, math.Floor(math.Log10(axis.Max))+1)
}

// tradeOff draws each choice as a point of cold-start tail against idle hours.
func tradeOff(outcomes []emulator.PolicyOutcome) (namedPlot, error) {
	made := newPlot("Cold-start tail against idle hours", "idle accelerator hours (logarithmic)", "cold-start p99 in seconds (logarithmic)")
	made.X.Scale, made.Y.Scale = plot.LogScale{}, plot.LogScale{}
	made.X.Tick.Marker, made.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	for index := range outcomes {
		outcome := &outcomes[index]
		point := plotter.XY{
			X: EstimateOf(values(outcome, func(f *emulator.PolicyFigures) float64 { return f.IdleHours })).Mean,
			Y: EstimateOf(values(outcome, func(f *emulator.PolicyFigures) float64 { return f.Cold.P99 })).Mean,
		}
		point.X, point.Y = max(point.X, smallestPoint), max(point.Y, smallestPoint)
		scatter, err := plotter.NewScatter(plotter.XYs{point})
		if err != nil {
			return namedPlot{}, err
		}
		scatter.Color = plotutil.Color(index)
		scatter.Shape = plotutil.Shape(index)
		scatter.Radius = vg.Points(5)
		made.Add(scatter)
		made.Legend.Add(outcome.Choice.Label, scatter)
	}
	wholeDecades(&made.X)
	wholeDecades(&made.Y)
	return namedPlot{"trade-off", "Each policy by its cold-start tail and its idle hours; down and left is better.", made}, nil
}
