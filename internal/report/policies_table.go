package report

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/hatchplank/hatchplank/internal/emulator"
)

// column is one figure of the table of policies.
type column struct {
	name  string
	value func(*emulator.PolicyFigures) float64
}

var policyColumns = []column{
	{"cold p50 s", func(f *emulator.PolicyFigures) float64 { return f.Cold.P50 }},
	{"p95 s", func(f *emulator.PolicyFigures) float64 { return f.Cold.P95 }},
	{"p99 s", func(f *emulator.PolicyFigures) float64 { return f.Cold.P99 }},
	{"max s", func(f *emulator.PolicyFigures) float64 { return f.Cold.Max }},
	{"p99/bound", (*emulator.PolicyFigures).ColdRatio},
	{"first token p95 s", func(f *emulator.PolicyFigures) float64 { return f.FirstTokenP95 }},
	{"late calls", func(f *emulator.PolicyFigures) float64 { return float64(f.LateCalls) }},
	{"late p99 s", func(f *emulator.PolicyFigures) float64 { return f.LateP99 }},
	{"idle h", func(f *emulator.PolicyFigures) float64 { return f.IdleHours }},
	{"of it loaded h", func(f *emulator.PolicyFigures) float64 { return f.LoadedIdleHours }},
	{"idle/bound", (*emulator.PolicyFigures).IdleRatio},
	{"idle/same waits", (*emulator.PolicyFigures).SameWaitsRatio},
	{"refused", func(f *emulator.PolicyFigures) float64 { return float64(f.Refused) }},
	{"loads memory", loadsFrom("memory")},
	{"disk", loadsFrom("disk")},
	{"remote", loadsFrom("remote")},
	{"store use", func(f *emulator.PolicyFigures) float64 { return f.StoreUse }},
	{"violations", func(f *emulator.PolicyFigures) float64 { return float64(f.Violations) }},
}

func loadsFrom(source string) func(*emulator.PolicyFigures) float64 {
	return func(f *emulator.PolicyFigures) float64 { return float64(f.Loads[source]) }
}

// values of a figure over the seeds of an outcome.
func values(outcome *emulator.PolicyOutcome, value func(*emulator.PolicyFigures) float64) []float64 {
	drawn := make([]float64, len(outcome.Figures))
	for index := range outcome.Figures {
		drawn[index] = value(&outcome.Figures[index])
	}
	return drawn
}

// WritePolicyTable prints means over the seeds, with half widths of the 95 %
// confidence interval when there are several.
func WritePolicyTable(writer io.Writer, outcomes []emulator.PolicyOutcome) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "policy\t")
	for _, column := range policyColumns {
		fmt.Fprintf(table, "%s\t", column.name)
	}
	fmt.Fprintln(table)
	for index := range outcomes {
		fmt.Fprintf(table, "%s\t", outcomes[index].Choice.Label)
		for _, column := range policyColumns {
			fmt.Fprintf(table, "%s\t", EstimateOf(values(&outcomes[index], column.value)))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// String writes the mean and, if there is one, the half width.
func (e Estimate) String() string {
	if e.HalfWidth == 0 {
		return number(e.Mean)
	}
	return number(e.Mean) + " ±" + number(e.HalfWidth)
}

func number(value float64) string {
	text := fmt.Sprintf("%.2f", value)
	if math.Abs(value) >= 100 {
		text = fmt.Sprintf("%.0f", value)
	}
	return strings.TrimSuffix(text, ".00")
}

// comparedColumns are those of the paired comparison.
var comparedColumns = []string{"cold p50 s", "p95 s", "p99 s", "p99/bound", "idle h", "idle/bound", "refused"}

// WritePairedTable prints the mean difference of the product to each other
// policy over the same seeds; an asterisk marks intervals without 0.
func WritePairedTable(writer io.Writer, outcomes []emulator.PolicyOutcome, product string) error {
	at := slices.IndexFunc(outcomes, func(o emulator.PolicyOutcome) bool { return o.Choice.Label == product })
	if at < 0 || len(outcomes) < 2 || len(outcomes[at].Figures) < 2 {
		return nil
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s less\t%s\t\n", product, strings.Join(comparedColumns, "\t"))
	for index := range outcomes {
		if index == at {
			continue
		}
		fmt.Fprintf(table, "%s\t", outcomes[index].Choice.Label)
		for _, column := range policyColumns {
			if !slices.Contains(comparedColumns, column.name) {
				continue
			}
			difference := Paired(values(&outcomes[at], column.value), values(&outcomes[index], column.value))
			mark := ""
			if difference.Significant() {
				mark = "*"
			}
			fmt.Fprintf(table, "%s%s\t", difference, mark)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// policySummary is the last line's entry of one policy.
type policySummary struct {
	ColdP99      float64 `json:"cold_p99_s"`
	ColdP99Ratio float64 `json:"cold_p99_ratio"`
	IdleHours    float64 `json:"idle_hours"`
	IdleRatio    float64 `json:"idle_ratio"`
	Refused      float64 `json:"refused"`
}

// WritePolicySummary prints the machine-readable last line.
func WritePolicySummary(writer io.Writer, deployment string, seed uint64, outcomes []emulator.PolicyOutcome, product string) error {
	policies := map[string]policySummary{}
	for index := range outcomes {
		mean := func(value func(*emulator.PolicyFigures) float64) float64 {
			return rounded(EstimateOf(values(&outcomes[index], value)).Mean)
		}
		policies[outcomes[index].Choice.Label] = policySummary{
			ColdP99:      mean(func(f *emulator.PolicyFigures) float64 { return f.Cold.P99 }),
			ColdP99Ratio: mean((*emulator.PolicyFigures).ColdRatio),
			IdleHours:    mean(func(f *emulator.PolicyFigures) float64 { return f.IdleHours }),
			IdleRatio:    mean((*emulator.PolicyFigures).IdleRatio),
			Refused:      mean(func(f *emulator.PolicyFigures) float64 { return float64(f.Refused) }),
		}
	}
	return json.NewEncoder(writer).Encode(struct {
		Deployment string                   `json:"deployment"`
		Seed       uint64                   `json:"seed"`
		Policies   map[string]policySummary `json:"policies"`
		Product    string                   `json:"product"`
	}{deployment, seed, policies, product})
}

func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
