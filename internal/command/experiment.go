package command

import "github.com/spf13/cobra"

// NewExperimentCommand returns the group of the experiments in virtual time.
func NewExperimentCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Run whole deployments in virtual time and measure them",
		Long: "Run whole deployments in virtual time: the same node code as serve, between simulated\n" +
			"callers and the platform's stand-ins. Each experiment ends with one line of JSON.",
		Example: "  hatchplank experiment demo\n  hatchplank experiment faults --deployment schools --seed 1 --runs 20",
	}
	group(command)
	command.AddCommand(newDemoCommand(), newClaimsCommand(), newFaultsCommand(), newOverloadCommand(), newPoliciesCommand())
	return command
}
