package command

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/api"
)

const defaultHistoryEntries = 20

func newTableHistoryCommand() *cobra.Command {
	var node nodeFlags
	var output string
	var limit int
	command := &cobra.Command{
		Use:   "history",
		Short: "Show the accepted edits, newest first",
		Example: "  hatchplank table history --limit 5\n" +
			"  hatchplank table history --output json | jq '.entries[0].changes'",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runTableHistory(command, node, output, limit)
		},
	}
	node.register(command)
	registerOutput(command, &output)
	command.Flags().IntVar(&limit, "limit", defaultHistoryEntries, "how many edits to show")
	return command
}

func runTableHistory(command *cobra.Command, node nodeFlags, output string, limit int) error {
	if err := checkTableOutput(output); err != nil {
		return err
	}
	if limit < 1 {
		return usageError("--limit must be at least 1")
	}
	client, err := node.tableClient()
	if err != nil {
		return err
	}
	history, err := client.history(command.Context(), limit)
	if err != nil {
		return err
	}
	if output == outputJSON {
		return printJSON(command.OutOrStdout(), history)
	}
	return printHistory(command.OutOrStdout(), history.Entries)
}

func printHistory(output io.Writer, entries []api.HistoryEntry) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "REVISION\tTIME\tAUTHOR\tADDED\tCHANGED\tREMOVED")
	for _, entry := range entries {
		added, changed, removed := countChanges(entry)
		fmt.Fprintf(writer, "%d\t%s\t%s\t%d\t%d\t%d\n",
			entry.Revision, entry.Time.Format(time.RFC3339), entry.Author, added, changed, removed)
	}
	return writer.Flush()
}

func countChanges(entry api.HistoryEntry) (added, changed, removed int) {
	for _, change := range entry.Changes {
		switch {
		case change.Added:
			added++
		case change.Removed:
			removed++
		default:
			changed++
		}
	}
	return added, changed, removed
}
