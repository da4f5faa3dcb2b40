package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"runtime/debug"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/emulator"
	"github.com/hatchplank/hatchplank/internal/result"
)

// Defaults of the fault experiment.
const (
	defaultFaultRuns    = 10
	defaultFaultMinutes = 10
	defaultFaultNodes   = 4
	defaultWorkers      = 5
)

// experimentGCPercent lets the heap of a simulation, which is small, grow to
// nine times its live size between collections, since the collector would
// otherwise take a third of the time.
const experimentGCPercent = 800

// errPromiseBroken makes the program exit with a failure after the report.
var errPromiseBroken = errors.New("a promise was broken")

// faultFlags describe a fault experiment on the command line.
type faultFlags struct {
	deployment string
	seed       uint64
	runs       int
	minutes    int
	workers    int
	nodes      int
}

// newFaultsCommand returns the command that runs deployments under faults in
// virtual time and checks every promise.
func newFaultsCommand() *cobra.Command {
	flags := &faultFlags{}
	command := &cobra.Command{
		Use:   "faults",
		Short: "Run a deployment under random faults in virtual time and check every promise",
		Long: "Run the nodes' real code against the emulated platform while faults of every kind\n" +
			"come at random moments, alone and in pairs. A seed decides a run entirely: the\n" +
			"same seed gives the same trace. Prints per promise the checks and violations, per\n" +
			"fault how often it was injected, and a last line of JSON; progress goes to the\n" +
			"error output. Exits with 1 if any promise was broken, and names the seed and the\n" +
			"command that runs it again.",
		Example: "  hatchplank experiment faults --deployment schools --seed 1 --runs 100",
		Args:    usageArguments(cobra.NoArgs),
		RunE:    func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	set := command.Flags()
	set.StringVar(&flags.deployment, "deployment", "schools", "deployment to run: schools or abay")
	set.Uint64Var(&flags.seed, "seed", 1, "first seed")
	set.IntVar(&flags.runs, "runs", defaultFaultRuns, "number of seeds, counted up from the first")
	set.IntVar(&flags.minutes, "minutes", defaultFaultMinutes, "virtual minutes of faults in each run")
	set.IntVar(&flags.workers, "workers", defaultWorkers, "runs at a time")
	set.IntVar(&flags.nodes, "nodes", defaultFaultNodes, "nodes of the deployment")
	return command
}

func (f *faultFlags) check() error {
	if f.runs < 1 || f.minutes < 1 || f.workers < 1 || f.nodes < 1 {
		return usageError("runs, minutes, workers and nodes must be at least 1")
	}
	return nil
}

func (f *faultFlags) run(command *cobra.Command) error {
	if err := f.check(); err != nil {
		return err
	}
	deployment, _, err := emulator.FromExample(f.deployment)
	if err != nil {
		return usageError("%w", err)
	}
	options := emulator.Options{
		Deployment: deployment, Nodes: f.nodes, Mechanisms: applier.AllMechanisms(),
		Limits: checker.DefaultLimits(), Logger: zerolog.Nop(),
	}
	debug.SetGCPercent(experimentGCPercent)
	progress := command.ErrOrStderr()
	started := time.Now()
	span := time.Duration(f.minutes) * time.Minute
	runs := emulator.RunManyFaults(options, f.seed, f.runs, f.workers, span, func(run emulator.FaultRun, count int) {
		fmt.Fprintf(progress, "seed %d: trace %s, %d requests, %d violations (%d of %d runs, %s)\n", run.Seed, run.Trace,
			run.Report.Requests, run.Report.Violations(), count, f.runs, time.Since(started).Round(time.Second))
	})
	if err := f.print(command.OutOrStdout(), runs); err != nil {
		return err
	}
	return f.verdict(runs)
}

// verdict is an error that names the replay command if a promise was broken.
func (f *faultFlags) verdict(runs emulator.FaultRuns) error {
	if len(runs.Violating) == 0 {
		return nil
	}
	return fmt.Errorf("%w; replay with: %s", errPromiseBroken, f.replay(runs))
}

// replay is the command that repeats the first run that broke a promise, or
// all runs if none did.
func (f *faultFlags) replay(runs emulator.FaultRuns) string {
	seed, count := f.seed, f.runs
	if len(runs.Violating) > 0 {
		seed, count = runs.Violating[0].Seed, 1
	}
	return fmt.Sprintf("hatchplank experiment faults --deployment %s --seed %d --runs %d --minutes %d --nodes %d",
		f.deployment, seed, count, f.minutes, f.nodes)
}

// faultSummary is the last line of the output.
type faultSummary struct {
	Runs           int     `json:"runs"`
	Requests       uint64  `json:"requests"`
	Faults         int     `json:"faults"`
	Violations     uint64  `json:"violations"`
	Unanswered     uint64  `json:"unanswered"`
	MaxConfigDelay float64 `json:"max_config_delay_s"`
	MaxDrainDelay  float64 `json:"max_drain_delay_s"`
	Replay         string  `json:"replay"`
}

func (f *faultFlags) print(output io.Writer, runs emulator.FaultRuns) error {
	printTallies(output, runs.Report)
	printInjected(output, runs.Injected)
	printRefusals(output, runs.Report.RefusedByCode)
	printViolating(output, runs.Violating)
	fmt.Fprintf(output, "\nserved %d, refused %d, lost with a node that died %d; trace %016x\n",
		runs.Report.Served, runs.Report.Refused, runs.Report.LostWithNode, runs.Trace)
	return json.NewEncoder(output).Encode(faultSummary{
		Runs: runs.Runs, Requests: runs.Report.Requests, Faults: runs.Faults(),
		Violations: runs.Report.Violations(), Unanswered: runs.Report.Unanswered,
		MaxConfigDelay: runs.Report.MaxConfigDelay, MaxDrainDelay: runs.Report.MaxDrainDelay,
		Replay: f.replay(runs),
	})
}

func printTallies(output io.Writer, report checker.Report) {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "PROMISE\tCHECKS\tVIOLATIONS")
	for _, promise := range checker.Promises() {
		tally := report.Tallies[promise]
		fmt.Fprintf(writer, "%s\t%d\t%d\n", promise, tally.Checks, tally.Violations)
	}
	_ = writer.Flush()
}

func printInjected(output io.Writer, injected map[string]int) {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "\nFAULT\tINJECTED")
	for _, fault := range emulator.Faults {
		fmt.Fprintf(writer, "%s\t%d\n", fault.Name, injected[fault.Name])
	}
	_ = writer.Flush()
}

// printRefusals prints how often requests were refused, by result code.
func printRefusals(output io.Writer, byCode map[int]uint64) {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, "\nREFUSED WITH\tREQUESTS")
	for _, code := range slices.Sorted(maps.Keys(byCode)) {
		fmt.Fprintf(writer, "%d %s\t%d\n", code, result.Code(code).Name(), byCode[code])
	}
	_ = writer.Flush()
}

// printViolating prints the first violations of each run in words.
func printViolating(output io.Writer, violating []emulator.FaultRun) {
	for _, run := range violating {
		fmt.Fprintf(output, "\nseed %d broke promises:\n", run.Seed)
		for _, promise := range checker.Promises() {
			for _, example := range run.Report.Tallies[promise].Examples {
				fmt.Fprintf(output, "  %s: %s\n", promise, example)
			}
		}
	}
}
