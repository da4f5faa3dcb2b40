package command

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/emulator"
)

// newDemoCommand returns the command that shows a round's opening.
func newDemoCommand() *cobra.Command {
	var name string
	var seed uint64
	command := &cobra.Command{
		Use:     "demo",
		Short:   "Open a round of a deployment at full size, in virtual time",
		Example: "  hatchplank experiment demo --deployment schools --seed 1",
		Args:    usageArguments(cobra.NoArgs),
	}
	command.Flags().StringVar(&name, "deployment", "schools", "schools or abay")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the run")
	command.RunE = func(command *cobra.Command, _ []string) error {
		deployment, workload, err := emulator.FromExample(name)
		if err != nil {
			return usageError("%w", err)
		}
		out := command.OutOrStdout()
		summary := emulator.RunDemo(deployment, workload, seed, out)
		line, err := json.Marshal(summary)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(line))
		if !summary.Clean() {
			return errors.New("a promise was broken")
		}
		return nil
	}
	return command
}
