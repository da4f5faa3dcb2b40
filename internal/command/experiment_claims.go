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

// defaultClaimRate of claims a second.
const defaultClaimRate = 100

// newClaimsCommand returns the command that weighs the ways to make claims of
// non-repeatable requests durable.
func newClaimsCommand() *cobra.Command {
	var deployment string
	var seed uint64
	var rate float64
	command := &cobra.Command{
		Use:   "claims",
		Short: "Measure claims of non-repeatable requests in outages, against batched writes",
		Long: "Claim fresh keys for five virtual minutes at six nodes, by a majority of acceptors as\n" +
			"nodes do, and by batches written to the key-value service, in calm, in an outage of\n" +
			"that service and with nodes that die. The service takes 100 operations a second.\n" +
			"Prints a table and a last line of JSON.",
		Example: "  hatchplank experiment claims --deployment schools --seed 1",
		Args:    usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if rate <= 0 {
				return usageError("rate must be above 0")
			}
			loaded, _, err := emulator.FromExample(deployment)
			if err != nil {
				return usageError("%w", err)
			}
			debug.SetGCPercent(experimentGCPercent)
			points := measureClaims(command.ErrOrStderr(), loaded, seed, rate)
			printClaims(command.OutOrStdout(), points)
			return json.NewEncoder(command.OutOrStdout()).Encode(map[string][]emulator.ClaimPoint{"claims": points})
		},
	}
	command.Flags().StringVar(&deployment, "deployment", "schools", "deployment to run: schools or abay")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the runs")
	command.Flags().Float64Var(&rate, "rate", defaultClaimRate, "claims a second")
	return command
}

func measureClaims(progress io.Writer, deployment emulator.Deployment, seed uint64, rate float64) []emulator.ClaimPoint {
	var points []emulator.ClaimPoint
	for _, way := range []emulator.ClaimWay{emulator.ClaimByAcceptors, emulator.ClaimByBatches} {
		for _, scenario := range emulator.ClaimScenarios {
			fmt.Fprintf(progress, "%s: %s\n", way, scenario.Name)
			points = append(points, emulator.RunClaims(deployment, seed, way, scenario, rate))
		}
	}
	return points
}

func printClaims(output io.Writer, points []emulator.ClaimPoint) {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "WAY\tSCENARIO\tCLAIMS\tGRANTED\tREFUSED\tP50 ms\tP99 ms\tKV OPERATIONS/s")
	for _, point := range points {
		fmt.Fprintf(writer, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\n", point.Way, point.Scenario, point.Claims,
			point.Granted, point.Refused, point.P50, point.P99, point.KeyValueOperations)
	}
	_ = writer.Flush()
}
