package orders

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/hatchplank/hatchplank/internal/fleet"
	"github.com/hatchplank/hatchplank/internal/observation"
	"github.com/hatchplank/hatchplank/internal/placement"
)

// Guards against the average of an earlier incarnation or of a time long past.
func TestAverageLoadStartsAnew(t *testing.T) {
	g := NewWithT(t)
	var average loadAverage
	first, second := fleet.Incarnation{ID: "s", Born: 1}, fleet.Incarnation{ID: "s", Born: 2}
	add := func(server fleet.Incarnation, load float64, after time.Duration) float64 {
		average.add(server, load, 0, testStart.Add(after))
		return average.load
	}
	g.Expect(add(first, 20, 0)).To(Equal(20.0))
	g.Expect(add(first, 0, time.Second)).To(BeNumerically("~", 14.3, 0.1))
	g.Expect(add(second, 3, time.Second)).To(Equal(3.0))
	g.Expect(add(second, 9, 5*time.Second)).To(Equal(9.0))
}

// Guards against a server that counts as slow for seconds, and replicas that are loaded for that, since
// it was slowed for a moment when its load was reported.
func TestBriefSlowdownHardlyChangesTheSpeed(t *testing.T) {
	g := NewWithT(t)
	holder := holderOf(largeSnapshot(1), &countingEngines{}, func(string, Update) {})
	table := holder.config.Observations
	table.SetNodes(91, testStart)
	held := &entry{server: &fleet.Server{ID: "s", Born: 7}}
	speedAt := func(after time.Duration, slowdown float64) float64 {
		now := testStart.Add(after)
		table.RecordLoad(held.server.Incarnation(), observation.Load{Running: 12, Slots: 32, Slowdown: slowdown}, now)
		server := placement.Server{ID: "s"}
		holder.setLoad(&server, held, now)
		return server.Speed
	}
	for i := range 50 {
		g.Expect(speedAt(time.Duration(i)*100*time.Millisecond, 1)).To(Equal(1.0))
	}
	g.Expect(speedAt(5*time.Second, 2.5)).To(BeNumerically(">", 0.95))
	g.Expect(speedAt(6*time.Second, 0)).To(BeNumerically(">", 0.95), "not reported")
	for i := range 100 {
		speedAt(6*time.Second+time.Duration(i)*100*time.Millisecond, 2)
	}
	g.Expect(speedAt(16*time.Second, 2)).To(BeNumerically("~", 0.5, 0.05))
}

// Guards against loads that are taken for known where nodes don't share them, after they expired,
// or of an earlier incarnation.
func TestLoadsAreKnownToThePlannerOnlyWhileInForce(t *testing.T) {
	g := NewWithT(t)
	holder := holderOf(largeSnapshot(1), &countingEngines{}, func(string, Update) {})
	table := holder.config.Observations
	held := &entry{server: &fleet.Server{ID: "s", Born: 7}}
	loadAt := func(after time.Duration) placement.Server {
		server := placement.Server{ID: "s"}
		holder.setLoad(&server, held, testStart.Add(after))
		return server
	}
	table.RecordLoad(held.server.Incarnation(), observation.Load{Running: 20, Waiting: 4, Slots: 24, Slowdown: 2}, testStart)
	g.Expect(loadAt(0).Slots).To(BeZero(), "number of nodes not known")
	table.SetNodes(24, testStart)
	g.Expect(loadAt(0).Slots).To(BeZero(), "as many slots as nodes")
	table.SetNodes(91, testStart)
	found := loadAt(0)
	g.Expect([]float64{found.Load, float64(found.Slots), found.Speed}).To(Equal([]float64{24, 24, 0.5}))
	g.Expect(loadAt(4*time.Second).Slots).To(BeZero(), "expired")
	held.server = &fleet.Server{ID: "s", Born: 8}
	g.Expect(loadAt(0).Slots).To(BeZero(), "of an earlier incarnation")
}

// orderedEngines accepts all orders and records them.
type orderedEngines struct {
	mutex  sync.Mutex
	orders []string
	models map[string]map[string]fleet.LoadedModel
}

func (e *orderedEngines) Order(_ context.Context, order Order) (Reply, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.orders = append(e.orders, fmt.Sprint(order.Kind, " ", order.Server.ID, " ", order.Model))
	if order.Kind == placement.Unload {
		delete(e.models[order.Server.ID], order.Model)
	} else {
		e.models[order.Server.ID][order.Model] = fleet.LoadedModel{}
	}
	return ReplyAccepted, nil
}

func (e *orderedEngines) Report(_ context.Context, server *fleet.Server) (Report, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	models := map[string]fleet.LoadedModel{}
	for name := range e.models[server.ID] {
		models[name] = fleet.LoadedModel{}
	}
	return Report{Models: models, Sequence: int64(len(e.orders))}, nil
}

// Guards against a holder that doesn't pass loads to the planner, and against orders whose log line
// doesn't say why: with loads shared, a busy model takes the place of one that nobody asks for.
func TestHolderRelievesFullServers(t *testing.T) {
	for _, nodes := range []int{0, 91} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			view := fleet.NewView()
			engine := &fleet.Engine{Slots: 24, MemoryMB: 140_000, AdapterSlots: 8, LoadsPerSecond: 10, Models: map[string]*fleet.Model{}}
			for _, name := range []string{"busy", "idle", "other"} {
				engine.Models[name] = &fleet.Model{Name: name, SizeMB: 70_000, LoadTime: 2 * time.Second}
			}
			view.SetConfiguration(fleet.NewConfiguration(1, 1, nil, []*fleet.Pool{{Name: "p", Engine: engine}}, fleet.Limits{}))
			engines := &orderedEngines{models: map[string]map[string]fleet.LoadedModel{
				"s1": {"busy": {}, "other": {}}, "s2": {"idle": {}, "other": {}},
			}}
			records := map[string]*fleet.Server{}
			for id, models := range engines.models {
				records[id] = &fleet.Server{ID: id, Pool: "p", Created: 1, Models: models}
			}
			view.ReplaceServers(records)
			holder := holderOf(view.Load(), engines, func(string, Update) {})
			var lines bytes.Buffer
			holder.config.Logger = zerolog.New(zerolog.SyncWriter(&lines))
			holder.config.Observations.SetNodes(nodes, time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			term := newTerm(5, time.Now(), time.Now().Add(time.Hour), true)
			holder.term, holder.termStart, holder.loadLimiter = term, time.Now(), newLoadLimiter(holder.config.LoadRate)
			for i := range 200 {
				time.Sleep(100 * time.Millisecond)
				now := time.Now()
				holder.demand.add(DemandReport{Node: "n", Address: "n:1", Sequence: uint64(i + 1), Started: 1, Rows: []DemandRow{
					{Pool: "p", Model: "busy", Running: 40, Arrived: uint64(2 * i)}, {Pool: "p", Model: "other", Running: 1, Arrived: uint64(i)},
				}}, now)
				holder.config.Observations.RecordLoad(records["s1"].Incarnation(), observation.Load{Running: 24, Waiting: 17, Slots: 24}, now)
				holder.config.Observations.RecordLoad(records["s2"].Incarnation(), observation.Load{Running: 1, Slots: 24}, now)
				holder.mutex.Lock()
				holder.requestReports(ctx, holder.servers.sync(view.Load(), now), now)
				holder.plan(ctx, term, "p", engine, now)
				holder.mutex.Unlock()
			}
			cancel()
			synctest.Wait()
			if nodes == 0 {
				g.Expect(engines.orders).To(BeEmpty())
				return
			}
			g.Expect(engines.orders).To(Equal([]string{"unload s2 idle", "load s2 busy"}))
			g.Expect(lines.String()).To(MatchRegexp(`"order":"unload","model":"idle".*"reason":"relieves full servers".*"intent":"busy","value":[0-9.]+,"cost":[0-9.]+`))
		})
	}
}
