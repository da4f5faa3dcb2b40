package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/hatchplank/hatchplank/internal/planner"
	"github.com/hatchplank/hatchplank/internal/settings"
)

// PolicyChoice is a policy with what of its settings is not the example's.
type PolicyChoice struct {
	// Label names the choice in tables.
	Label string
	// Policy is one of planner.PolicyNames.
	Policy string
	// KeepAlive replaces the settings' longest keep-alive; zero: not replaced.
	KeepAlive time.Duration
	// ColdStartWeight replaces the settings'; negative: not replaced.
	ColdStartWeight float64
}

// FixedKeepAlive is the keep-alive of the fixed baseline.
const FixedKeepAlive = 10 * time.Minute

// PolicyChoices lists every policy of the planner, as the experiment runs it.
func PolicyChoices() []PolicyChoice {
	choices := make([]PolicyChoice, 0, len(planner.PolicyNames))
	for _, name := range planner.PolicyNames {
		choice := PolicyChoice{Label: name, Policy: name, ColdStartWeight: -1}
		if name == planner.PolicyFixedKeepAlive {
			choice.KeepAlive = FixedKeepAlive
		}
		choices = append(choices, choice)
	}
	return choices
}

// apply changes a deployment's settings to the choice.
func (c PolicyChoice) apply(chosen *settings.Settings) {
	chosen.Policy.Name = c.Policy
	if c.KeepAlive > 0 {
		chosen.Policy.KeepAliveMax = c.KeepAlive
	}
	if c.ColdStartWeight >= 0 {
		chosen.Policy.ColdStartWeight = c.ColdStartWeight
	}
}

// PolicyScenario is a year compressed to the parts that matter: a few small
// rounds from which a policy can learn, months after which every machine was
// replaced, and then the measured span: quiet with stray calls, a round that
// opens, its tail, and quiet again.
type PolicyScenario struct {
	// Nodes that callers send to.
	Nodes int
	// Period between the openings of two rounds.
	Period time.Duration
	// EarlierRounds before the measured one.
	EarlierRounds int
	// FirstOpening after the start of the run.
	FirstOpening time.Duration
	// Jitter of each opening, to both sides.
	Jitter time.Duration
	// EarlierJitter of the earlier openings, if larger: a calendar that can't be
	// learned.
	EarlierJitter time.Duration
	// EarlierScale multiplies the rates of earlier rounds.
	EarlierScale float64
	Earlier      RoundShape
	Measured     RoundShape
	// QuietBefore the measured opening is part of the measured span; machines
	// are replaced one by one in the time before it.
	QuietBefore time.Duration
	// ReplacementPause between two machines.
	ReplacementPause time.Duration
	// QuietAfter the measured opening. It ends well before the next round would
	// open, so that what it costs to foresee a round is counted once.
	QuietAfter time.Duration
	// PromptScale shortens prompts; the time of prefill is not what is measured.
	PromptScale float64
	// TokensPerChunk that engines run as one event.
	TokensPerChunk int
}

// RoundShape is how long the phases of a round last.
type RoundShape struct {
	Opening, Tail time.Duration
	// TailRamp is how long the rates take to fall.
	TailRamp time.Duration
	// TailScale multiplies the tail's rates.
	TailScale float64
}

// DefaultPolicyScenario is the scenario of the experiment.
func DefaultPolicyScenario() PolicyScenario {
	return PolicyScenario{
		Nodes: 4, Period: 50 * time.Minute, EarlierRounds: 3, FirstOpening: 5 * time.Minute,
		Jitter: 20 * time.Second, EarlierScale: 0.2,
		Earlier:     RoundShape{Opening: 3 * time.Minute, Tail: 3 * time.Minute, TailRamp: time.Minute, TailScale: 0.4},
		Measured:    RoundShape{Opening: 7 * time.Minute, Tail: 15 * time.Minute, TailRamp: 5 * time.Minute, TailScale: 0.4},
		QuietBefore: 30 * time.Minute, ReplacementPause: 5 * time.Second,
		QuietAfter: 38 * time.Minute, PromptScale: 0.125, TokensPerChunk: 64,
	}
}

// irregularJitter of earlier openings makes their gaps differ by minutes.
const irregularJitter = 6 * time.Minute

// IrregularPolicyScenario is the same with earlier rounds at irregular times,
// so that the measured opening is a surprise.
func IrregularPolicyScenario() PolicyScenario {
	scenario := DefaultPolicyScenario()
	scenario.FirstOpening += irregularJitter
	scenario.EarlierJitter = irregularJitter
	return scenario
}

// openings returns when the rounds open, the measured one last.
func (s PolicyScenario) openings(random *rand.Rand) []time.Duration {
	openings := make([]time.Duration, 0, s.EarlierRounds+1)
	for number := range s.EarlierRounds + 1 {
		width := s.Jitter
		if number < s.EarlierRounds {
			width = max(width, s.EarlierJitter)
		}
		jitter := time.Duration((2*random.Float64() - 1) * float64(width))
		openings = append(openings, s.FirstOpening+time.Duration(number)*s.Period+jitter)
	}
	return openings
}

// spanStart is when the measured span begins.
func (s PolicyScenario) spanStart() time.Duration { return s.opening() - s.QuietBefore }

// opening is when the measured round opens, but for its jitter.
func (s PolicyScenario) opening() time.Duration {
	return s.FirstOpening + time.Duration(s.EarlierRounds)*s.Period
}

// end of the run and of the measured span.
func (s PolicyScenario) end() time.Duration { return s.opening() + s.QuietAfter }

// replacementStart leaves the last machine some time before the span begins.
func (s PolicyScenario) replacementStart(machines int) time.Duration {
	return s.spanStart() - time.Duration(machines+4)*s.ReplacementPause
}
