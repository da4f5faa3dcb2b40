package emulator

import (
	"math"

	"github.com/hatchplank/hatchplank/internal/bounds"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/table"
)

// Tail holds quantiles of waits in seconds.
type Tail struct {
	P50, P95, P99, Max float64
}

func tailOf(waits []float64) Tail {
	return Tail{
		P50: bounds.Quantile(waits, 0.5), P95: bounds.Quantile(waits, 0.95),
		P99: bounds.Quantile(waits, bounds.TailQuantile), Max: bounds.Quantile(waits, 1),
	}
}

// PolicyFigures are the figures of one run with their bounds.
type PolicyFigures struct {
	Label string
	Seed  uint64
	// Cold is over the first requests of the measured span, OpeningCold over
	// those of them that were sent during the opening.
	Cold, OpeningCold Tail
	// FirstRequests counted in Cold.
	FirstRequests int
	// ColdBound is the reactive bound on Cold.P99.
	ColdBound float64
	// FirstTokenP95 of all served calls.
	FirstTokenP95 float64
	// IdleHours in which accelerators held or received a model and served
	// nothing; LoadedIdleHours of them with the model loaded.
	IdleHours, LoadedIdleHours, BusyHours float64
	// IdleBound are the fewest idle hours at the same cold-start tail, and
	// SameWaitsBound those at which no request waits longer than it did.
	IdleBound, SameWaitsBound float64
	Requests, Refused         int
	// LateCalls found their row not loaded, first requests or not, and waited
	// for it; LateP99 is over the waits for a row of all calls.
	LateCalls  int
	LateP99    float64
	Loads      map[string]int
	StoreUse   float64
	Violations uint64
	// Waits of all first requests in seconds, for the distribution.
	Waits []float64 `json:"-"`
}

// ColdRatio of the cold-start tail to the reactive bound.
func (f *PolicyFigures) ColdRatio() float64 { return ratio(f.Cold.P99, f.ColdBound) }

// IdleRatio of the idle hours to the idle bound.
func (f *PolicyFigures) IdleRatio() float64 { return ratio(f.IdleHours, f.IdleBound) }

// SameWaitsRatio of the idle hours to the bound at which no request waits
// longer than it did.
func (f *PolicyFigures) SameWaitsRatio() float64 { return ratio(f.IdleHours, f.SameWaitsBound) }

// LargestRatio stands for any larger one, also to a bound of 0.
const LargestRatio = 1e6

func ratio(value, bound float64) float64 {
	if bound <= 0 {
		return LargestRatio
	}
	return min(value/bound, LargestRatio)
}

const secondsPerHour = 3600

// Figures computes a run's figures and bounds.
func (r *PolicyRun) Figures() PolicyFigures {
	figures := PolicyFigures{
		Label: r.Choice.Label, Seed: r.Seed,
		IdleHours: r.Use.Waste() / secondsPerHour, LoadedIdleHours: r.Use.Idle / secondsPerHour,
		BusyHours: r.Use.Busy / secondsPerHour,
		Requests:  len(r.Calls), Loads: r.Loads, StoreUse: r.StoreUse, Violations: r.Report.Violations(),
	}
	var waits, opening, firstTokens, late []float64
	for _, call := range r.Calls {
		late = append(late, call.lateness(r.End))
		if call.UpAt != call.SentAt {
			figures.LateCalls++
		}
		if call.First {
			waits = append(waits, call.Wait(r.End))
			if call.SentAt >= r.Opening && call.SentAt < r.OpeningEnd {
				opening = append(opening, call.Wait(r.End))
			}
		}
		if call.Served {
			firstTokens = append(firstTokens, call.FirstToken)
		} else {
			figures.Refused++
		}
	}
	figures.FirstRequests, figures.Waits = len(waits), waits
	figures.Cold, figures.OpeningCold = tailOf(waits), tailOf(opening)
	figures.LateP99 = bounds.Quantile(late, bounds.TailQuantile)
	figures.FirstTokenP95 = bounds.Quantile(firstTokens, 0.95)
	instance := newBoundInstance(r)
	figures.ColdBound = instance.reactive()
	exempt := bounds.Exempt(len(waits), bounds.TailQuantile)
	figures.IdleBound = instance.idle(figures.Cold.P99, exempt) / secondsPerHour
	figures.SameWaitsBound = instance.idle(0, 0) / secondsPerHour
	return figures
}

// boundInstance turns a run into the instances that the bounds are over.
type boundInstance struct {
	run    *PolicyRun
	engine engine.Config
	rows   map[string]*table.Row
	// pinned base models have a minimum, of their own or of an adapter.
	pinned map[string]bool
}

func newBoundInstance(run *PolicyRun) *boundInstance {
	b := &boundInstance{
		run: run, engine: run.Deployment.Engine.WithDefaults(),
		rows: map[string]*table.Row{}, pinned: map[string]bool{},
	}
	for index := range run.Deployment.Rows {
		row := &run.Deployment.Rows[index]
		b.rows[row.Name] = row
		if row.MinReplicas > 0 {
			b.pinned[baseOf(row)] = true
		}
	}
	return b
}

// source is where a row's weights can come from first.
func (b *boundInstance) source(row string) outside.CheckpointSource {
	if source, cached := b.run.Sources[row]; cached {
		return source
	}
	return outside.SourceRemote
}

// loadSeconds of bytes from a source at full speed, without what follows.
func (b *boundInstance) loadSeconds(bytes int64, source outside.CheckpointSource) float64 {
	rate := b.run.Deployment.Store.BytesPerSecond
	switch source {
	case outside.SourceMemory:
		rate = b.engine.HostBytesPerSecond
	case outside.SourceDisk:
		rate = b.engine.DiskBytesPerSecond
	}
	return float64(bytes) / rate
}

// reactive is the bound on the 99th percentile of the first requests' waits.
func (b *boundInstance) reactive() float64 {
	var requests []bounds.FirstRequest
	var loads []bounds.Load
	indices := map[string]int{}
	index := func(name string, at float64) int {
		known, found := indices[name]
		if found {
			return known
		}
		indices[name] = len(loads)
		loads = append(loads, b.load(name, at))
		return indices[name]
	}
	for _, call := range b.run.Calls {
		var needs []int
		if !b.pinned[call.Base] {
			needs = append(needs, index(call.Base, call.SentAt))
		}
		if call.Row != call.Base && b.rows[call.Row].MinReplicas == 0 {
			needs = append(needs, index(call.Row, call.SentAt))
		}
		if call.First {
			requests = append(requests, bounds.FirstRequest{At: call.SentAt, Loads: needs})
		}
	}
	store := b.run.Deployment.Store
	return bounds.Reactive(requests, loads, bounds.Store{
		LoadsPerSecond: store.LoadsPerSecond, Burst: float64(max(1, store.Burst)),
		FullSpeedLoads: store.FullSpeedLoads, BytesPerSecond: store.BytesPerSecond,
	}, bounds.TailQuantile)
}

func (b *boundInstance) load(name string, release float64) bounds.Load {
	row, source := b.rows[name], b.source(name)
	tail := b.engine.InitTime
	if row.Kind == table.KindAdapter {
		tail = b.engine.AdapterInitTime
	}
	return bounds.Load{
		Release: release, Bytes: float64(row.WeightBytes), Remote: source == outside.SourceRemote,
		Seconds: b.loadSeconds(row.WeightBytes, source) + tail.Seconds(), Tail: tail.Seconds(),
		Adapter: row.Kind == table.KindAdapter,
	}
}

// idle is the bound in accelerator seconds when every request may wait for its
// model for a window, or as long as it did.
func (b *boundInstance) idle(window float64, exempt int) float64 {
	uses := map[string]*bounds.ModelWorkload{}
	var order []string
	for index := range b.run.Deployment.Rows {
		row := &b.run.Deployment.Rows[index]
		if row.Kind == table.KindModel {
			uses[row.Name] = b.modelUse(row)
			order = append(order, row.Name)
		}
	}
	for _, call := range b.run.Calls {
		if !call.Served || call.StartedAt < 0 {
			continue
		}
		up := call.UpAt
		if up < 0 || up > call.StartedAt {
			up = call.StartedAt
		}
		use := uses[call.Base]
		use.Requests = append(use.Requests, bounds.Request{
			At: call.SentAt, Window: max(window, up-call.SentAt), Seconds: call.EndedAt - up,
		})
	}
	models := make([]bounds.ModelWorkload, 0, len(order))
	for _, name := range order {
		models = append(models, *uses[name])
	}
	return bounds.Idle(models, b.run.SpanStart, b.run.End, exempt)
}

func (b *boundInstance) modelUse(row *table.Row) *bounds.ModelWorkload {
	perAccelerator := float64(b.engine.MemoryBytes) / float64(b.engine.Accelerators)
	return &bounds.ModelWorkload{
		Accelerators: max(1, math.Ceil(float64(row.MemoryBytes)/perAccelerator)),
		FirstLoad:    b.loadSeconds(row.WeightBytes, b.source(row.Name)) + b.engine.InitTime.Seconds(),
		NextLoad:     b.loadSeconds(row.WeightBytes, outside.SourceMemory) + b.engine.InitTime.Seconds(),
		AlwaysLoaded: b.pinned[row.Name],
	}
}
