package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/simulation"
	"github.com/hatchplank/hatchplank/internal/standin/record"
	"github.com/hatchplank/hatchplank/internal/table"
)

// PolicyOptions of one run.
type PolicyOptions struct {
	Deployment Deployment
	Workload   settings.Workload
	Scenario   PolicyScenario
	Choice     PolicyChoice
	Seed       uint64
	Logger     zerolog.Logger
	// Observe is called with every event of the stand-ins' record, if set.
	Observe func(record.Event)
}

// PolicyRun is what was measured of one run.
type PolicyRun struct {
	Choice     PolicyChoice
	Deployment *Deployment
	Seed       uint64
	// SpanStart, Opening, OpeningEnd and End of the measured span, in seconds
	// from the start of the run.
	SpanStart, Opening, OpeningEnd, End float64
	Calls                               []*Call
	// Sources from which models can be loaded best at the start of the span;
	// models that are only in the weight store are not in it.
	Sources map[string]outside.CheckpointSource
	Use     AcceleratorUse
	// Loads of models by source.
	Loads map[string]int
	// StoreUse is the mean share of the store's full-speed loads in use during
	// the opening.
	StoreUse float64
	Timeline []TimelinePoint
	Report   checker.Report
	Events   uint64
}

// AcceleratorUse in accelerator seconds.
type AcceleratorUse struct {
	// Idle with a loaded replica that ran nothing, Loading, and Busy.
	Idle, Loading, Busy float64
}

// Waste is the time in which accelerators were held and served nothing.
func (u AcceleratorUse) Waste() float64 { return u.Idle + u.Loading }

func (u AcceleratorUse) minus(other AcceleratorUse) AcceleratorUse {
	return AcceleratorUse{Idle: u.Idle - other.Idle, Loading: u.Loading - other.Loading, Busy: u.Busy - other.Busy}
}

// TimelinePoint is the state of the deployment at a time of the span.
type TimelinePoint struct {
	// At is seconds after the opening.
	At float64
	// Waiting requests that do not run yet, and replicas Loading and Loaded.
	Waiting, Loading, Loaded int
	// Wasted accelerator seconds since the start of the span.
	Wasted float64
}

// timelineStep between two points.
const timelineStep = 5 * time.Second

// policyClaimShards is enough for runs without non-repeatable requests.
const policyClaimShards = 1

// policyRunner is a run on its way.
type policyRunner struct {
	options  PolicyOptions
	world    *World
	observer *policyObserver
	plan     trafficPlan
	copies   []cachedCopy
	// lastCalled by row, over the whole run.
	lastCalled map[string]time.Duration
	next       int
	before     AcceleratorUse
	run        *PolicyRun
	storeSum   float64
	storeCount int
}

// RunPolicy runs one policy over the scenario. Arrivals and cached checkpoints
// depend on the seed alone.
func RunPolicy(options PolicyOptions) *PolicyRun {
	options.Choice.apply(&options.Deployment.Settings)
	options.Deployment.Settings.Claims.Shards = policyClaimShards
	options.Deployment.Engine.TokensPerChunk = options.Scenario.TokensPerChunk
	r := &policyRunner{options: options, lastCalled: map[string]time.Duration{}}
	random := rand.New(rand.NewPCG(options.Seed, 0x706f6c6963696573))
	r.plan = planTraffic(options.Scenario, &r.options.Deployment, &r.options.Workload, random)
	r.world = NewWorld(Options{
		Deployment: options.Deployment, Seed: options.Seed, Nodes: options.Scenario.Nodes,
		Mechanisms: applier.AllMechanisms(), Limits: checker.DefaultLimits(), Logger: options.Logger,
	})
	r.copies = drawCopies(&r.options.Deployment, r.world.EngineServers, random)
	r.observer = newPolicyObserver(r.world)
	r.world.observer = r.observe
	r.prepare()
	r.schedule()
	r.world.Loop.RunUntil(simulation.Epoch.Add(options.Scenario.end()))
	return r.finish()
}

func (r *policyRunner) observe(event record.Event) {
	r.observer.observe(event)
	if r.options.Observe != nil {
		r.options.Observe(event)
	}
}

// prepare schedules all that happens in a run but the calls.
func (r *policyRunner) prepare() {
	scenario, loop := r.options.Scenario, r.world.Loop
	opening := r.plan.openings[len(r.plan.openings)-1]
	r.run = &PolicyRun{
		Choice: r.options.Choice, Deployment: &r.options.Deployment, Seed: r.options.Seed,
		SpanStart: scenario.spanStart().Seconds(), Opening: opening.Seconds(),
		OpeningEnd: (opening + scenario.Measured.Opening).Seconds(), End: scenario.end().Seconds(),
		Sources: bestSources(r.copies),
	}
	loop.AfterFunc(2*time.Second, func() { r.world.Import(nil) })
	loop.AfterFunc(scenario.replacementStart(len(r.world.EngineServers)), func() {
		r.world.replaceMachines(r.copies, scenario.ReplacementPause)
	})
	loop.AfterFunc(scenario.spanStart(), func() {
		r.before = r.use()
		r.observer.inRun = true
		r.sample()
	})
}

// schedule arranges the next call.
func (r *policyRunner) schedule() {
	if r.next == len(r.plan.arrivals) {
		return
	}
	planned := &r.plan.arrivals[r.next]
	r.next++
	delay := planned.at - r.world.Loop.Now().Sub(simulation.Epoch)
	r.world.Loop.AfterFunc(delay, func() {
		r.send(planned)
		r.schedule()
	})
}

func (r *policyRunner) send(planned *arrival) {
	target := r.world.pickNode()
	if target == nil {
		return
	}
	last, called := r.lastCalled[planned.row.Name]
	r.lastCalled[planned.row.Name] = planned.at
	request := planned.request(r.next)
	if planned.at < r.options.Scenario.spanStart() {
		r.world.calls.send(target, request, planned.limit(), nil)
		return
	}
	call := &Call{
		Row: planned.row.Name, Base: baseOf(planned.row),
		First: !called || planned.at-last >= FirstRequestSilence || last < r.options.Scenario.spanStart(),
	}
	r.world.calls.send(target, request, planned.limit(), func(ended EndedCall) { r.observer.ended(call, ended) })
	r.observer.sent(r.world.calls.lastID(), call)
}

func baseOf(row *table.Row) string {
	if row.Kind == table.KindAdapter {
		return row.Base
	}
	return row.Name
}

// use sums the engines' use of accelerators up.
func (r *policyRunner) use() AcceleratorUse {
	var sum AcceleratorUse
	for _, server := range r.world.EngineServers {
		for _, usage := range r.world.Fleet.Host(server).Engine.Usage() {
			sum.Idle += usage.IdleAcceleratorSeconds
			sum.Loading += usage.LoadingAcceleratorSeconds
			sum.Busy += usage.LoadedAcceleratorSeconds - usage.IdleAcceleratorSeconds
		}
	}
	return sum
}

// sample takes a point of the timeline.
func (r *policyRunner) sample() {
	now := r.observer.now()
	r.run.Timeline = append(r.run.Timeline, TimelinePoint{
		At: now - r.run.Opening, Waiting: len(r.observer.byRequest),
		Loading: r.observer.presence.loading, Loaded: r.observer.presence.loaded,
		Wasted: r.use().minus(r.before).Waste(),
	})
	if now >= r.run.Opening && now < r.run.OpeningEnd {
		status := r.world.Weights.Status()
		r.storeSum += min(1, float64(status.Active)/float64(status.FullSpeedLoads))
		r.storeCount++
	}
	r.world.Loop.AfterFunc(timelineStep, r.sample)
}

func (r *policyRunner) finish() *PolicyRun {
	r.run.Use = r.use().minus(r.before)
	r.run.Calls = r.observer.calls
	r.run.Loads = r.observer.loads
	r.run.StoreUse = r.storeSum / float64(max(1, r.storeCount))
	r.run.Report = r.world.Checker.Finish(r.world.Loop.Now())
	r.run.Events = r.world.Loop.Executed()
	return r.run
}

// secondsOf is a time in seconds from the start of the run.
func secondsOf(at time.Time) float64 { return at.Sub(simulation.Epoch).Seconds() }
