package command

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/hatchplank/hatchplank/internal/emulator"
)

func TestFaultsVerdict(t *testing.T) {
	flags := &faultFlags{deployment: "abay", seed: 5, runs: 20, minutes: 10, nodes: 4}
	kept := emulator.FaultRuns{Runs: 20}
	if err := flags.verdict(kept); err != nil {
		t.Errorf("all promises kept, but: %v", err)
	}
	if command := flags.replay(kept); !strings.Contains(command, "--seed 5 --runs 20") {
		t.Errorf("replay of all runs: %s", command)
	}
	broken := emulator.FaultRuns{Runs: 20, Violating: []emulator.FaultRun{{Seed: 9}, {Seed: 11}}}
	err := flags.verdict(broken)
	if exitCode(err) != ExitFailed || !strings.Contains(err.Error(), "--deployment abay --seed 9 --runs 1 --minutes 10") {
		t.Errorf("verdict of broken promises: %v", err)
	}
}

func TestFaultsLastLine(t *testing.T) {
	var output strings.Builder
	command := newFaultsCommand()
	command.SetOut(&output)
	command.SetErr(&strings.Builder{})
	command.SetArgs([]string{"--deployment", "abay", "--seed", "3", "--runs", "1", "--minutes", "1"})
	if err := command.Execute(); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	var summary map[string]any
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &summary); err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{
		"runs", "requests", "faults", "violations", "unanswered", "max_config_delay_s", "max_drain_delay_s", "replay",
	} {
		if _, present := summary[field]; !present {
			t.Errorf("the last line has no %q", field)
		}
	}
	if len(summary) != 8 || summary["requests"].(float64) < 100 {
		t.Errorf("last line: %v", summary)
	}
}
