// Package command is the command line: one file a subcommand.
package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the program, documented in docs/operators/exit-codes.md.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Execute runs the command line and returns the exit code.
func Execute(arguments []string) int {
	root := newRoot()
	root.SetArgs(arguments)
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "hatchplank:", err)
		return exitCode(err)
	}
	return ExitOK
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "hatchplank",
		Short:         "Serve rarely used language models on shared accelerators",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	group(root)
	root.SetFlagErrorFunc(usageFlags)
	root.AddCommand(
		NewServeCommand(),
		NewTableCommand(),
		NewStatusCommand(),
		NewDrainCommand(),
		NewStandinCommand(),
		NewLoadCommand(),
		NewExperimentCommand(),
		NewExplainCommand(),
		NewInspectCommand(),
		NewVersionCommand(),
	)
	return root
}
