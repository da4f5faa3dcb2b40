package command

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/standin/suite"
)

// standinOptions are the flags of "standin".
type standinOptions struct {
	deployment string
	configFile string
	listen     string
	basePort   int
	timeScale  float64
	records    bool
}

// NewStandinCommand returns the command that runs the platform's stand-ins.
func NewStandinCommand() *cobra.Command {
	options := &standinOptions{}
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform for tests",
		Long: "Run stand-ins of the platform's systems for tests, in one process and in memory.\n" +
			"Ports count up from the base port: key-value service +0, weight store +1,\n" +
			"machine list +2, servers from +10 in the order of the pools. Each stand-in has a\n" +
			"control interface under /control, with /control/faults to switch its faults.",
		Example: "  hatchplank standin all --deployment schools --base-port 7100\n" +
			"  hatchplank standin all --deployment abay --listen 127.0.0.1 --time-scale 20\n" +
			"  hatchplank standin kv --base-port 7100",
	}
	group(command)
	addStandinFlags(command, options)
	command.AddCommand(
		newStandinPart(options, "all", "Run all stand-ins", suite.AllParts...),
		newStandinPart(options, "kv", "Run the key-value service", suite.PartKeyValue),
		newStandinPart(options, "weights", "Run the weight store", suite.PartWeights),
		newStandinPart(options, "engine", "Run the model engines, with a weight store of their own", suite.PartEngines),
		newStandinPart(options, "machines", "Run the machine list; the servers run elsewhere", suite.PartMachines),
		newStandinPart(options, "server", "Run the servers that are no engines", suite.PartServers),
	)
	return command
}

func addStandinFlags(command *cobra.Command, options *standinOptions) {
	flags := command.PersistentFlags()
	flags.StringVar(&options.deployment, "deployment", "schools", "built-in deployment: "+strings.Join(suite.Deployments(), ", "))
	flags.StringVar(&options.configFile, "config", "", "YAML file of a deployment, instead of a built-in one")
	flags.StringVar(&options.listen, "listen", suite.DefaultListen, "IP address to listen at")
	flags.IntVar(&options.basePort, "base-port", 0, "first port; 0 lets the system choose")
	flags.Float64Var(&options.timeScale, "time-scale", suite.DefaultTimeScale, "make loads so many times faster")
	flags.BoolVar(&options.records, "keep-records", true, "keep every event in memory for /control/records")
}

func newStandinPart(options *standinOptions, name, short string, parts ...suite.Part) *cobra.Command {
	return &cobra.Command{
		Use:     name,
		Short:   short,
		Example: fmt.Sprintf("  hatchplank standin %s --deployment abay --base-port 7100", name),
		Args:    usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			return runStandin(command, options, parts)
		},
	}
}

// runStandin runs the parts until the process is told to end.
func runStandin(command *cobra.Command, options *standinOptions, parts []suite.Part) error {
	config, err := options.config(command)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	running, err := suite.Start(config, parts, zerolog.New(command.ErrOrStderr()).With().Timestamp().Logger())
	if err != nil {
		return err
	}
	if err := printEndpoints(command.OutOrStdout(), running.Endpoints()); err != nil {
		running.Close()
		return err
	}
	running.Run(ctx)
	return nil
}

// config reads the deployment; flags that were given go before it.
func (o *standinOptions) config(command *cobra.Command) (suite.Config, error) {
	config, err := o.deploymentConfig()
	if err != nil {
		return suite.Config{}, err
	}
	overrides := map[string]func(){
		"listen":       func() { config.Listen = o.listen },
		"base-port":    func() { config.BasePort = o.basePort },
		"time-scale":   func() { config.TimeScale = o.timeScale },
		"keep-records": func() { config.KeepRecords = o.records },
	}
	for name, override := range overrides {
		if command.Flags().Changed(name) {
			override()
		}
	}
	return config, config.Validate()
}

func (o *standinOptions) deploymentConfig() (suite.Config, error) {
	if o.configFile == "" {
		return suite.BuiltIn(o.deployment)
	}
	content, err := os.ReadFile(o.configFile)
	if err != nil {
		return suite.Config{}, eris.Wrap(err, "stand-in configuration")
	}
	return suite.Parse(content)
}

func printEndpoints(writer io.Writer, endpoints []suite.Endpoint) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	for _, endpoint := range endpoints {
		fmt.Fprintf(table, "%s\t%s\n", endpoint.Name, endpoint.Address)
	}
	return table.Flush()
}
