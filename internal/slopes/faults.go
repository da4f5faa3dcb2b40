package slopes

import (
	"fmt"
	"io"
	"time"

	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// scenario is a fault under which key-value operations and the distribution of
// the table are measured at full size.
type scenario struct {
	name string
	// begin and end switch the fault; span lies between them.
	begin, end func(*World)
	span       time.Duration
	// before the fault and after its end is measured too.
	before, after time.Duration
}

// scenarioLoss is the share of messages between nodes that are lost.
const scenarioLoss = 0.01

// minimumBefore a fault is counted.
const minimumBefore = 20 * time.Second

// countPeriod is the period over which operations are averaged.
const countPeriod = 5 * time.Second

func scenarios(outage time.Duration) []scenario {
	none := func(*World) {}
	return []scenario{
		{name: "steady state, 1% of messages lost", begin: none, end: none, span: 2 * time.Minute, after: time.Minute},
		{
			name: "a zone is lost", span: 30 * time.Second, after: time.Minute,
			begin: func(w *World) { w.loseZone(w.zones[1].name) }, end: none,
		},
		{
			name: fmt.Sprintf("key-value outage of %s", outage), span: outage, after: 3 * time.Minute,
			begin: func(w *World) { w.KeyValue.SetFaults(keyvalue.Faults{Outage: true}) },
			end:   func(w *World) { w.KeyValue.SetFaults(keyvalue.Faults{}) },
		},
		{
			name: fmt.Sprintf("a region is cut off for %s", outage), span: outage, after: 3 * time.Minute,
			begin: func(w *World) { w.CutRegion = w.zones[1].region },
			end:   func(w *World) { w.CutRegion = "" },
		},
	}
}

// loseZone ends all nodes and servers of a zone; they do not come back.
func (w *World) loseZone(name string) {
	for _, node := range w.Nodes {
		if node.zone.name == name && !node.restarting {
			node.restarting = true
			node.Process.Kill()
			w.Distribution.Gone(node.index, w.Loop.Now())
		}
	}
	for _, machine := range w.Machines.Living() {
		if machine.Zone == name {
			w.fleet.Host(machine.Server).Vanish()
			w.Machines.Remove(machine.Server)
		}
	}
}

// Sizes of the fault experiment. An outage of minutes is past every backoff's
// maximum and every lease, so that an hour's would end alike.
const (
	faultsFraction = 1. / 4
	faultsOutage   = 5 * time.Minute
	quickFraction  = 1. / 64
	quickOutage    = 20 * time.Second
)

// runFaults measures each scenario on a world of its own.
func runFaults(options Options) error {
	size, outage := Target().Scaled(faultsFraction), faultsOutage
	if options.Quick {
		size, outage = Target().Scaled(quickFraction), quickOutage
	}
	size.RequestsPerSecond = 0
	for _, scenario := range scenarios(outage) {
		if err := scenario.run(size, options.Out); err != nil {
			return err
		}
		fmt.Fprintf(options.Progress, "%s: done\n", scenario.name)
	}
	return nil
}

// changeFactor is by how much table changes and restarts of nodes are more
// frequent than at the target, so that enough happens in minutes.
const changeFactor = 4

// distributionOutage of the key-value service in the midst of the changes.
const distributionOutage = 30 * time.Second

// runDistribution measures how the table reaches all nodes of the target. The
// servers, which the table's way does not touch, are fewer.
func runDistribution(options Options) error {
	size := Target()
	if options.Quick {
		size = size.Scaled(quickFraction)
	}
	size.Servers = size.Nodes
	size.ActiveRows, size.ReplicasPerActiveRow = 1, 1
	size.RequestsPerSecond, size.MachineChangesPerDay = 0, 0
	size.TableChangesPerDay = changeFactor * Target().TableChangesPerDay
	size.NodeRestartsPerDay = changeFactor * Target().NodeRestartsPerDay
	return scenario{
		name: fmt.Sprintf("table changes and restarts %d times as frequent, 1%% of messages lost, key-value outage of %s",
			changeFactor, distributionOutage),
		span: distributionOutage, before: 90 * time.Second, after: 90 * time.Second,
		begin: func(w *World) { w.KeyValue.SetFaults(keyvalue.Faults{Outage: true}) },
		end:   func(w *World) { w.KeyValue.SetFaults(keyvalue.Faults{}) },
	}.run(size, options.Out)
}

func (s scenario) run(size Size, out io.Writer) error {
	startedAt := time.Now()
	world := NewWorld(size, 1)
	world.Loop.RunFor(time.Second)
	world.ImportTable()
	world.Loop.RunFor(time.Minute)
	world.StartChanges()
	world.Loss = scenarioLoss
	world.Loop.RunFor(time.Minute)
	from := world.Loop.Now()
	before := world.operationRates(max(s.before, minimumBefore))
	begunAt := world.Loop.Now()
	s.begin(world)
	during := world.operationRates(s.span)
	s.end(world)
	endedAt := world.Loop.Now()
	after := world.operationRates(s.after)
	fmt.Fprintf(out, "\n%s, %s (%.0f s of real time)\n", s.name, size, time.Since(startedAt).Seconds())
	fmt.Fprintf(out, "  key-value operations/s, mean and peak over %s: before %s; during %s; after %s\n",
		countPeriod, before, during, after)
	now := world.Loop.Now().Add(-delaysMargin)
	fmt.Fprintf(out, "  table in force, before: %s\n", world.Distribution.Delays(from, begunAt))
	fmt.Fprintf(out, "  table in force, during: %s\n", world.Distribution.Delays(begunAt, endedAt))
	fmt.Fprintf(out, "  table in force, after: %s\n", world.Distribution.Delays(endedAt, now))
	return nil
}

// operationRate summarises operations per second.
type operationRate struct{ mean, peak float64 }

// String prints mean and peak.
func (r operationRate) String() string { return fmt.Sprintf("%.0f, %.0f", r.mean, r.peak) }

// operationRates runs the world and counts the operations asked of the
// key-value service, the refused included.
func (w *World) operationRates(span time.Duration) operationRate {
	rate := operationRate{}
	first := w.KeyValue.Counters().Total()
	end := w.Loop.Now().Add(span)
	for w.Loop.Now().Before(end) {
		before, startedAt := w.KeyValue.Counters().Total(), w.Loop.Now()
		w.Loop.RunUntil(minTime(end, startedAt.Add(countPeriod)))
		seconds := w.Loop.Now().Sub(startedAt).Seconds()
		rate.peak = max(rate.peak, float64(w.KeyValue.Counters().Total()-before)/seconds)
	}
	rate.mean = float64(w.KeyValue.Counters().Total()-first) / span.Seconds()
	return rate
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// String prints the delays in one line.
func (d Delays) String() string {
	return fmt.Sprintf("%d changes, p50 %s, p99 %s, max %s; on all nodes p50 %s, p99 %s; %d of %d never",
		d.Accepted, d.Median.Round(time.Millisecond), d.P99.Round(time.Millisecond), d.Max.Round(time.Millisecond),
		d.EverywhereP50.Round(time.Millisecond), d.EverywhereP99.Round(time.Millisecond), d.Missing, d.Missing+d.Pairs)
}
