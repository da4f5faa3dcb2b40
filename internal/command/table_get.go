package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/table"
)

func newTableGetCommand() *cobra.Command {
	var node nodeFlags
	var output string
	command := &cobra.Command{
		Use:   "get",
		Short: "Show the table",
		Long:  "Show the table in columns. For a file to edit use 'hatchplank table export'.",
		Example: "  hatchplank table get --node http://127.0.0.1:8080 --token-file operator.token\n" +
			"  hatchplank table get --output json | jq '.rows[] | select(.kind == \"adapter\")'",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return runTableGet(command, node, output) },
	}
	node.register(command)
	registerOutput(command, &output)
	return command
}

func runTableGet(command *cobra.Command, node nodeFlags, output string) error {
	if err := checkTableOutput(output); err != nil {
		return err
	}
	client, err := node.tableClient()
	if err != nil {
		return err
	}
	document, err := client.read(command.Context())
	if err != nil {
		return err
	}
	written := table.NewTableDocument(document.Revision, document.Rows)
	if output == outputJSON {
		return printJSON(command.OutOrStdout(), written)
	}
	return printTable(command.OutOrStdout(), written)
}

func printTable(output io.Writer, document table.TableDocument) error {
	fmt.Fprintf(output, "revision %d, %d rows\n", document.Revision, len(document.Rows))
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "NAME\tKIND\tBASE\tVERSION\tWEIGHTS\tTENANT\tPRIORITY\tWEIGHT\tREPLICAS\tMEMORY\tTIME LIMIT\tREPEATABLE")
	for _, row := range document.Rows {
		fmt.Fprintf(writer, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d-%d\t%s\t%s\t%t\n",
			row.Name, row.Kind, row.Base, row.Version, row.Weights, row.Tenant, row.Priority, row.Weight,
			row.MinReplicas, row.MaxReplicas, row.Memory, row.TimeLimit, row.Repeatable)
	}
	return writer.Flush()
}
