package command

import (
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/explain"
)

// NewExplainCommand returns the command that explains one request, or all of them,
// from logs.
func NewExplainCommand() *cobra.Command {
	var day bool
	command := &cobra.Command{
		Use:   "explain REQUEST | explain --day",
		Short: "Tell what became of a request, or of all, from the nodes' logs",
		Long: "Read log lines of any number of nodes from standard input, and write those about the\n" +
			"request and the beliefs that decided it, in order of time; or, with --day, how the\n" +
			"requests of each route ended and what made them late.",
		Example: "  cat a.log b.log | hatchplank explain 9c41d07be2a35f68\n  cat a.log b.log | hatchplank explain --day",
		RunE: func(command *cobra.Command, arguments []string) error {
			if day {
				return explain.SummarizeOutcomes(command.InOrStdin(), command.OutOrStdout())
			}
			return explain.Explain(arguments[0], command.InOrStdin(), command.OutOrStdout())
		},
	}
	command.Flags().BoolVar(&day, "day", false, "tell how the requests of each route ended")
	command.Args = usageArguments(func(command *cobra.Command, arguments []string) error {
		if day {
			return cobra.NoArgs(command, arguments)
		}
		return cobra.ExactArgs(1)(command, arguments)
	})
	return command
}
