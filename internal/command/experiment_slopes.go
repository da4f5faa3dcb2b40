package command

import (
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/slopes"
)

// slopesProcessors bounds the processors that the experiment uses.
const slopesProcessors = 6

// slopesMemoryLimit makes the collector work harder before the process takes
// more bytes than this.
const slopesMemoryLimit = 11 << 30

// slopesProfileRate is the mean number of bytes between two samples of the
// memory profile.
const slopesProfileRate = 64 << 10

// slopesReportFile is the report's name in the directory of --report.
const slopesReportFile = "slopes.txt"

// newSlopesCommand returns the command that measures how a node's control work
// grows with the size.
func newSlopesCommand() *cobra.Command {
	var directory string
	options := slopes.Options{}
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measure how a node's control work grows with the deployment's size",
		Long: "Run many hollow nodes before hollow servers in one process, in virtual time, and\n" +
			"count messages, bytes after encoding, key-value operations, processor time and\n" +
			"memory by role. Fits slopes and compares their extrapolation to the target of\n" +
			"docs/CAPACITY.md with the limits. Without --quick it takes an hour and 12 GB.",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			runtime.MemProfileRate = slopesProfileRate
			debug.SetMemoryLimit(slopesMemoryLimit)
			if runtime.GOMAXPROCS(0) > slopesProcessors {
				runtime.GOMAXPROCS(slopesProcessors)
			}
			options.Out, options.Progress = command.OutOrStdout(), command.ErrOrStderr()
			if directory == "" {
				return slopes.Run(options)
			}
			return runSlopesReport(options, directory)
		},
	}
	command.Flags().BoolVar(&options.Quick, "quick", false, "measure small sizes only, in seconds")
	command.Flags().StringVar(&directory, "report", "", "directory for the report as a file")
	command.Flags().StringSliceVar(&options.Parts, "part", nil, "parts to run: "+strings.Join(slopes.Parts, ", ")+" (default all)")
	return command
}

// runSlopesReport writes the report to a file as well.
func runSlopesReport(options slopes.Options, directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(directory, slopesReportFile))
	if err != nil {
		return err
	}
	options.Out = io.MultiWriter(options.Out, file)
	if err := slopes.Run(options); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
