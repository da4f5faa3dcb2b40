package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/table"
)

// diffResult is the JSON form of the command's result.
type diffResult struct {
	// Revision compared with; 0 for a file.
	Revision table.Revision    `json:"revision"`
	Changes  []table.RowChange `json:"changes"`
}

func newTableDiffCommand() *cobra.Command {
	var node nodeFlags
	var file tableFileFlags
	var output string
	command := &cobra.Command{
		Use:   "diff FILE [OTHER]",
		Short: "Show what a table file would change",
		Long: "Show row by row and column by column how a file differs from the table in force, or,\n" +
			"with two files, how the second differs from the first. FILE may be '-'.",
		Example: "  hatchplank table diff table.csv\n" +
			"  hatchplank table diff before.yaml after.yaml --output json",
		Args: usageArguments(cobra.RangeArgs(1, 2)),
		RunE: func(command *cobra.Command, arguments []string) error {
			return runTableDiff(command, node, file, output, arguments)
		},
	}
	node.register(command)
	file.register(command)
	registerOutput(command, &output)
	return command
}

func runTableDiff(command *cobra.Command, node nodeFlags, file tableFileFlags, output string, paths []string) error {
	if err := checkTableOutput(output); err != nil {
		return err
	}
	after, err := file.read(command, paths[len(paths)-1], table.Constraints{})
	if err != nil {
		return err
	}
	before, err := tableBefore(command, node, file, paths)
	if err != nil {
		return err
	}
	found := diffResult{Revision: before.Revision, Changes: append([]table.RowChange{}, table.Changes(before.Rows, after.Rows)...)}
	if output == outputJSON {
		return printJSON(command.OutOrStdout(), found)
	}
	printChanges(command.OutOrStdout(), found.Changes)
	return nil
}

func tableBefore(command *cobra.Command, node nodeFlags, file tableFileFlags, paths []string) (table.Document, error) {
	if len(paths) == 2 {
		document, err := file.read(command, paths[0], table.Constraints{})
		document.Revision = 0
		return document, err
	}
	client, err := node.tableClient()
	if err != nil {
		return table.Document{}, err
	}
	return client.read(command.Context())
}

// printChanges prints one line a row, and one a column that differs.
func printChanges(output io.Writer, changes []table.RowChange) {
	if len(changes) == 0 {
		fmt.Fprintln(output, "no changes")
	}
	for _, change := range changes {
		switch {
		case change.Added:
			fmt.Fprintf(output, "+ %s\n", change.Row)
		case change.Removed:
			fmt.Fprintf(output, "- %s\n", change.Row)
		default:
			fmt.Fprintf(output, "~ %s\n", change.Row)
		}
		for _, column := range change.Columns {
			fmt.Fprintf(output, "    %s: %q -> %q\n", column.Column, column.Before, column.After)
		}
	}
}
