package command

import (
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/table"
)

func newTableExportCommand() *cobra.Command {
	var node nodeFlags
	var format string
	command := &cobra.Command{
		Use:   "export",
		Short: "Write the table as a file to edit",
		Long: "Write the table to standard output, to be edited and given to 'hatchplank table apply'.\n" +
			"YAML and JSON hold the revision, which guards against editing an old table.",
		Example: "  hatchplank table export --format csv > table.csv\n" +
			"  hatchplank table export --format yaml --token-file operator.token > table.yaml",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return runTableExport(command, node, format) },
	}
	node.register(command)
	command.Flags().StringVar(&format, "format", string(table.FormatYAML), "form of the file: csv, yaml or json")
	completeWords(command, "format", string(table.FormatCSV), string(table.FormatYAML), string(table.FormatJSON))
	return command
}

func runTableExport(command *cobra.Command, node nodeFlags, word string) error {
	format, err := parseTableFormat(word)
	if err != nil {
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
	text, err := table.Encode(format, document.Revision, document.Rows)
	if err != nil {
		return err
	}
	_, err = command.OutOrStdout().Write(text)
	return err
}
