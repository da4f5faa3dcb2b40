package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/load"
)

// Defaults of the load.
const (
	defaultLoadRate        = 20
	defaultLoadDuration    = 10 * time.Second
	defaultLoadTimeLimit   = 30 * time.Second
	defaultLoadPoolLimit   = 10 * time.Second
	defaultLoadMaxRequests = 1_000_000
	defaultLoadMaxInFlight = 20_000
	defaultLoadMaxTries    = 6
)

// errLoadFaults makes the program exit with a failure after the report.
var errLoadFaults = errors.New("requests were unanswered, mismatched, late or not sent, or a promise was broken")

// loadFlags describe the load on the command line.
type loadFlags struct {
	options       load.Options
	workloadFile  string
	models, pools []string
	maxTokens     int
	promptBytes   int
	nonRepeatable float64
	streamed      float64
	poolPath      string
	tokenFile     string
	quiet         bool
	// records and keyValueRecords are base URLs of stand-ins, nodeEvents a file.
	records         []string
	keyValueRecords string
	nodeEvents      string
	// engine is the base URL of an engine to compare with.
	engine string
}

// NewLoadCommand returns the command that sends load to nodes on this machine.
func NewLoadCommand() *cobra.Command {
	flags := &loadFlags{}
	command := &cobra.Command{
		Use:   "load",
		Short: "Send an open-loop load to nodes on this machine and check every answer",
		Long: "Send requests at random times of a given rate, whatever becomes of those before,\n" +
			"to several nodes, and check every answer against what the stand-ins must say.\n" +
			"Requests that a node did not take go to the next one; non-repeatable requests are\n" +
			"also repeated there, with the same key, when their outcome is unknown. Only\n" +
			"loopback addresses are accepted. Prints progress to the error output, then a\n" +
			"table and a last line of JSON; fails if a request was unanswered, mismatched,\n" +
			"late, or could not be sent. With --records it fails instead if the checker finds a\n" +
			"broken promise in the stand-ins' records and the answers.",
		Example: "  hatchplank load --nodes http://127.0.0.1:8080,http://127.0.0.1:8081 --token-file caller.token \\\n" +
			"      --model glossa-01 --model glossa-02 --pool eggrafi --non-repeatable 0.1 --rate 200 --duration 30s\n" +
			"  hatchplank load --nodes http://127.0.0.1:8080 --workload workload.yaml --seed 7",
		Args: usageArguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	flags.register(command)
	return command
}

func (f *loadFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringSliceVar(&f.options.Nodes, "nodes", []string{defaultNode}, "URLs of the nodes, loopback addresses only")
	flags.StringVar(&f.options.Token, "token", "", "bearer token (default $"+environmentToken+")")
	flags.StringVar(&f.tokenFile, "token-file", "", "file that holds the bearer token")
	flags.Float64Var(&f.options.Rate, "rate", defaultLoadRate, "requests a second")
	flags.DurationVar(&f.options.Duration, "duration", defaultLoadDuration, fmt.Sprintf("how long to send, at most %s", load.MaxDuration))
	flags.DurationVar(&f.options.TimeLimit, "time-limit", defaultLoadTimeLimit, "time limit of each generation")
	flags.DurationVar(&f.options.PoolTimeLimit, "pool-time-limit", defaultLoadPoolLimit, "time limit of each request to a pool")
	flags.Uint64Var(&f.options.Seed, "seed", 1, "seed of times, targets and texts")
	flags.IntVar(&f.options.MaxRequests, "max-requests", defaultLoadMaxRequests, "largest number of requests")
	flags.IntVar(&f.options.MaxInFlight, "max-in-flight", defaultLoadMaxInFlight, "largest number of requests at once")
	flags.IntVar(&f.options.MaxTries, "max-tries", defaultLoadMaxTries, "largest number of tries of a non-repeatable request")
	flags.DurationVar(&f.options.AnswerWait, "answer-wait", load.DefaultAnswerWait, "how long after its time limit a request without answer is given up; longer than pauses of nodes")
	flags.DurationVar(&f.options.RepeatAfter, "repeat-after", 0, "send a non-repeatable request that has no answer by then to the next node too")
	flags.StringSliceVar(&f.records, "records", nil, "base URLs of the stand-ins whose records are checked at the end: the machine list, for all servers of its process, or servers")
	flags.StringVar(&f.keyValueRecords, "key-value-records", "", "base URL of the stand-in of the key-value service, for the table's accepted edits")
	flags.StringVar(&f.nodeEvents, "node-events", "", "file with a line of JSON for each thing done to a node: at, kind (starting, ready, killed, stopping, paused, resumed), node (host and port)")
	flags.StringVar(&f.engine, "compare-direct", "", "base URL of an engine that serves the models: send it the same load at the same time and show what the nodes add")
	flags.StringVar(&f.workloadFile, "workload", "", "YAML file of the mix of requests, instead of the flags below")
	flags.StringSliceVar(&f.models, "model", nil, "model to call; may be repeated")
	flags.IntVar(&f.maxTokens, "max-tokens", load.DefaultMaxTokens, "tokens of each answer")
	flags.IntVar(&f.promptBytes, "prompt-bytes", load.DefaultPromptBytes, "length of each prompt")
	flags.Float64Var(&f.streamed, "streamed", load.DefaultStreamed, "share of generations that ask for a stream")
	flags.StringSliceVar(&f.pools, "pool", nil, "back-end pool to call; may be repeated")
	flags.StringVar(&f.poolPath, "pool-path", load.DefaultPoolPath, "path called at the pools")
	flags.Float64Var(&f.nonRepeatable, "non-repeatable", 0, "share of requests that go to the pools and must run at most once")
	flags.BoolVar(&f.quiet, "quiet", false, "print no progress")
	command.MarkFlagsMutuallyExclusive("compare-direct", "pool")
	command.MarkFlagsMutuallyExclusive("compare-direct", "records")
	command.MarkFlagsRequiredTogether("records", "key-value-records")
	command.MarkFlagsMutuallyExclusive("workload", "model")
	command.MarkFlagsMutuallyExclusive("workload", "pool")
}

func (f *loadFlags) run(command *cobra.Command) error {
	token, err := (&nodeFlags{token: f.options.Token, tokenFile: f.tokenFile}).readToken()
	if err != nil {
		return err
	}
	options := f.options
	options.Token = token
	if options.Workload, err = f.workload(); err != nil {
		return err
	}
	if !f.quiet {
		options.Progress = command.ErrOrStderr()
	}
	trimSlashes(options.Nodes)
	f.setRecords(&options)
	ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
	defer stop()
	if f.engine != "" {
		comparison, err := load.Compare(ctx, options, strings.TrimRight(f.engine, "/"))
		return finishLoad(command, comparison, err)
	}
	report, err := load.Run(ctx, options)
	return finishLoad(command, report, err)
}

// loadResult is what a load ends with.
type loadResult interface {
	Write(output io.Writer) error
	Faultless() bool
}

func finishLoad(command *cobra.Command, found loadResult, err error) error {
	if err != nil {
		return err
	}
	if err := found.Write(command.OutOrStdout()); err != nil {
		return err
	}
	if !found.Faultless() {
		return errLoadFaults
	}
	return nil
}

// setRecords makes the run be judged by the stand-ins' records.
func (f *loadFlags) setRecords(options *load.Options) {
	if len(f.records) == 0 {
		return
	}
	trimSlashes(f.records)
	options.Records = &load.RecordSources{Servers: f.records, KeyValue: strings.TrimRight(f.keyValueRecords, "/")}
	if f.nodeEvents != "" {
		options.NodeEvents = func() ([]load.NodeEvent, error) { return load.ReadNodeEvents(f.nodeEvents) }
	}
}

// trimSlashes lets base URLs end in a slash.
func trimSlashes(addresses []string) {
	for index, address := range addresses {
		addresses[index] = strings.TrimRight(address, "/")
	}
}

func (f *loadFlags) workload() (load.Workload, error) {
	if f.workloadFile != "" {
		return load.ReadWorkload(f.workloadFile)
	}
	workload := load.Workload{NonRepeatable: f.nonRepeatable, Streamed: f.streamed}
	for _, name := range f.models {
		workload.Models = append(workload.Models, load.ModelShare{Name: name, MaxTokens: f.maxTokens, PromptBytes: f.promptBytes})
	}
	for _, name := range f.pools {
		workload.Pools = append(workload.Pools, load.PoolShare{Name: name, Path: f.poolPath})
	}
	return workload, nil
}
