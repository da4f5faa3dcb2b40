package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/table"
)

const (
	defaultForceTimeout = time.Minute
	// maxMergeAttempts bounds how often a merge is tried while others edit.
	maxMergeAttempts = 5
)

// applyFlags of 'table apply'.
type applyFlags struct {
	node        nodeFlags
	file        tableFileFlags
	output      string
	baseFile    string
	merge       bool
	dryRun      bool
	wait        bool
	waitTimeout time.Duration
}

// applyResult is the JSON form of the command's result.
type applyResult struct {
	// Revision after the command.
	Revision table.Revision `json:"revision"`
	// Applied is false when nothing was to be changed, or for a dry run.
	Applied bool `json:"applied"`
	// Merged: others' edits were merged in.
	Merged bool `json:"merged"`
	// InForce: every live node was seen to act on the revision.
	InForce bool              `json:"in_force"`
	Changes []table.RowChange `json:"changes"`
}

// tableEdit is an edit on its way: rows made from a base.
type tableEdit struct {
	base, rows []table.Row
}

func newTableApplyCommand() *cobra.Command {
	flags := &applyFlags{}
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make a file the table",
		Long: "Show what the file changes and make it the table, if nobody else edited the table\n" +
			"meanwhile. A file that names its revision (YAML, JSON) must name the newest.\n" +
			"With --merge, edits of others are merged in where they touch other values; --base\n" +
			"gives the file from which the edit was made. FILE may be '-' for standard input.\n" +
			"Exit code 3: the table was changed by somebody else; nothing was written.",
		Example: "  hatchplank table apply table.csv --wait\n" +
			"  hatchplank table apply table.yaml --dry-run\n" +
			"  hatchplank table apply edited.csv --base exported.csv --merge --output json",
		Args: usageArguments(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			return runTableApply(command, flags, arguments[0])
		},
	}
	flags.node.register(command)
	flags.file.register(command)
	registerOutput(command, &flags.output)
	command.Flags().StringVar(&flags.baseFile, "base", "", "file from which the edit was made; needs --merge")
	command.Flags().BoolVar(&flags.merge, "merge", false, "merge edits that others made meanwhile")
	command.Flags().BoolVar(&flags.dryRun, "dry-run", false, "only show the changes")
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until every node acts on the new table")
	command.Flags().DurationVar(&flags.waitTimeout, "wait-timeout", defaultForceTimeout, "how long to wait at most")
	return command
}

func runTableApply(command *cobra.Command, flags *applyFlags, path string) error {
	if err := flags.check(); err != nil {
		return err
	}
	document, err := flags.file.read(command, path, table.Constraints{})
	if err != nil {
		return err
	}
	client, err := flags.node.tableClient()
	if err != nil {
		return err
	}
	result, err := flags.apply(command, client, document)
	if err != nil {
		return asConflict(err)
	}
	if flags.wait && !flags.dryRun && result.Revision > 0 {
		if err := awaitForce(command, client, result.Revision, flags.waitTimeout); err != nil {
			return err
		}
		result.InForce = true
	}
	return flags.print(command, result)
}

func (f *applyFlags) check() error {
	if err := checkTableOutput(f.output); err != nil {
		return err
	}
	if f.baseFile != "" && !f.merge {
		return usageError("--base needs --merge")
	}
	return nil
}

// asConflict gives conflicts their exit code.
func asConflict(err error) error {
	var conflict *tableConflictError
	if errors.As(err, &conflict) {
		return &exitError{code: ExitConflict, err: err}
	}
	return err
}

// apply writes the edit, merging it again as often as others come first.
func (f *applyFlags) apply(command *cobra.Command, client tableClient, document table.Document) (applyResult, error) {
	current, err := client.read(command.Context())
	if err != nil {
		return applyResult{}, err
	}
	edit, err := f.begin(command, document, current)
	if err != nil {
		return applyResult{}, err
	}
	result, err := f.writeMerged(command.Context(), client, edit, current)
	for attempt := 1; f.merge && isConflict(err) && attempt < maxMergeAttempts; attempt++ {
		if current, err = client.read(command.Context()); err != nil {
			return applyResult{}, err
		}
		result, err = f.writeMerged(command.Context(), client, edit, current)
	}
	return result, err
}

func isConflict(err error) bool {
	var conflict *tableConflictError
	return errors.As(err, &conflict)
}

// begin finds the rows from which the file's edit was made.
func (f *applyFlags) begin(command *cobra.Command, document, current table.Document) (tableEdit, error) {
	if f.baseFile != "" {
		// The base is named by its own file's form, not by --format.
		base, err := (&tableFileFlags{}).read(command, f.baseFile, table.Constraints{})
		return tableEdit{base: base.Rows, rows: document.Rows}, err
	}
	if document.Revision != 0 && document.Revision != current.Revision {
		return tableEdit{}, &tableConflictError{base: document.Revision, current: current.Revision}
	}
	return tableEdit{base: current.Rows, rows: document.Rows}, nil
}

// writeMerged merges the edit with the current table and writes the outcome.
func (f *applyFlags) writeMerged(ctx context.Context, client tableClient, edit tableEdit, current table.Document) (applyResult, error) {
	merged, conflicts := table.Merge(edit.base, edit.rows, current.Rows)
	if len(conflicts) > 0 {
		return applyResult{}, &tableConflictError{base: current.Revision, current: current.Revision, conflicts: conflicts}
	}
	result := applyResult{
		Revision: current.Revision,
		Merged:   len(table.Changes(edit.base, current.Rows)) > 0,
		Changes:  append([]table.RowChange{}, table.Changes(current.Rows, merged)...),
	}
	if f.dryRun || len(result.Changes) == 0 {
		return result, nil
	}
	revision, err := client.write(ctx, current.Revision, merged)
	result.Revision, result.Applied = revision, err == nil
	return result, err
}

func (f *applyFlags) print(command *cobra.Command, result applyResult) error {
	output := command.OutOrStdout()
	if f.output == outputJSON {
		return printJSON(output, result)
	}
	printChanges(output, result.Changes)
	state := "nothing written"
	if result.Applied {
		state = "accepted"
	}
	fmt.Fprintf(output, "revision %d, %s%s%s\n", result.Revision, state,
		suffixIf(result.Merged, ", merged with others' edits"), suffixIf(result.InForce, ", in force on every node"))
	return nil
}
