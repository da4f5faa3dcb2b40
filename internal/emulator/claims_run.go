package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/applier"
	"github.com/hatchplank/hatchplank/internal/checker"
	"github.com/hatchplank/hatchplank/internal/claims"
	"github.com/hatchplank/hatchplank/internal/outside"
	"github.com/hatchplank/hatchplank/internal/standin/keyvalue"
)

// ClaimWay is a way to make claims durable.
type ClaimWay string

// The ways that are compared.
const (
	// ClaimByAcceptors asks a majority of the key's shard, as nodes do.
	ClaimByAcceptors ClaimWay = "acceptors"
	// ClaimByBatches writes batches to the key-value service.
	ClaimByBatches ClaimWay = "key-value batches"
)

// ClaimScenario is what happens during the five minutes measured.
type ClaimScenario struct {
	Name string
	// Outage of the key-value service for the whole span.
	Outage bool
	// Deaths of nodes, a minute after the begin and a minute apart; the nodes
	// do not come back.
	Deaths int
}

// ClaimScenarios are those measured.
var ClaimScenarios = []ClaimScenario{
	{Name: "calm"},
	{Name: "key-value outage", Outage: true},
	{Name: "outage, one death", Outage: true, Deaths: 1},
	{Name: "outage, two deaths", Outage: true, Deaths: 2},
	{Name: "two deaths", Deaths: 2},
}

// ClaimPoint is what was measured of one way in one scenario.
type ClaimPoint struct {
	Way      ClaimWay `json:"way"`
	Scenario string   `json:"scenario"`
	Rate     float64  `json:"claims_per_s"`
	Claims   int      `json:"claims"`
	Granted  int      `json:"granted"`
	// Refused claims were unavailable or did not end; none had a rival.
	Refused int `json:"refused"`
	// Percentiles of the time to a grant, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	// KeyValueOperations a second during the span, of all nodes and purposes.
	KeyValueOperations float64 `json:"key_value_operations_per_s"`
}

// Parameters of the measurement.
const (
	claimSpan  = 5 * time.Minute
	claimLimit = 5 * time.Second
	claimNodes = 6
	// claimKeyValueRate is the key-value service's limit in operations a
	// second.
	claimKeyValueRate = 100
)

// claimRun is a measurement under way.
type claimRun struct {
	world   *World
	random  *rand.Rand
	way     ClaimWay
	batches map[string]*batchedClaims
	point   ClaimPoint
	until   time.Time
	took    []time.Duration
}

// RunClaims makes claims on fresh keys at random nodes and measures.
func RunClaims(deployment Deployment, seed uint64, way ClaimWay, scenario ClaimScenario, rate float64) ClaimPoint {
	w := NewWorld(Options{
		Deployment: deployment, Seed: seed, Nodes: claimNodes, Mechanisms: applier.AllMechanisms(),
		Limits: checker.DefaultLimits(), Logger: zerolog.Nop(),
	})
	w.KeyValue.SetFaults(keyvalue.Faults{OperationsPerSecond: claimKeyValueRate})
	w.Loop.RunFor(2 * time.Second)
	w.Import(nil)
	w.Loop.RunFor(2 * time.Minute)
	run := &claimRun{
		world: w, random: w.Loop.Fork(), way: way, batches: map[string]*batchedClaims{},
		point: ClaimPoint{Way: way, Scenario: scenario.Name, Rate: rate}, until: w.Loop.Now().Add(claimSpan),
	}
	w.KeyValue.SetFaults(keyvalue.Faults{OperationsPerSecond: claimKeyValueRate, Outage: scenario.Outage})
	for i := range scenario.Deaths {
		w.Loop.AfterFunc(time.Duration(i+1)*time.Minute, w.Nodes[i].Kill)
	}
	before := w.KeyValue.Counters().Total()
	run.schedule(rate)
	w.Loop.RunUntil(run.until)
	run.point.KeyValueOperations = float64(w.KeyValue.Counters().Total()-before) / claimSpan.Seconds()
	w.Loop.RunFor(2 * claimLimit)
	return run.finish()
}

func (r *claimRun) schedule(rate float64) {
	pause := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
	r.world.Loop.AfterFunc(pause, func() {
		if !r.world.Loop.Now().Before(r.until) {
			return
		}
		r.claimOne()
		r.schedule(rate)
	})
}

// claimOne claims a fresh key at a node that lives.
func (r *claimRun) claimOne() {
	target := r.world.pickNode()
	if target == nil {
		return
	}
	r.point.Claims++
	key := claims.Key{Tenant: "measure", Value: fmt.Sprintf("key-%07d", r.point.Claims)}
	attempt := outside.AttemptID(fmt.Sprintf("%s/measure-%d", target.identity(), r.point.Claims))
	begun := r.world.Loop.Now()
	deadline := target.Process.Now().Add(claimLimit)
	ended := func(verdict claims.Verdict) {
		if verdict == claims.Granted {
			r.took = append(r.took, r.world.Loop.Now().Sub(begun))
		}
	}
	if r.way == ClaimByBatches {
		r.batchesOf(target).claim(key, attempt, deadline, ended)
		return
	}
	target.Node.Claims.Claim(key, attempt, 1, deadline, func(result claims.Result) { ended(result.Verdict) })
}

func (r *claimRun) batchesOf(n *SimulatedNode) *batchedClaims {
	batches, known := r.batches[n.identity()]
	if !known {
		service := keyvalue.NewSimulated(r.world.Network, r.world.processes.keyValue, n.Process, r.world.KeyValue)
		batches = &batchedClaims{clock: n.Process, keyValues: service}
		r.batches[n.identity()] = batches
	}
	return batches
}

func (r *claimRun) finish() ClaimPoint {
	slices.Sort(r.took)
	r.point.Granted = len(r.took)
	r.point.Refused = r.point.Claims - r.point.Granted
	r.point.P50 = percentile(r.took, 0.5)
	r.point.P99 = percentile(r.took, 0.99)
	return r.point
}

// percentile of sorted durations, in milliseconds.
func percentile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at]) / float64(time.Millisecond)
}
