package command

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/logging"
	"github.com/hatchplank/hatchplank/internal/serve"
	"github.com/hatchplank/hatchplank/internal/settings"
)

// serveFlags are the settings that a flag can override, by flag name.
var serveFlags = map[string]struct{ key, usage string }{
	"name":         {"node.name", "name of this node, unique among live nodes"},
	"zone":         {"node.zone", "zone of this node"},
	"region":       {"node.region", "region of this node"},
	"callers":      {"listen.callers", "address for callers and administration"},
	"peers":        {"listen.peers", "address for other nodes"},
	"key-value":    {"platform.key_value", "URLs of the key-value service, separated by commas"},
	"machine-list": {"platform.machine_list", "URL of the machine list"},
	"weight-store": {"platform.weight_store", "URL of the weight store"},
	"log-level":    {"log.level", "trace, debug, info, warn or error"},
}

// listFlags are those of serveFlags that hold several values.
var listFlags = map[string]bool{"key-value": true}

// NewServeCommand returns the command that runs a node.
func NewServeCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run a node",
		Long: "Run a node: gateway for callers and a share of the control.\n" +
			"SIGTERM and SIGINT stop it in order: new work is refused, what runs is finished, roles are handed over.",
		Example: "  hatchplank serve --settings examples/schools/settings.yaml\n" +
			"  hatchplank serve --settings examples/schools/settings.yaml --callers 127.0.0.1:8081 --peers 127.0.0.1:7081 --zone piraeus",
		Args: usageArguments(cobra.NoArgs),
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (YAML)")
	for name, flag := range serveFlags {
		command.Flags().String(name, "", flag.usage+" (overrides "+flag.key+")")
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		return runServe(command, file)
	}
	return command
}

func runServe(command *cobra.Command, file string) error {
	if file == "" {
		return usageError("--settings is missing; see '%s --help'", command.CommandPath())
	}
	content, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	chosen, problems := settings.Load(content, overridesOf(command))
	if len(problems) > 0 {
		return &settings.InvalidError{Problems: problems}
	}
	logger, err := logging.NewLogger(os.Stderr, chosen.Log.Level, chosen.Node.Name)
	if err != nil {
		return err
	}
	if chosen.Log.Format == "console" {
		logger = logger.Output(logging.ConsoleWriter(os.Stderr))
	}
	process, err := serve.New(chosen, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return process.Run(ctx)
}

// overridesOf collects the settings given by flags.
func overridesOf(command *cobra.Command) map[string]any {
	overrides := map[string]any{}
	for name, flag := range serveFlags {
		if !command.Flags().Changed(name) {
			continue
		}
		value, _ := command.Flags().GetString(name)
		if listFlags[name] {
			overrides[flag.key] = strings.Split(value, ",")
			continue
		}
		overrides[flag.key] = value
	}
	return overrides
}
