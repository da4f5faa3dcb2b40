package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/gateway"
	"github.com/hatchplank/hatchplank/internal/settings"
	"github.com/hatchplank/hatchplank/internal/standin/engine"
	"github.com/hatchplank/hatchplank/internal/standin/weights"
	"github.com/hatchplank/hatchplank/internal/table"
)

// OverloadPoint is what was measured at one offered load.
type OverloadPoint struct {
	// Factor of the capacity that was offered.
	Factor float64 `json:"factor"`
	// Offered and Goodput in requests a second; goodput counts what was served
	// within its limit.
	Offered float64 `json:"offered_per_s"`
	Goodput float64 `json:"goodput_per_s"`
	// Requests sent, and how many were answered late or not at all.
	Requests      int `json:"requests"`
	LateOrMissing int `json:"late_or_missing"`
	// Shares of the served requests by tenant, in order of OverloadTenants. What
	// a tenant is served at high priority counts against its share.
	Shares []float64 `json:"shares"`
	// ServedHigh and ServedNormal are the shares of the requests of high and
	// of normal priority that were served.
	ServedHigh   float64 `json:"served_high"`
	ServedNormal float64 `json:"served_normal"`
}

// OverloadTenant is one tenant and the weight of its row.
type OverloadTenant struct {
	Name   string `json:"name"`
	Weight int    `json:"weight"`
}

// OverloadTenants call in equal numbers.
var OverloadTenants = []OverloadTenant{{"alpha", 50}, {"beta", 30}, {"gamma", 20}}

// Parameters of the overload experiment.
const (
	overloadNodes   = 3
	overloadEngines = 2
	overloadBatch   = 8
	overloadModel   = "shared-8b"
	// overloadWarm lets the replicas load and the estimates settle.
	overloadWarm = time.Minute
	// overloadSpan is measured.
	overloadSpan = 3 * time.Minute
	highPriority = 8
	lowPriority  = 5
	highShare    = 0.1
	// saturation is the load in requests a second at which the capacity is
	// measured; far beyond what two replicas serve.
	saturation = 200
)

// overloadLimits are the callers' time limits.
var overloadLimits = []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second}

// overloadDeployment has one base model on every engine, with an adapter for
// each tenant.
func overloadDeployment() Deployment {
	chosen := settings.Default()
	chosen.Node = settings.Node{Name: "node", Zone: "east", Region: "home"}
	chosen.Pools.Engines = []string{"engines"}
	chosen.Pools.BackEnds = []settings.BackEndPool{{Name: "seats", TimeLimit: 15 * time.Second}}
	const gib = int64(1) << 30
	base := table.Row{
		Name: overloadModel, Kind: table.KindModel, Version: "1", WeightBytes: 16 * gib, MemoryBytes: 40 * gib,
		Tenant: OverloadTenants[0].Name, Weight: 1, MinReplicas: overloadEngines, MaxReplicas: overloadEngines,
		TimeLimit: time.Minute, Repeatable: true,
	}
	rows := []table.Row{base}
	for _, tenant := range OverloadTenants {
		chosen.Tenants = append(chosen.Tenants, settings.Tenant{Name: tenant.Name, Weight: 1})
		rows = append(rows, table.Row{
			Name: "style-" + tenant.Name, Kind: table.KindAdapter, Base: overloadModel, Version: "1", WeightBytes: gib / 4,
			MemoryBytes: gib / 2, Tenant: tenant.Name, Weight: tenant.Weight, MinReplicas: overloadEngines,
			MaxReplicas: overloadEngines, TimeLimit: time.Minute, Repeatable: true, Priority: lowPriority,
		})
	}
	return Deployment{
		Name: "overload", Region: "home", Zones: []string{"east", "west", "north"},
		ZoneDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond,
		EnginePool: "engines", Engines: overloadEngines, BackEndPool: "seats", BackEnds: 4,
		Engine:   engine.Config{Accelerators: 1, MemoryBytes: 80 * gib, MaxBatch: overloadBatch, TokensPerChunk: 8},
		Store:    weights.Config{LoadsPerSecond: 3, Burst: 1, FullSpeedLoads: 6, BytesPerSecond: 4e9},
		Settings: chosen, Rows: rows, MemoryCheckpoints: 1,
	}
}

func newOverloadWorld(seed uint64) *World {
	deployment := overloadDeployment()
	limits := checker.DefaultLimits()
	limits.ClientDelay = deployment.ClientDelay
	w := NewWorld(Options{
		Deployment: deployment, Seed: seed, Nodes: overloadNodes, Mechanisms: applier.AllMechanisms(),
		Limits: limits, Logger: zerolog.Nop(),
	})
	w.Loop.RunFor(2 * time.Second)
	w.Import(nil)
	w.Loop.RunFor(warmUp)
	return w
}

// overloadTally counts the requests of the measured span.
type overloadTally struct {
	from, to                         time.Time
	requests, high, served           int
	servedHigh, late, endedInMeasure int
	byTenant                         map[string]int
}

func (t *overloadTally) sent(request gateway.Request, at time.Time) {
	if at.Before(t.from) || !at.Before(t.to) {
		return
	}
	t.requests++
	if request.Priority == highPriority {
		t.high++
	}
}

func (t *overloadTally) ended(call EndedCall) {
	if call.SentAt.Before(t.from) || !call.SentAt.Before(t.to) {
		return
	}
	t.endedInMeasure++
	if call.EndedAt.After(call.Request.Deadline) {
		t.late++
		return
	}
	if !call.Served {
		return
	}
	t.served++
	t.byTenant[call.Request.Tenant]++
	if call.Request.Priority == highPriority {
		t.servedHigh++
	}
}

// MeasureCapacity returns how many requests a second the deployment serves
// within their limits when far more are offered.
func MeasureCapacity(seed uint64) float64 {
	return runOverload(seed, saturation, 0).Goodput
}

// RunOverload offers a multiple of the capacity and measures.
func RunOverload(seed uint64, capacity, factor float64) OverloadPoint {
	return runOverload(seed, capacity*factor, factor)
}

func runOverload(seed uint64, rate, factor float64) OverloadPoint {
	w := newOverloadWorld(seed)
	begin := w.Loop.Now().Add(overloadWarm)
	tally := &overloadTally{from: begin, to: begin.Add(overloadSpan), byTenant: map[string]int{}}
	w.calls.Ended = tally.ended
	source := &overloadSource{world: w, random: w.Loop.Fork(), rate: rate, until: tally.to, tally: tally}
	source.schedule()
	w.Loop.RunUntil(tally.to.Add(30 * time.Second))
	return tally.point(factor)
}

func (t *overloadTally) point(factor float64) OverloadPoint {
	span := t.to.Sub(t.from).Seconds()
	point := OverloadPoint{
		Factor: factor, Offered: float64(t.requests) / span, Goodput: float64(t.served) / span,
		Requests: t.requests, LateOrMissing: t.late + t.requests - t.endedInMeasure,
		ServedHigh:   shareOf(t.servedHigh, t.high),
		ServedNormal: shareOf(t.served-t.servedHigh, t.requests-t.high),
	}
	for _, tenant := range OverloadTenants {
		point.Shares = append(point.Shares, shareOf(t.byTenant[tenant.Name], t.served))
	}
	return point
}

func shareOf(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// overloadSource sends requests at random times, whatever becomes of them.
type overloadSource struct {
	world  *World
	random *rand.Rand
	rate   float64
	until  time.Time
	tally  *overloadTally
	sent   int
}

func (s *overloadSource) schedule() {
	pause := time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second))
	s.world.Loop.AfterFunc(pause, func() {
		if !s.world.Loop.Now().Before(s.until) {
			return
		}
		if target := s.world.pickNode(); target != nil {
			s.sent++
			request := s.request()
			s.tally.sent(request, s.world.Loop.Now())
			s.world.calls.send(target, request, overloadLimits[s.random.IntN(len(overloadLimits))], nil)
		}
		s.schedule()
	})
}

func (s *overloadSource) request() gateway.Request {
	tenant := OverloadTenants[s.random.IntN(len(OverloadTenants))].Name
	row := "style-" + tenant
	priority := lowPriority
	if s.random.Float64() < highShare {
		priority = highPriority
	}
	return gateway.Request{
		Tenant: tenant, Model: row, Method: "POST", Path: "/v1/completions", ContentType: "application/json",
		Priority: priority, Repeatable: true,
		Body: fmt.Appendf(nil, `{"model":%q,"prompt":"request %d","max_tokens":%d,"stream":true}`,
			row, s.sent, 16+s.random.IntN(97)),
	}
}
