package emulator

import (
	"sync"
	"time"

	"github.com/hatchplank/hatchplank/internal/checker"
)

// FaultRuns is the sum of many seeds' fault runs.
type FaultRuns struct {
	Runs     int
	Report   checker.Report
	Injected map[string]int
	// Events of all simulations.
	Events uint64
	// Trace combines the traces of the runs in order of seed.
	Trace uint64
	// Violating are the runs that broke a promise, in order of seed.
	Violating []FaultRun
}

// Faults counts all injected faults.
func (r *FaultRuns) Faults() int {
	total := 0
	for _, count := range r.Injected {
		total += count
	}
	return total
}

// RunManyFaults runs the seeds from first on, several at a time, each on one
// goroutine. After each run, ended is called with it and the number of runs
// that have ended; never twice at once. It may be nil.
func RunManyFaults(options Options, first uint64, runs, workers int, span time.Duration, ended func(run FaultRun, count int)) FaultRuns {
	sum := &faultSum{total: FaultRuns{Injected: map[string]int{}}, ended: ended, bySeed: make([]FaultRun, runs)}
	seeds := make(chan uint64)
	var group sync.WaitGroup
	for range min(workers, runs) {
		group.Go(func() {
			for seed := range seeds {
				seeded := options
				seeded.Seed = seed
				sum.add(RunFaults(seeded, span), int(seed-first))
			}
		})
	}
	for i := range runs {
		seeds <- first + uint64(i)
	}
	close(seeds)
	group.Wait()
	return sum.finish()
}

// faultSum adds up runs as they end.
type faultSum struct {
	mutex sync.Mutex
	total FaultRuns
	ended func(FaultRun, int)
	// bySeed keeps the runs in order of seed, so that the sum does not depend
	// on the order in which they ended.
	bySeed []FaultRun
}

func (s *faultSum) add(run FaultRun, position int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.bySeed[position] = run
	s.total.Runs++
	if s.ended != nil {
		s.ended(run, s.total.Runs)
	}
}

func (s *faultSum) finish() FaultRuns {
	var traces traceHash
	traces.reset()
	for _, run := range s.bySeed {
		s.total.Report.Add(run.Report)
		s.total.Events += run.Events
		traces.addText(run.Trace)
		for name, count := range run.Injected {
			s.total.Injected[name] += count
		}
		if run.Report.Violations() > 0 {
			s.total.Violating = append(s.total.Violating, run)
		}
	}
	s.total.Trace = traces.digest.Sum64()
	return s.total
}
