package emulator

import (
	"sync"

	"github.com/rs/zerolog"
)

// PolicyBatch runs several policies over several seeds.
type PolicyBatch struct {
	// Deployment names the example.
	Deployment string
	Scenario   PolicyScenario
	Choices    []PolicyChoice
	// FirstSeed and the number of seeds from it on.
	FirstSeed uint64
	Seeds     int
	// Workers run at once.
	Workers int
	// Done is called after each run, one at a time; it may be nil.
	Done func(PolicyFigures)
}

// PolicyOutcome is one choice over all seeds, in order of seed.
type PolicyOutcome struct {
	Choice  PolicyChoice
	Figures []PolicyFigures
	// Timeline of the first seed.
	Timeline []TimelinePoint
	// OpeningSeconds is how long the measured opening lasts.
	OpeningSeconds float64
}

// Run runs the batch. The outcomes are in the order of the choices.
func (b PolicyBatch) Run() ([]PolicyOutcome, error) {
	deployment, workload, err := FromExample(b.Deployment)
	if err != nil {
		return nil, err
	}
	outcomes := make([]PolicyOutcome, len(b.Choices))
	for index := range outcomes {
		outcomes[index] = PolicyOutcome{
			Choice: b.Choices[index], Figures: make([]PolicyFigures, b.Seeds),
			OpeningSeconds: b.Scenario.Measured.Opening.Seconds(),
		}
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	slots := make(chan struct{}, max(1, b.Workers))
	for seed := range b.Seeds {
		for index := range b.Choices {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				run := RunPolicy(PolicyOptions{
					Deployment: deployment, Workload: workload, Scenario: b.Scenario,
					Choice: b.Choices[index], Seed: b.FirstSeed + uint64(seed), Logger: zerolog.Nop(),
				})
				figures := run.Figures()
				mutex.Lock()
				defer mutex.Unlock()
				outcomes[index].Figures[seed] = figures
				if seed == 0 {
					outcomes[index].Timeline = run.Timeline
				}
				if b.Done != nil {
					b.Done(figures)
				}
			})
		}
	}
	group.Wait()
	return outcomes, nil
}
