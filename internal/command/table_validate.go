package command

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/table"
)

// validateFlags of 'table validate'.
type validateFlags struct {
	file                      tableFileFlags
	settingsFile              string
	fleetMemory, serverMemory string
	output                    string
}

// validateResult is the JSON form of the command's result.
type validateResult struct {
	Valid    bool            `json:"valid"`
	Rows     int             `json:"rows"`
	Problems []table.Problem `json:"problems"`
}

func newTableValidateCommand() *cobra.Command {
	flags := &validateFlags{}
	command := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a table file without a node",
		Long: "Check a table file and list every breach with its row, column, value and what is\n" +
			"allowed. Tenants are checked with --settings, memory with --fleet-memory and\n" +
			"--server-memory. FILE may be '-' for standard input.",
		Example: "  hatchplank table validate table.csv\n" +
			"  hatchplank table validate table.yaml --settings settings.yaml --fleet-memory 11520GiB --output json",
		Args: usageArguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			return runTableValidate(command, flags, arguments[0])
		},
	}
	flags.file.register(command)
	registerOutput(command, &flags.output)
	command.Flags().StringVar(&flags.settingsFile, "settings", "", "settings file that names the tenants")
	command.Flags().StringVar(&flags.fleetMemory, "fleet-memory", "", "accelerator memory of all engines together, e.g. 11520GiB")
	command.Flags().StringVar(&flags.serverMemory, "server-memory", "", "accelerator memory of one engine, e.g. 640GiB")
	return command
}

func runTableValidate(command *cobra.Command, flags *validateFlags, path string) error {
	if err := checkTableOutput(flags.output); err != nil {
		return err
	}
	constraints, err := flags.constraints()
	if err != nil {
		return err
	}
	document, problems, err := flags.file.decode(command, path, constraints)
	if err != nil {
		return err
	}
	if flags.output == outputJSON {
		found := validateResult{Valid: len(problems) == 0, Rows: len(document.Rows), Problems: append([]table.Problem{}, problems...)}
		if err := printJSON(command.OutOrStdout(), found); err != nil {
			return err
		}
		return errorOfProblems(problems)
	}
	for _, problem := range problems {
		fmt.Fprintln(command.OutOrStdout(), problem)
	}
	if len(problems) == 0 {
		fmt.Fprintf(command.OutOrStdout(), "%s: %d rows, no problems\n", path, len(document.Rows))
	}
	return errorOfProblems(problems)
}

// errorOfProblems is short, because the problems were printed.
func errorOfProblems(problems []table.Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return fmt.Errorf("%d problems found", len(problems))
}

func (f *validateFlags) constraints() (table.Constraints, error) {
	var constraints table.Constraints
	var err error
	if constraints.FleetMemoryBytes, err = sizeFlag("fleet-memory", f.fleetMemory); err != nil {
		return constraints, err
	}
	if constraints.ServerMemoryBytes, err = sizeFlag("server-memory", f.serverMemory); err != nil {
		return constraints, err
	}
	if f.settingsFile == "" {
		return constraints, nil
	}
	content, err := os.ReadFile(f.settingsFile)
	if err != nil {
		return constraints, fmt.Errorf("read settings: %w", err)
	}
	loaded, problems := settings.Load(content, nil)
	if len(problems) > 0 {
		return constraints, &settings.InvalidError{Problems: problems}
	}
	constraints.Tenants = loaded.TenantNames()
	return constraints, nil
}

func sizeFlag(name, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	size, err := table.ParseSize(text)
	if err != nil {
		return 0, usageError("--%s %q is not a size such as 640GiB", name, text)
	}
	return size, nil
}
