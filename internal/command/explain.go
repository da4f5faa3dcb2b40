package command

import (
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/explain"
)

// NewExplainCommand returns the command that explains one request from logs.
func NewExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain REQUEST",
		Short: "Tell what became of a request, from the nodes' logs",
		Long: "Read log lines of any number of nodes from standard input, and write those about the\n" +
			"request and the beliefs that decided it, in order of time.",
		Example: "  cat a.log b.log | hatchplank explain 9c41d07be2a35f68",
		Args:    usageArguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			return explain.Explain(arguments[0], command.InOrStdin(), command.OutOrStdout())
		},
	}
}
