package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/record"
)

// demoScenario is one round: a quiet minute, the opening and the first part of
// its tail.
func demoScenario() PolicyScenario {
	return PolicyScenario{
		Nodes: 6, FirstOpening: time.Minute, QuietBefore: time.Minute,
		Measured:   RoundShape{Opening: 5 * time.Minute, Tail: 3 * time.Minute, TailRamp: time.Minute, TailScale: 0.5},
		QuietAfter: 9 * time.Minute, PromptScale: 0.125, TokensPerChunk: 64,
	}
}

// demoProgress is the virtual time between two lines of progress.
const demoProgress = 30 * time.Second

// DemoSummary is the last line of the demonstration. Its figures come from the
// stand-ins' records and from what callers received.
type DemoSummary struct {
	Accepted             uint64  `json:"accepted"`
	Served               uint64  `json:"served"`
	Refused              uint64  `json:"refused"`
	Dropped              uint64  `json:"dropped"`
	Doubled              uint64  `json:"doubled"`
	Mismatched           uint64  `json:"mismatched"`
	Overcommitted        uint64  `json:"overcommitted"`
	OverReplicas         uint64  `json:"over_replicas"`
	ColdStartP50         float64 `json:"cold_start_p50_s"`
	ColdStartP99         float64 `json:"cold_start_p99_s"`
	IdleAcceleratorHours float64 `json:"idle_accelerator_hours"`
}

// Clean reports whether all figures that must be zero are.
func (s DemoSummary) Clean() bool {
	return s.Dropped+s.Doubled+s.Mismatched+s.Overcommitted+s.OverReplicas == 0
}

// demonstration is a running demo.
type demonstration struct {
	world    *World
	observer *policyObserver
	scenario PolicyScenario
	workload settings.Workload
	plan     trafficPlan
	random   *rand.Rand
	out      io.Writer
	next     int
	keys     int
}

// RunDemo opens a round of a deployment at full size in virtual time, prints
// progress and a summary table, and returns the summary.
func RunDemo(deployment Deployment, workload settings.Workload, seed uint64, out io.Writer) DemoSummary {
	scenario := demoScenario()
	deployment.Engine.TokensPerChunk = scenario.TokensPerChunk
	d := &demonstration{scenario: scenario, workload: workload, out: out, random: rand.New(rand.NewPCG(seed, 1))}
	d.world = NewWorld(Options{
		Deployment: deployment, Seed: seed, Nodes: scenario.Nodes, Mechanisms: applier.AllMechanisms(),
		Limits: checker.DefaultLimits(), Logger: zerolog.Nop(),
	})
	d.plan = planTraffic(scenario, &deployment, &workload, d.random)
	d.observer = newPolicyObserver(d.world)
	d.observer.inRun = true
	d.world.observer = func(event record.Event) { d.observer.observe(event) }
	d.world.Loop.AfterFunc(2*time.Second, func() { d.world.Import(nil) })
	d.scheduleGeneration()
	for index := range workload.Calls {
		d.scheduleCall(&workload.Calls[index])
	}
	d.world.Loop.AfterFunc(demoProgress, d.progress)
	d.world.Loop.RunUntil(simulation.Epoch.Add(scenario.end()))
	return d.summarize()
}

func (d *demonstration) elapsed() time.Duration { return d.world.Loop.Now().Sub(simulation.Epoch) }

// scheduleGeneration arranges the next generation of the plan.
func (d *demonstration) scheduleGeneration() {
	if d.next == len(d.plan.arrivals) {
		return
	}
	planned := &d.plan.arrivals[d.next]
	d.next++
	d.world.Loop.AfterFunc(planned.at-d.elapsed(), func() {
		d.sendGeneration(planned)
		d.scheduleGeneration()
	})
}

func (d *demonstration) sendGeneration(planned *arrival) {
	target := d.world.pickNode()
	if target == nil {
		return
	}
	measured := &Call{Row: planned.row.Name, Base: baseOf(planned.row)}
	request := planned.request(d.next)
	d.world.calls.send(target, request, planned.limit(), func(ended EndedCall) { d.observer.ended(measured, ended) })
	d.observer.sent(d.world.calls.lastID(), measured)
}

// scheduleCall draws the next call of a back-end class by thinning.
func (d *demonstration) scheduleCall(class *settings.BackEndClass) {
	highest := 0.0
	for _, rate := range class.Rates {
		highest = max(highest, rate)
	}
	pause := time.Duration(d.random.ExpFloat64() / highest * float64(time.Second))
	d.world.Loop.AfterFunc(pause, func() {
		if d.elapsed() > d.scenario.end()-class.TimeLimit {
			return
		}
		if d.random.Float64()*highest < d.plan.rateAt(class.Rates, d.workload.Phases, d.elapsed()) {
			d.sendCall(class)
		}
		d.scheduleCall(class)
	})
}

// sendCall sends a call, and some of them once more with the same key.
func (d *demonstration) sendCall(class *settings.BackEndClass) {
	target := d.world.pickNode()
	if target == nil {
		return
	}
	d.keys++
	request := gateway.Request{
		Tenant: d.world.Options.Deployment.Rows[0].Tenant, Pool: class.Pool, Method: "POST", Path: class.Path,
		ContentType: "application/json", Body: fmt.Appendf(nil, `{"%s":%d}`, class.Name, d.keys),
		Priority: class.Priority, Repeatable: d.random.Float64() >= class.NonRepeatable,
	}
	if !request.Repeatable {
		request.Key = fmt.Sprintf("key-%06d", d.keys)
	}
	d.world.calls.send(target, request, class.TimeLimit, nil)
	if !request.Repeatable && d.random.Float64() < class.Repeats {
		d.world.Loop.AfterFunc(class.RepeatAfter, func() {
			if again := d.world.pickNode(); again != nil {
				d.world.calls.send(again, request, class.TimeLimit, nil)
			}
		})
	}
}

// progress prints one line about now.
func (d *demonstration) progress() {
	status := d.world.Weights.Status()
	fmt.Fprintf(d.out, "%5s  waiting %4d  loading %2d  loaded %3d  store loads %d/%d\n", d.elapsed(),
		len(d.observer.byRequest), d.observer.presence.loading, d.observer.presence.loaded,
		status.Active, status.FullSpeedLoads)
	if d.elapsed() < d.scenario.end() {
		d.world.Loop.AfterFunc(demoProgress, d.progress)
	}
}

func (d *demonstration) summarize() DemoSummary {
	report := d.world.Checker.Finish(d.world.Loop.Now())
	cold := d.coldWaits()
	summary := DemoSummary{
		Accepted: report.Requests, Served: report.Served, Refused: report.Refused,
		Dropped: report.Unanswered + report.LostWithNode, Doubled: report.Doubled, Mismatched: report.Mismatched,
		Overcommitted: report.Overcommitted, OverReplicas: report.OverReplicas,
		ColdStartP50: quantile(cold, 0.5), ColdStartP99: quantile(cold, 0.99),
		IdleAcceleratorHours: d.idleHours(),
	}
	d.printTable(report, summary, len(cold))
	return summary
}

// coldWaits returns, in order, how long those calls waited to run whose row no
// engine could serve when they were sent.
func (d *demonstration) coldWaits() []float64 {
	end := d.observer.now()
	var waits []float64
	for _, measured := range d.observer.calls {
		if measured.UpAt != measured.SentAt {
			waits = append(waits, measured.Wait(end))
		}
	}
	sort.Float64s(waits)
	return waits
}

func quantile(ordered []float64, share float64) float64 {
	if len(ordered) == 0 {
		return 0
	}
	return ordered[min(len(ordered)-1, int(share*float64(len(ordered))))]
}

func (d *demonstration) idleHours() float64 {
	seconds := 0.0
	for _, server := range d.world.EngineServers {
		for _, usage := range d.world.Fleet.Host(server).Engine.Usage() {
			seconds += usage.IdleAcceleratorSeconds
		}
	}
	return seconds / time.Hour.Seconds()
}

func (d *demonstration) printTable(report checker.Report, summary DemoSummary, cold int) {
	table := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "\nrequests\t%d\n", summary.Accepted)
	fmt.Fprintf(table, "served\t%d\n", summary.Served)
	fmt.Fprintf(table, "refused\t%d\n", summary.Refused)
	fmt.Fprintf(table, "cold starts\t%d\n", cold)
	fmt.Fprintf(table, "cold start p50, p99\t%.1f s, %.1f s\n", summary.ColdStartP50, summary.ColdStartP99)
	fmt.Fprintf(table, "idle accelerator hours\t%.1f\n", summary.IdleAcceleratorHours)
	for _, source := range []outside.CheckpointSource{outside.SourceMemory, outside.SourceDisk, outside.SourceRemote} {
		fmt.Fprintf(table, "loads from %s\t%d\n", source, d.observer.loads[source.String()])
	}
	for _, promise := range checker.Promises() {
		tally := report.Tallies[promise]
		fmt.Fprintf(table, "promise %s\t%d checks, %d violations\n", promise, tally.Checks, tally.Violations)
		for _, example := range tally.Examples {
			fmt.Fprintf(table, "\t%s\n", example)
		}
	}
	_ = table.Flush()
}
