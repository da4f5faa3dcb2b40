package command

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/table"
)

// standardInput is the file name that means standard input.
const standardInput = "-"

// NewTableCommand returns the command that reads and edits the table.
func NewTableCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "table",
		Short: "Read, check and edit the table of models and adapters",
		Long: "The table is the only thing operators edit. Files may be CSV, YAML or JSON and\n" +
			"always hold the whole table; an operator of a tenant sees and edits the tenant's rows.",
		Example: "  hatchplank table export --format csv > table.csv\n" +
			"  hatchplank table diff table.csv\n" +
			"  hatchplank table apply table.csv --wait",
	}
	group(command)
	command.SetFlagErrorFunc(usageFlags)
	command.AddCommand(
		newTableGetCommand(),
		newTableValidateCommand(),
		newTableDiffCommand(),
		newTableApplyCommand(),
		newTableHistoryCommand(),
		newTableExportCommand(),
	)
	return command
}

// tableFileFlags say how to read a table file.
type tableFileFlags struct {
	format string
}

func (f *tableFileFlags) register(command *cobra.Command) {
	command.Flags().StringVar(&f.format, "format", "", "form of the file: csv, yaml or json (default: by its name)")
	completeWords(command, "format", string(table.FormatCSV), string(table.FormatYAML), string(table.FormatJSON))
}

// read reads a file and checks its form and the rules that need no deployment,
// or those of the constraints as well.
func (f *tableFileFlags) read(command *cobra.Command, path string, constraints table.Constraints) (table.Document, error) {
	document, problems, err := f.decode(command, path, constraints)
	if err != nil {
		return table.Document{}, err
	}
	if len(problems) > 0 {
		return table.Document{}, &table.InvalidError{Problems: problems}
	}
	return document, nil
}

func (f *tableFileFlags) decode(command *cobra.Command, path string, constraints table.Constraints) (table.Document, []table.Problem, error) {
	format, err := f.formatOf(path)
	if err != nil {
		return table.Document{}, nil, err
	}
	data, err := readBounded(command, path)
	if err != nil {
		return table.Document{}, nil, err
	}
	document, problems := table.DecodeValid(format, data, constraints)
	return document, problems, nil
}

func (f *tableFileFlags) formatOf(path string) (table.Format, error) {
	if f.format != "" {
		return parseTableFormat(f.format)
	}
	format, known := table.FormatOfFile(path)
	if !known {
		return "", usageError("the form of %q is not known by its name; use --format", path)
	}
	return format, nil
}

func parseTableFormat(word string) (table.Format, error) {
	switch format := table.Format(word); format {
	case table.FormatCSV, table.FormatYAML, table.FormatJSON:
		return format, nil
	}
	return "", usageError("format %q is not one of csv, yaml, json", word)
}

// readBounded reads one byte more than a table may have, so that a larger file
// is refused without being held.
func readBounded(command *cobra.Command, path string) ([]byte, error) {
	input := command.InOrStdin()
	if path != standardInput {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read table: %w", err)
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	return io.ReadAll(io.LimitReader(input, table.MaxInputBytes+1))
}

// checkTableOutput makes a wrong --output an error of usage.
func checkTableOutput(output string) error {
	if err := checkOutput(output); err != nil {
		return usageError("%w", err)
	}
	return nil
}
