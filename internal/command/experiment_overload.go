package command

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/emulator"
)

// overloadFactors of the capacity are offered, failingShares of the calls to a
// pool are refused.
var (
	overloadFactors = []float64{0.5, 0.8, 1, 1.5, 2, 3, 4}
	failingShares   = []float64{0, 0.25, 0.5, 0.75, 1}
)

// overloadSummary is the last line of the output.
type overloadSummary struct {
	Capacity float64                   `json:"capacity_per_s"`
	Tenants  []emulator.OverloadTenant `json:"tenants"`
	Points   []emulator.OverloadPoint  `json:"points"`
	Retries  []emulator.RetryPoint     `json:"retries"`
}

// newOverloadCommand returns the command that measures goodput, shares and
// retries under load past the capacity.
func newOverloadCommand() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use:   "overload",
		Short: "Measure goodput, shares and retries under load past the capacity",
		Long: "Offer half to four times the capacity of one shared model, with mixed limits, priorities\n" +
			"and tenants of different weight, and measure what is served in time; then let a share\n" +
			"of all calls to a back-end pool fail and measure how many calls that makes. Prints two\n" +
			"tables and a last line of JSON; fails if a request was answered late or not at all.",
		Example: "  hatchplank experiment overload --seed 1",
		Args:    usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runOverload(command, seed)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	return command
}

func runOverload(command *cobra.Command, seed uint64) error {
	debug.SetGCPercent(experimentGCPercent)
	summary := overloadSummary{Capacity: emulator.MeasureCapacity(seed), Tenants: emulator.OverloadTenants}
	if summary.Capacity == 0 {
		return fmt.Errorf("nothing was served when the capacity was measured")
	}
	late := 0
	for _, factor := range overloadFactors {
		fmt.Fprintf(command.ErrOrStderr(), "offering %g times the capacity\n", factor)
		point := emulator.RunOverload(seed, summary.Capacity, factor)
		late += point.LateOrMissing
		summary.Points = append(summary.Points, point)
	}
	for _, share := range failingShares {
		fmt.Fprintf(command.ErrOrStderr(), "failing %g of the pool's calls\n", share)
		summary.Retries = append(summary.Retries, emulator.RunRetries(seed, share))
	}
	printOverload(command.OutOrStdout(), summary)
	if err := json.NewEncoder(command.OutOrStdout()).Encode(summary); err != nil {
		return err
	}
	if late > 0 {
		return fmt.Errorf("%d requests were answered late or not at all", late)
	}
	return nil
}

func printOverload(output io.Writer, summary overloadSummary) {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintf(writer, "capacity %.1f requests/s\n\n", summary.Capacity)
	fmt.Fprint(writer, "LOAD\tOFFERED/s\tGOODPUT/s\tLATE\tHIGH SERVED\tNORMAL SERVED")
	for _, tenant := range summary.Tenants {
		fmt.Fprintf(writer, "\t%s (%d)", tenant.Name, tenant.Weight)
	}
	for _, point := range summary.Points {
		fmt.Fprintf(writer, "\n%.1f\t%.1f\t%.1f\t%d\t%.1f%%\t%.1f%%", point.Factor, point.Offered, point.Goodput,
			point.LateOrMissing, 100*point.ServedHigh, 100*point.ServedNormal)
		for _, share := range point.Shares {
			fmt.Fprintf(writer, "\t%.1f%%", 100*share)
		}
	}
	fmt.Fprint(writer, "\n\nFAILING\tREQUESTS\tSERVED\tCALLS PER REQUEST\n")
	for _, point := range summary.Retries {
		fmt.Fprintf(writer, "%.0f%%\t%d\t%d\t%.3f\n", 100*point.FailingShare, point.Requests, point.Served, point.Amplification)
	}
	_ = writer.Flush()
}
