package slopes

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// limitOf returns the limit on a metric's sum over the roles; zero: none.
func limitOf(metric int) float64 { return metrics[metric].value(Limits) }

// verdict compares a value with a limit.
func verdict(value, limit float64) string {
	switch {
	case limit == 0:
		return ""
	case value > limit:
		return "OVER"
	default:
		return "PASS"
	}
}

// Write prints each role's costs: at today's size, the slope over the fraction
// of the full size, and the extrapolation to it beside the limit.
func (r *Result) Write(out io.Writer) error {
	fmt.Fprintf(out, "\n%s: one node's cost; full size: %s, %.0f requests/s\n", r.Sweep.Name, r.Sweep.Full, r.Sweep.Full.RequestsPerSecond)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tmetric\tsmallest\tslope over the fraction\tat full size\t95% interval\tdirect\terror\tlimit\t")
	for _, role := range append([]Role{""}, Roles...) {
		for metric := range metrics {
			if !r.isZero(role, metric) {
				r.writeLine(table, role, metric)
			}
		}
	}
	return table.Flush()
}

// isZero reports whether no point has any of a role's metric.
func (r *Result) isZero(role Role, metric int) bool {
	return !slices.ContainsFunc(r.Points, func(point Point) bool {
		return metrics[metric].value(point.costOf(role)) != 0
	})
}

func (r *Result) writeLine(table io.Writer, role Role, metric int) {
	line := r.Fit(role, metric)
	first := metrics[metric].value(r.Points[0].costOf(role))
	full := line.At(1)
	name, limit, judged := string(role), "", ""
	if role == "" {
		name = "all control"
	}
	if bound := limitOf(metric); bound > 0 {
		limit, judged = fmt.Sprintf("%g", bound), verdict(full, bound)
	}
	direct, difference := "", ""
	if r.Direct != nil {
		measured := metrics[metric].value(r.Direct.costOf(role))
		direct = number(measured)
		if predicted := line.At(r.Direct.Fraction); measured != 0 {
			difference = fmt.Sprintf("%+.0f%%", 100*(predicted-measured)/measured)
		}
	}
	fmt.Fprintf(table, "%s\t%s\t%s\t%s ±%s\t%s\t±%s\t%s\t%s\t%s\t%s\n", name, metrics[metric].name, number(first),
		number(line.Slope), number(line.SlopeError), number(full), number(line.ErrorAt(1)), direct, difference, limit, judged)
}

// number prints three significant digits.
func number(value float64) string {
	switch {
	case math.IsInf(value, 0):
		return "?"
	case math.Abs(value) >= 1000:
		return fmt.Sprintf("%.0f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

// WriteKinds prints what the largest point's messages were.
func (r *Result) WriteKinds(out io.Writer) error {
	largest := r.Points[len(r.Points)-1]
	if r.Direct != nil {
		largest = *r.Direct
	}
	perNode := float64(largest.Size.Nodes) * largest.Window.Seconds()
	fmt.Fprintf(out, "\n%s: messages of one node at %s\n", r.Sweep.Name, largest.Size)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "role\tmessage\tbytes/s\tmessages/s\t")
	for _, kind := range largest.Kinds {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t\n", kind.Role, kind.Kind, number(kind.Bytes/perNode), number(kind.Messages/perNode))
	}
	return table.Flush()
}
