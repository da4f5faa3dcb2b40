package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/edge"
	"github.com/hatchplank/hatchplank/platform"
)

// newRootCommand returns the program's root command.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "hatchplank-node", Short: "Run a hatchplank node on the platform",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(newServeCommand(), newCheckCommand())
	return root
}

func newServeCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run the node until SIGTERM",
		Long: "Run the node until SIGTERM. SIGHUP, or a change of the settings file, reads the settings again.\n" +
			"The settings file is named by --settings or by the variable " + platform.SettingsVariable + ".",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serve(file) },
	}
	command.Flags().StringVar(&file, "settings", os.Getenv(platform.SettingsVariable), "settings file (YAML)")
	return command
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if _, err := readSettings(arguments[0]); err != nil {
				return err
			}
			command.Println(arguments[0] + ": no problems")
			return nil
		},
	}
}

func readSettings(file string) (edge.Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return edge.Settings{}, eris.Wrap(err, "read the settings")
	}
	return edge.LoadSettings(content)
}

// serve runs a node until SIGTERM or an interrupt.
func serve(file string) error {
	hangUps := edge.CatchSIGHUP()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	settings, err := readSettings(file)
	if err != nil {
		return err
	}
	logger, output, err := edge.NewLogger(os.Stdout, settings.Log.Level, settings.Node.Name)
	if err != nil {
		return err
	}
	defer output.Close()
	process, err := assemble(settings, logger)
	if err != nil {
		return err
	}
	go edge.WatchSettings(ctx, hangUps, file, settings, logger)
	return process.Run(ctx)
}
