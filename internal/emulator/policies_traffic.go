package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/table"
)

// arrival is one planned request of a policy run.
type arrival struct {
	// at is the time after the start of the run.
	at     time.Duration
	row    *table.Row
	class  *settings.GenerationClass
	prompt int
	output int
}

// trafficPlan holds all arrivals of a run. It depends on the seed alone, so
// that policies can be compared in pairs.
type trafficPlan struct {
	scenario PolicyScenario
	openings []time.Duration
	arrivals []arrival
}

// normalP99 is the standard normal distribution's 99th percentile.
const normalP99 = 2.326

func planTraffic(scenario PolicyScenario, deployment *Deployment, workload *settings.Workload, random *rand.Rand) trafficPlan {
	plan := trafficPlan{scenario: scenario, openings: scenario.openings(random)}
	machines := deployment.Engines
	for index := range workload.Generations {
		class := &workload.Generations[index]
		rows := popularityOrder(deployment.Rows, class, random)
		plan.addClass(class, workload.Phases, rows, random)
	}
	slices.SortStableFunc(plan.arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	// Nobody calls while the machines are replaced, which stands for months.
	from := scenario.replacementStart(machines)
	plan.arrivals = slices.DeleteFunc(plan.arrivals, func(a arrival) bool {
		return a.at >= from && a.at < scenario.spanStart()
	})
	return plan
}

// popularityOrder shuffles a class's rows; it is the same in every round.
func popularityOrder(rows []table.Row, class *settings.GenerationClass, random *rand.Rand) []*table.Row {
	var matching []*table.Row
	for index := range rows {
		if class.Matches(rows[index].Name) {
			matching = append(matching, &rows[index])
		}
	}
	random.Shuffle(len(matching), func(i, j int) { matching[i], matching[j] = matching[j], matching[i] })
	return matching
}

// addClass draws a class's arrivals by thinning a Poisson process.
func (p *trafficPlan) addClass(class *settings.GenerationClass, phases []settings.Phase, rows []*table.Row, random *rand.Rand) {
	highest := 0.0
	for _, rate := range class.Rates {
		highest = max(highest, rate)
	}
	popularity := zipf(len(rows), class.Skew)
	at := p.scenario.FirstOpening - max(p.scenario.Jitter, p.scenario.EarlierJitter)
	for {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= p.scenario.end()-class.TimeLimit {
			return
		}
		if random.Float64()*highest >= p.rateAt(class.Rates, phases, at) {
			continue
		}
		p.arrivals = append(p.arrivals, arrival{
			at: at, class: class, row: rows[draw(popularity, random)],
			prompt: max(1, int(p.scenario.PromptScale*float64(drawTokens(class.Prompt, random)))),
			output: drawTokens(class.Output, random),
		})
	}
}

// rateAt is a class's rate at a time. The phases are quiet, opening and tail,
// as in the workload.
func (p *trafficPlan) rateAt(rates map[string]float64, phases []settings.Phase, at time.Duration) float64 {
	quiet, opening, tail := rates[phases[0].Name], rates[phases[1].Name], rates[phases[2].Name]
	for number, start := range p.openings {
		shape, scale := p.scenario.Earlier, p.scenario.EarlierScale
		if number == len(p.openings)-1 {
			shape, scale = p.scenario.Measured, 1
		}
		elapsed := at - start
		if elapsed < 0 || elapsed >= shape.Opening+shape.Tail {
			continue
		}
		if elapsed < shape.Opening {
			return quiet + scale*(opening-quiet)*ramp(elapsed, phases[1].Ramp)
		}
		low := max(quiet, shape.TailScale*tail)
		return quiet + scale*(opening+(low-opening)*ramp(elapsed-shape.Opening, shape.TailRamp)-quiet)
	}
	return quiet
}

// ramp rises linearly from 0 to 1.
func ramp(elapsed, length time.Duration) float64 {
	if elapsed >= length {
		return 1
	}
	return float64(elapsed) / float64(length)
}

// zipf returns cumulated shares.
func zipf(count int, skew float64) []float64 {
	cumulated := make([]float64, count)
	total := 0.0
	for index := range cumulated {
		total += math.Pow(float64(index+1), -skew)
		cumulated[index] = total
	}
	return cumulated
}

func draw(cumulated []float64, random *rand.Rand) int {
	wanted := random.Float64() * cumulated[len(cumulated)-1]
	index, _ := slices.BinarySearch(cumulated, wanted)
	return min(index, len(cumulated)-1)
}

// drawTokens draws from a logarithmic-normal distribution, at most its 99th
// percentile.
func drawTokens(tokens settings.Tokens, random *rand.Rand) int {
	spread := math.Log(float64(tokens.P99)/float64(tokens.Median)) / normalP99
	drawn := float64(tokens.Median) * math.Exp(spread*random.NormFloat64())
	return max(1, min(int(drawn), tokens.P99))
}

// request builds the arrival's request; number makes its body unique.
func (a *arrival) request(number int) gateway.Request {
	words := max(1, a.prompt/promptWordTokens)
	shared := int(a.class.SharedPrefix * float64(words))
	prompt := strings.Repeat(promptWord, shared) + fmt.Sprintf("%d ", number) + strings.Repeat(promptWord, words-shared)
	return gateway.Request{
		Tenant: a.row.Tenant, Model: a.row.Name, Method: "POST", Path: "/v1/completions",
		ContentType: "application/json", Priority: a.class.Priority, Repeatable: true,
		Body:   fmt.Appendf(nil, `{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, a.row.Name, prompt, a.output),
		Prefix: []byte(prompt),
	}
}

// promptWord is promptWordTokens long, at four characters a token.
const (
	promptWord       = "dossier "
	promptWordTokens = 2
)

func (a *arrival) limit() time.Duration { return min(a.class.TimeLimit, a.row.TimeLimit) }
