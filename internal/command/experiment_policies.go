package command

import (
	"encoding/json"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/hatchplank/hatchplank/examples"
	"github.com/hatchplank/hatchplank/internal/emulator"
	"github.com/hatchplank/hatchplank/internal/report"
)

// policiesOptions are the flags of "experiment policies".
type policiesOptions struct {
	deployment string
	seed       uint64
	policy     string
	runs       int
	workers    int
	reportDir  string
	each       bool
	curve      bool
	irregular  bool
}

// Limits of the flags.
const (
	maxPolicyRuns        = 1000
	defaultPolicyWorkers = 4
	// policyGarbagePercent lets the collector run seldom: many small
	// simulations in one process leave much garbage and hold little.
	policyGarbagePercent = 1000
)

// allPolicies is the value of --policy that runs every policy.
const allPolicies = "all"

// curveWeights are the cold-start weights of the trade-off curve.
var curveWeights = []float64{0, 0.1, 0.25, 0.5, 0.8, 1}

func newPoliciesCommand() *cobra.Command {
	options := &policiesOptions{}
	command := &cobra.Command{
		Use:   "policies",
		Short: "Compare placement policies by cold-start tail and idle hours",
		Long: "Run placement policies in virtual time at a deployment's full sizes, over a year\n" +
			"compressed to the parts that matter, and print for each its cold starts and idle\n" +
			"accelerator hours, also as ratios to their lower bounds. The checker of promises\n" +
			"runs in every run. The last line is JSON. docs/design/cold-start.md says what is\n" +
			"measured and proves the bounds.",
		Example: "  hatchplank experiment policies --deployment schools --seed 1\n" +
			"  hatchplank experiment policies --deployment abay --policy hatchplank --runs 20\n" +
			"  hatchplank experiment policies --deployment schools --runs 5 --report report",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return options.run(command) },
	}
	flags := command.Flags()
	flags.StringVar(&options.deployment, "deployment", examples.Schools, "example deployment: "+strings.Join(examples.Names, ", "))
	flags.Uint64Var(&options.seed, "seed", 1, "first seed")
	flags.StringVar(&options.policy, "policy", allPolicies, "policies separated by commas, or "+allPolicies)
	flags.IntVar(&options.runs, "runs", 1, "number of seeds, from the first on")
	flags.IntVar(&options.workers, "workers", defaultPolicyWorkers, "runs at once")
	flags.StringVar(&options.reportDir, "report", "", "directory to write plots and a page to")
	flags.BoolVar(&options.each, "each", false, "print a line of JSON for each run")
	flags.BoolVar(&options.irregular, "irregular", false, "let earlier rounds open at irregular times, so that none can be foreseen")
	flags.BoolVar(&options.curve, "curve", false, "run the product also with other cold-start weights")
	return command
}

func (o *policiesOptions) run(command *cobra.Command) error {
	choices, err := o.choices()
	if err != nil {
		return err
	}
	if o.runs < 1 || o.runs > maxPolicyRuns || o.workers < 1 {
		return eris.Errorf("--runs is from 1 to %d and --workers at least 1", maxPolicyRuns)
	}
	example, err := examples.Load(o.deployment)
	if err != nil {
		return err
	}
	product := example.Settings.Policy.Name
	defer debug.SetGCPercent(debug.SetGCPercent(policyGarbagePercent))
	scenario := emulator.DefaultPolicyScenario()
	if o.irregular {
		scenario = emulator.IrregularPolicyScenario()
	}
	batch := emulator.PolicyBatch{
		Deployment: o.deployment, Scenario: scenario, Choices: choices,
		FirstSeed: o.seed, Seeds: o.runs, Workers: o.workers,
	}
	if o.each {
		encoder := json.NewEncoder(command.OutOrStdout())
		batch.Done = func(figures emulator.PolicyFigures) { _ = encoder.Encode(figures) }
	}
	outcomes, err := batch.Run()
	if err != nil {
		return err
	}
	return o.write(command, outcomes, product)
}

func (o *policiesOptions) write(command *cobra.Command, outcomes []emulator.PolicyOutcome, product string) error {
	writer := command.OutOrStdout()
	fmt.Fprintf(writer, "deployment %s, seeds %d to %d, product %s\n\n", o.deployment, o.seed, o.seed+uint64(o.runs)-1, product)
	if err := report.WritePolicyTable(writer, outcomes); err != nil {
		return err
	}
	fmt.Fprintln(writer)
	if err := report.WritePairedTable(writer, outcomes, product); err != nil {
		return err
	}
	if o.reportDir != "" {
		if err := report.WritePolicyReport(o.reportDir, o.deployment, outcomes, product); err != nil {
			return err
		}
	}
	if err := report.WritePolicySummary(writer, o.deployment, o.seed, outcomes, product); err != nil {
		return err
	}
	return violationsOf(outcomes)
}

// violationsOf fails the command if any run broke a promise.
func violationsOf(outcomes []emulator.PolicyOutcome) error {
	for _, outcome := range outcomes {
		for _, figures := range outcome.Figures {
			if figures.Violations > 0 {
				return eris.Errorf("policy %s, seed %d: %d violations of promises", figures.Label, figures.Seed, figures.Violations)
			}
		}
	}
	return nil
}

// choices are the policies asked for, in the order of the tool's own list.
func (o *policiesOptions) choices() ([]emulator.PolicyChoice, error) {
	known := emulator.PolicyChoices()
	chosen := known
	if o.policy != allPolicies {
		chosen = nil
		for name := range strings.SplitSeq(o.policy, ",") {
			choice, found := choiceNamed(known, name)
			if !found {
				return nil, eris.Errorf("unknown policy %q", name)
			}
			chosen = append(chosen, choice)
		}
	}
	if o.curve {
		chosen = append(chosen, curveChoices(known[len(known)-1])...)
	}
	return chosen, nil
}

func choiceNamed(known []emulator.PolicyChoice, name string) (emulator.PolicyChoice, bool) {
	for _, choice := range known {
		if choice.Label == name {
			return choice, true
		}
	}
	return emulator.PolicyChoice{}, false
}

// curveChoices are the product with other weights.
func curveChoices(product emulator.PolicyChoice) []emulator.PolicyChoice {
	var choices []emulator.PolicyChoice
	for _, weight := range curveWeights {
		choice := product
		choice.ColdStartWeight = weight
		choice.Label = fmt.Sprintf("%s@%g", product.Label, weight)
		choices = append(choices, choice)
	}
	return choices
}
